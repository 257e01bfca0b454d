// The order in which waiting jobs get workers. Load pattern: a queue's burst of
// four times its mean that its pool cannot hold. Jobs that can still meet their
// objective go before those that cannot, so that lateness of some does not
// spread to all.
#ifndef BASILUSHER_SCHEDULE_URGENCY_H_
#define BASILUSHER_SCHEDULE_URGENCY_H_

#include <cstdint>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/JobTable.h"

namespace basilusher {

/// How far actual durations of a queue's tasks are from their estimates.
struct DurationEstimate {
  double ratio = 1.0;

  /// Takes in one finished task. `estimated_ms` must be positive.
  void AddSample(double actual_ms, double estimated_ms);
};

/// Expected length in milliseconds of the longest chain of steps that are not
/// done; `all` counts done steps too. Thread-safe.
std::int64_t CriticalPathMs(const JobSpec& spec,
                            const OccurrenceRecord* occurrence, double ratio);

/// Rank of a job; lower ranks go first.
struct Urgency {
  /// 0: can meet its objective; 1: late but still of worth; 2: hopeless.
  int lateness = 0;
  int priority = 0;
  /// Larger is worth less for each second of work.
  double cost_per_value = 0;
  std::int64_t slack_ms = 0;

  friend bool operator<(const Urgency& a, const Urgency& b);
};

/// Rank of a job at `now`. Thread-safe.
Urgency RankJob(const JobRecord& job, const OccurrenceRecord& occurrence,
                const QueueConfig& queue, double ratio, TimePoint now);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_URGENCY_H_
