// The machine's clocks.
#include "basilusher/Support/Clock.h"

namespace basilusher {

TimePoint SteadyClock::Now() const {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

std::int64_t WallMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace basilusher
