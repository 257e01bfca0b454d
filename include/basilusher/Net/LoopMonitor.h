// Watches how late an event loop runs its timers.
#ifndef BASILUSHER_NET_LOOPMONITOR_H_
#define BASILUSHER_NET_LOOPMONITOR_H_

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Observes the lateness of the loop in `loop_late_ms` and logs a turn that
/// kept the others waiting for long. Not thread-safe: I/O thread only.
class LoopMonitor {
 public:
  /// The arguments must outlive this object, and this object the loop's timers.
  LoopMonitor(TimerService* timers, const Clock* clock, Counters* counters)
      : timers_(timers), clock_(clock), counters_(counters) {}

  void Begin();

 private:
  void Check();

  TimerService* timers_;
  const Clock* clock_;
  Counters* counters_;
  TimePoint due_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_NET_LOOPMONITOR_H_
