// Spreads an owner's questions to the placement advisor over all nodes, since
// the advisor serves one question of each asking machine at a time.
#ifndef BASILUSHER_NODE_ADVICERELAY_H_
#define BASILUSHER_NODE_ADVICERELAY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Node/Peers.h"

namespace basilusher {

/// Not thread-safe: I/O thread only.
class AdviceRelay : public PlacementAdvisor {
 public:
  /// `peers` gives the addresses of the other nodes, by node.
  using PeerSource = std::function<const std::map<std::string, std::string>&()>;

  /// `local` and `caller` must outlive the relay.
  AdviceRelay(PlacementAdvisor* local, PeerCaller* caller, PeerSource peers);

  void Advise(const std::string& job, int occurrence, int step,
              const std::vector<std::string>& workers, Millis timeout,
              std::function<void(const AdviceAnswer&)> done) override;
  /// Answers the questions that peers hand on.
  void Serve(PeerMethods* methods);

 private:
  /// Address of the least busy node; empty for this one.
  std::string LeastBusy() const;

  PlacementAdvisor* local_;
  PeerCaller* caller_;
  PeerSource peers_;
  /// Questions under way, by address; this node's under the empty address.
  std::map<std::string, int> open_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_ADVICERELAY_H_
