// The order in which waiting jobs get workers. Load pattern: a burst of four
// times a queue's mean load, which exceeds the capacity of its pool. Jobs that
// can still meet their latency objective go before those that cannot, so that
// late jobs do not delay all others.
#ifndef BASILUSHER_SCHEDULE_URGENCY_H_
#define BASILUSHER_SCHEDULE_URGENCY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/JobTable.h"

namespace basilusher {

/// Moving average of the ratio of actual to estimated durations of a queue's
/// tasks.
struct DurationEstimate {
  double ratio = 1.0;

  /// Adds one finished task. `estimated_ms` must be positive.
  void AddSample(double actual_ms, double estimated_ms);
};

/// Expected duration of one task of a step, in milliseconds. Thread-safe.
double StepDurationMs(const StepSpec& step, double ratio);

/// Expected duration of the critical path, the longest chain of dependent
/// steps, in milliseconds. Done steps of `occurrence` count as zero; if
/// `occurrence` is null, all steps count. `ratio` scales the estimates.
/// Thread-safe.
std::int64_t CriticalPathMs(const JobSpec& spec,
                            const OccurrenceRecord* occurrence, double ratio);

/// Source of the expected durations of a job's steps.
class StepDurationSource {
 public:
  virtual ~StepDurationSource() = default;
  /// Expected duration of one task of the step, in milliseconds.
  virtual double StepMs(const JobRecord& job,
                        const OccurrenceRecord& occurrence, std::size_t step,
                        TimePoint now) const = 0;
};

/// How likely a job is to be of value; earlier ones go first.
enum class Lateness : std::uint8_t {
  /// Has lasting tasks that wait: their users are served only while they run.
  kLasting,
  /// Can meet its objective.
  kInTime,
  /// Could meet its objective alone, but not behind the jobs before it: see
  /// ServableInTime().
  kUnservable,
  /// Late but still of value.
  kLate,
  /// Too late to be of any value.
  kWorthless,
};

/// Rank of a job; lower ranks go first. Compared by lateness, share, priority
/// and slack, in this order.
struct Urgency {
  Lateness lateness = Lateness::kInTime;
  /// The job is beyond its workspace's share of a full pool.
  bool over_share = false;
  int priority = 0;
  /// Time left until the objective, less the remaining critical path; negative
  /// if the job is late.
  std::int64_t slack_ms = 0;

  friend bool operator<(const Urgency& a, const Urgency& b);
};

/// Computes the rank of a job at `now`. Thread-safe.
Urgency RankJob(const JobRecord& job, const OccurrenceRecord& occurrence,
                const QueueConfig& queue, double ratio, TimePoint now);
/// The same by the durations of `source`. The objective and what is left to do
/// are computed from the same durations: the work counts that there is, not the
/// work that was declared.
Urgency RankJob(const JobRecord& job, const OccurrenceRecord& occurrence,
                const QueueConfig& queue, const StepDurationSource& source,
                TimePoint now);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_URGENCY_H_
