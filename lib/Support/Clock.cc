// The machine's clocks.
#include "basilusher/Support/Clock.h"

#include <time.h>

namespace basilusher {

TimePoint SteadyClock::Now() const {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

TimePoint BootClock::Now() const {
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1000000;
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(
      Millis(time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli));
}

std::int64_t WallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace basilusher
