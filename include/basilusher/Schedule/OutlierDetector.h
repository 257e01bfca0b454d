// Detection of faulty workers from the results of their runs. Load pattern: a
// few workers fail all tasks that they start, make no progress or run several
// times slower, while they answer and report themselves healthy; heartbeats do
// not show this.
#ifndef BASILUSHER_SCHEDULE_OUTLIERDETECTOR_H_
#define BASILUSHER_SCHEDULE_OUTLIERDETECTOR_H_

#include <cstdint>
#include <set>
#include <string>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Outlier detection for one incarnation of a worker. Not thread-safe.
class OutlierDetector {
 public:
  /// Records that a run of `job` succeeded or failed. Failures of a single job
  /// are more likely the job's fault than the worker's, so different failed
  /// jobs are counted.
  void RecordRunEnd(const std::string& job, bool failed, TimePoint now);
  /// Records that a running task has done `percent` after `elapsed`; a healthy
  /// worker is expected to need `expected_ms` for the whole task. Returns false
  /// and records nothing if it is too early to tell or `expected_ms` is not
  /// positive.
  bool RecordProgress(Millis elapsed, int percent, double expected_ms);
  /// Records that a running task has made no progress for a while.
  void RecordStuckRun(TimePoint now);

  /// Zero for a healthy worker; higher for stronger evidence of a fault.
  int OutlierScore(TimePoint now) const;
  /// True while there is recent evidence of a fault: the worker should get no
  /// new task, not even a probe.
  bool Quarantined(TimePoint now) const;
  /// Moving average of actual to expected duration; 1 is as expected.
  double Slowness() const { return slowness_; }

 private:
  std::set<std::string> failed_jobs_;
  TimePoint last_failure_{};
  TimePoint last_stuck_{};
  double slowness_ = 1.0;
  int samples_ = 0;
};

/// Progress of one run.
struct RunProgress {
  Millis elapsed{0};
  int percent = 0;
  /// How long `percent` has not changed.
  Millis unchanged{0};
  /// Expected duration of the whole task on a healthy worker.
  double expected_ms = 0;
  bool checkpointable = false;
};

/// True if the run makes no progress. Thread-safe.
bool IsStuck(const RunProgress& run);
/// True if a restart on a healthy worker, from a checkpoint if there is one, is
/// expected to end sooner by a clear margin. Thread-safe.
bool ShouldRestartElsewhere(const RunProgress& run);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_OUTLIERDETECTOR_H_
