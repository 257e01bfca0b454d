// Spreads an owner's questions to the placement advisor over all nodes, since
// the advisor serves one question of each asking machine at a time.
#ifndef BASILUSHER_NODE_ADVICERELAY_H_
#define BASILUSHER_NODE_ADVICERELAY_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Schedule/AdviceWindow.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Keeps a window of questions for each node. Not thread-safe: I/O thread only.
class AdviceRelay : public PlacementAdvisor {
 public:
  /// `peers` gives the addresses of the other nodes, by node.
  using PeerSource = std::function<const std::map<std::string, std::string>&()>;

  /// `local`, `caller` and `clock` must outlive the relay.
  AdviceRelay(AdvisorCaller* local, PeerCaller* caller, const Clock* clock,
              PeerSource peers);

  bool MayAsk(AdviceNeed need) const override;
  /// Fails at once unless MayAsk(AdviceNeed::kNow).
  void Advise(const std::string& job, int occurrence, int step,
              const std::vector<std::string>& workers, Millis answer_time,
              std::function<void(const AdviceAnswer&)> done) override;
  /// Answers the questions that peers hand on.
  void Serve(PeerMethods* methods);

 private:
  /// Address of the least busy node that may be asked through, empty for this
  /// one; nothing if there is none.
  std::optional<std::string> LeastBusy() const;
  /// Questions in flight through a node; nothing if no further one may be sent
  /// there.
  std::optional<int> OpenAt(const std::string& address) const;
  /// Forgets the windows of nodes that have left.
  void DropUnused();
  void OnEnd(const std::string& address, const AdviceWindow::Question& question,
             bool answered);

  AdvisorCaller* local_;
  PeerCaller* caller_;
  const Clock* clock_;
  PeerSource peers_;
  /// By address; this node's under the empty address.
  std::map<std::string, AdviceWindow> windows_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_ADVICERELAY_H_
