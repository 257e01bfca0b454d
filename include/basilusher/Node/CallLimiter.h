// Bounds how many calls for callers are under way at the store.
#ifndef BASILUSHER_NODE_CALLLIMITER_H_
#define BASILUSHER_NODE_CALLLIMITER_H_

#include "basilusher/Store/TransactionalStore.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

struct CallLimiterOptions {
  /// Enough for a node's share of the callers while the store loses half of
  /// its answers.
  double least = 4;
  /// Calls that the connections for callers carry side by side.
  double most = 16;
};

/// The store's limits are shared by all nodes, and none knows what the others
/// use. Each node raises its number of calls slowly while the store answers,
/// and halves it when the store refuses or does not answer, so that all nodes
/// together settle below what the store can do. After a refusal it sends
/// nothing for a moment. Does no I/O. Not thread-safe.
class CallLimiter {
 public:
  CallLimiter(const Clock* clock, CallLimiterOptions options)
      : clock_(clock), options_(options), limit_(options.most) {}

  /// True if a call may be sent now; End() must follow once it has ended.
  bool TryBegin();
  /// A call that TryBegin() allowed has ended with `status`.
  void End(TxnStatus status);
  /// Calls that may be under way at a time now.
  double Limit() const { return limit_; }

 private:
  const Clock* clock_;
  CallLimiterOptions options_;
  double limit_;
  int in_flight_ = 0;
  TimePoint lowered_at_{};
  TimePoint paused_until_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_CALLLIMITER_H_
