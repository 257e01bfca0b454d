// Reports work that keeps the event loop from other events for long.
#ifndef BASILUSHER_SUPPORT_TURNTIMER_H_
#define BASILUSHER_SUPPORT_TURNTIMER_H_

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

/// Logs `turn-slow` with the name of the work if its scope lasted for a fifth
/// of a second or longer. Not thread-safe.
class TurnTimer {
 public:
  /// `clock` and `work` must outlive this object.
  TurnTimer(const Clock* clock, const char* work)
      : clock_(clock), work_(work), began_at_(clock->Now()) {}
  ~TurnTimer() {
    const Millis took = clock_->Now() - began_at_;
    if (took < kSlow) return;
    LogEvent(LogLevel::kWarning, "turn-slow",
             {{"work", work_}, {"took_ms", took.count()}});
  }
  TurnTimer(const TurnTimer&) = delete;
  TurnTimer& operator=(const TurnTimer&) = delete;

 private:
  static constexpr Millis kSlow{200};

  const Clock* clock_;
  const char* work_;
  TimePoint began_at_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_TURNTIMER_H_
