// Expected durations of the tasks of one term: declared estimates scaled by
// queue, or learned from finished runs if that is switched on.
#ifndef BASILUSHER_PARTITION_DURATIONLEARNER_H_
#define BASILUSHER_PARTITION_DURATIONLEARNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Schedule/DurationModel.h"
#include "basilusher/Schedule/Urgency.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// What may have changed the duration of a run.
struct RunCircumstances {
  /// The owner has not seen the run's beginning, or it began from a checkpoint.
  bool partly_seen = false;
  /// Its worker is an outlier or far from its data, or it was paced.
  bool slowed = false;
};

/// How the duration of a run that ended with `kind` bounds that of a whole,
/// undisturbed run; nothing if it tells nothing. Thread-safe.
std::optional<DurationBound> BoundOf(EndKind kind,
                                     const RunCircumstances& circumstances);

/// Not thread-safe: I/O thread only.
class DurationLearner : public StepDurationSource {
 public:
  /// `counters` may be null.
  DurationLearner(bool learned, Counters* counters)
      : learned_(learned), counters_(counters) {}

  /// If false, only Ratio() and ArrivingCoreMs() are used besides AddRun().
  bool Learned() const { return learned_; }
  /// Factor by which the queue's declared estimates are scaled.
  double Ratio(const std::string& queue) { return ratios_[queue].ratio; }

  /// Adds a run of the task `id` that has ended after `duration`.
  void AddRun(JobRecord* job, const TaskId& id, EndKind kind, Millis duration,
              const RunCircumstances& circumstances);

  // The following need Learned(). Expectations are at most 50 ms old.

  /// Median.
  double StepMs(const JobRecord& job, const OccurrenceRecord& occurrence,
                std::size_t step, TimePoint now) const override;
  /// Mean, for sums of work.
  double MeanMs(const JobRecord& job, const OccurrenceRecord& occurrence,
                std::size_t step, TimePoint now) const;
  /// Sum over the step's active runs of the mean time until they end.
  double LeftMs(const JobRecord& job, const OccurrenceRecord& occurrence,
                std::size_t step, TimePoint now) const;
  /// Median for one run on a healthy worker, by the ended runs of its step.
  /// Runs that go on don't count: they may be slow for the same reason.
  double HealthyMs(const JobRecord& job, const OccurrenceRecord& occurrence,
                   std::size_t step) const;

  /// Core-milliseconds of the tasks of a job that has arrived, without lasting
  /// ones.
  double ArrivingCoreMs(const JobSpec& job);

  /// Logs the errors of expectations by queue and sets the counters, at most
  /// once in ten seconds.
  void Report(std::int64_t term, TimePoint now);

 private:
  const StepDurationCache& Cached(const JobRecord& job,
                                  const OccurrenceRecord& occurrence,
                                  std::size_t step, TimePoint now) const;
  const DurationKindRef& RefOf(const JobSpec& job, std::size_t step,
                               StepDurationCache* cache) const;

  bool learned_;
  Counters* counters_;
  std::map<std::string, DurationEstimate> ratios_;
  DurationModel model_;
  TimePoint reported_at_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_DURATIONLEARNER_H_
