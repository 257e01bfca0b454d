// What a worker's results say about it. Load pattern: a few workers fail all
// that they start, stand still or run several times slower while they answer
// and look healthy; heartbeats show none of that.
#ifndef BASILUSHER_SCHEDULE_OUTLIERDETECTOR_H_
#define BASILUSHER_SCHEDULE_OUTLIERDETECTOR_H_

#include <cstdint>
#include <set>
#include <string>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Evidence on one life of a worker. Not thread-safe.
class OutlierDetector {
 public:
  /// A run of `job` ended well or failed. Failures of one job alone say more of
  /// the job than of the worker.
  void RecordRunEnd(const std::string& job, bool failed, TimePoint now);
  /// A running task has done `percent` after `elapsed`; a sound worker was
  /// expected to need `expected_ms` for all of it. False if it is too early to
  /// tell.
  bool RecordProgress(Millis elapsed, int percent, double expected_ms);
  /// A running task has made no progress for a while.
  void RecordStuckRun(TimePoint now);

  /// Zero for a sound worker; more for stronger evidence against it.
  int OutlierScore(TimePoint now) const;
  /// The worker should get no new work now, other than a probe.
  bool ProbeOnly(TimePoint now) const;
  double Slowness() const { return slowness_; }

 private:
  std::set<std::string> failed_jobs_;
  TimePoint last_failure_{};
  TimePoint last_stuck_{};
  double slowness_ = 1.0;
  int samples_ = 0;
};

/// A run that is projected to take longer than to begin anew elsewhere.
struct RunProgress {
  Millis elapsed{0};
  int percent = 0;
  /// Since when `percent` has not changed.
  Millis unchanged{0};
  double expected_ms = 0;
  bool checkpointable = false;
};

/// True if the run stands still. Thread-safe.
bool IsStuck(const RunProgress& run);
/// True if starting it anew on a sound worker ends sooner by a good margin.
/// Thread-safe.
bool ShouldRestartElsewhere(const RunProgress& run);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_OUTLIERDETECTOR_H_
