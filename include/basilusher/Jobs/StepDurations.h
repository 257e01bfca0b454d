// What is known of how long the tasks of one step run. Plain data that is kept
// with the step, so that a round of placement needs no look-up by name.
#ifndef BASILUSHER_JOBS_STEPDURATIONS_H_
#define BASILUSHER_JOBS_STEPDURATIONS_H_

#include <cstdint>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Durations of the runs of one step's tasks that have ended.
struct SiblingRuns {
  /// Number of runs; a censored one counts by how much it tells, at most one.
  double count = 0;
  /// Sum of the natural logarithms of their durations in milliseconds.
  double log_sum = 0;
};

/// Reference to a kind of runs in a DurationModel. It may be outdated; see
/// DurationModel::IsCurrent().
struct DurationKindRef {
  std::uint32_t kind = 0;
  std::uint32_t submitter = 0;
  /// Zero matches no state of the model.
  std::uint64_t epoch = 0;
};

/// Expectations for one step, recomputed when they are old or the step has
/// changed.
struct StepDurationCache {
  DurationKindRef ref;
  TimePoint computed_at{};
  int active = -1;
  int done = -1;
  double median_ms = 0;
  double mean_ms = 0;
  /// Sum over the active runs of what is left of them.
  double left_ms = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_STEPDURATIONS_H_
