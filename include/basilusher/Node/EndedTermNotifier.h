// Tells peers that this node's term has ended.
#ifndef BASILUSHER_NODE_ENDEDTERMNOTIFIER_H_
#define BASILUSHER_NODE_ENDEDTERMNOTIFIER_H_

#include <map>
#include <memory>
#include <string>

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Partition/EndedTerm.h"

namespace basilusher {

/// Sends the end of a term to all peers, without the store. Failed calls are
/// repeated for a second. Not thread-safe: I/O thread only.
class EndedTermNotifier
    : public std::enable_shared_from_this<EndedTermNotifier> {
 public:
  /// `node` is this node's name.
  EndedTermNotifier(TimerService* timers, const Clock* clock, PeerCaller* peers,
                    std::string node);

  /// Begins to tell the `peers`, which are addresses by node. Precondition: the
  /// owner of the term is closed.
  void Send(const EndedTerm& ended,
            const std::map<std::string, std::string>& peers);
  /// True if no peer is still to be told.
  bool Idle() const { return rounds_ == 0; }

 private:
  struct Round {
    EndedTerm ended;
    TimePoint began_at{};
    std::map<std::string, std::string> unanswered;
    std::size_t peers = 0;
    bool finished = false;
  };

  void Tell(const std::shared_ptr<Round>& round, const std::string& node,
            const std::string& address);
  void Finish(Round* round);

  TimerService* timers_;
  const Clock* clock_;
  PeerCaller* peers_;
  std::string node_;
  /// Rounds that are not finished.
  int rounds_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_ENDEDTERMNOTIFIER_H_
