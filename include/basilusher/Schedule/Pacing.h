// Pace of the tasks that fill beside tasks which serve users on one worker.
// Load pattern: fillers disturb by amounts that differ by image and change
// within seconds, and the serving tasks' own load swings as fast.
#ifndef BASILUSHER_SCHEDULE_PACING_H_
#define BASILUSHER_SCHEDULE_PACING_H_

#include <cstdint>
#include <vector>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Tail of a serving task's response times, and its bound.
struct TailSample {
  std::int64_t tail_ms = 0;
  std::int64_t target_ms = 0;
};

/// Halves the pace while a tail is near its bound and raises it step by step
/// when all have been well below for a while; the pace at which a tail was last
/// too high stays a ceiling for some time, so that it does not swing. Pure; not
/// thread-safe.
class FillerPaceController {
 public:
  /// Takes the newest samples and returns the pace to keep, percent. Without
  /// samples fillers work at full pace.
  int Update(const std::vector<TailSample>& samples, TimePoint now);
  int Percent() const { return percent_; }

 private:
  int percent_ = 100;
  int ceiling_ = 100;
  TimePoint lowered_at_{};
  TimePoint raised_at_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_PACING_H_
