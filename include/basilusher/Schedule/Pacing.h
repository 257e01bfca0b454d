// Throttling of fillers (background tasks) that share a worker with tasks that
// serve users. Load pattern: the interference of fillers differs by image and
// changes within seconds, and the serving tasks' own load changes as fast.
#ifndef BASILUSHER_SCHEDULE_PACING_H_
#define BASILUSHER_SCHEDULE_PACING_H_

#include <cstdint>
#include <vector>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Tail latency of a serving task, and its target.
struct TailSample {
  std::int64_t tail_ms = 0;
  std::int64_t target_ms = 0;
};

/// Additive-increase, multiplicative-decrease controller of the fillers' pace
/// on one worker. Halves the pace while a tail latency is near its target and
/// raises it in steps when all tails have been well below their targets for a
/// while. A ceiling below the pace at which a tail was last too high stays for
/// some time, to prevent oscillation. Pure; not thread-safe.
class FillerPaceController {
 public:
  /// Takes the newest samples and returns the new pace, percent. Without
  /// samples the pace rises to 100 as if all tails were low.
  int Update(const std::vector<TailSample>& samples, TimePoint now);
  /// Current pace, percent.
  int Percent() const { return percent_; }

 private:
  int percent_ = 100;
  int ceiling_ = 100;
  TimePoint lowered_at_{};
  TimePoint raised_at_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_PACING_H_
