// Time as an interface, so that tests can hold it still or move it.
#ifndef BASILUSHER_SUPPORT_CLOCK_H_
#define BASILUSHER_SUPPORT_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace basilusher {

using Millis = std::chrono::milliseconds;

/// A reading of one process's monotonic clock, in milliseconds. Readings of two
/// processes are never compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Source of monotonic time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Current reading. Thread-safe.
  virtual TimePoint Now() const = 0;
};

/// The machine's monotonic clock. Goes on while the process is stopped.
class SteadyClock : public Clock {
 public:
  /// Thread-safe.
  TimePoint Now() const override;
};

/// The machine's clock since its start, which also counts time in which the
/// machine was suspended, so that leases held elsewhere are not overestimated
/// after a resume.
class BootClock : public Clock {
 public:
  /// Thread-safe.
  TimePoint Now() const override;
};

/// Microseconds since the Unix epoch, for logs and spans only; no decision is
/// taken on it. Thread-safe.
std::int64_t WallMicros();

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_CLOCK_H_
