// Tells the owner of cancellations that this node has stored.
#ifndef BASILUSHER_NODE_CANCELLATIONNOTIFIER_H_
#define BASILUSHER_NODE_CANCELLATIONNOTIFIER_H_

#include <memory>
#include <string>

#include "basilusher/Node/NodeAgent.h"
#include "basilusher/Node/Peers.h"

namespace basilusher {

/// The store may turn the owner's node away, and its watch may be late. A
/// message may be lost, and the owner may change or may have changed without
/// this node's knowledge, so each notice is repeated until the bound has
/// passed, to an owner that has not confirmed it. Not thread-safe: I/O thread
/// only.
class CancellationNotifier
    : public std::enable_shared_from_this<CancellationNotifier> {
 public:
  /// `bound`: nothing of a job may start later than this after its
  /// cancellation was stored.
  CancellationNotifier(PeerCaller* peers, TimerService* timers,
                       const Clock* clock, std::shared_ptr<NodeAgent> agent,
                       Millis bound);

  /// Applies to cancellations from now on.
  void SetBound(Millis bound) { bound_ = bound; }
  /// The cancellation of `job` has just been stored.
  void Tell(const std::string& job);

 private:
  struct Notice;
  /// Tells the present owner unless it has confirmed the notice, and looks
  /// again after a pause.
  void TellOwner(const std::shared_ptr<Notice>& notice);
  void TellOwnerLater(const std::shared_ptr<Notice>& notice);

  PeerCaller* peers_;
  TimerService* timers_;
  const Clock* clock_;
  std::shared_ptr<NodeAgent> agent_;
  Millis bound_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_CANCELLATIONNOTIFIER_H_
