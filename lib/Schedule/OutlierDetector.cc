// Scores a worker by the results of its runs.
#include "basilusher/Schedule/OutlierDetector.h"

#include <algorithm>

namespace basilusher {
namespace {

/// Number of different jobs whose runs failed on the worker since the last
/// success.
constexpr std::size_t kFailedJobsSuspect = 2;
constexpr std::size_t kFailedJobsQuarantine = 3;
/// Time without new evidence after which the quarantine ends. Failures still
/// count in the score, so the worker should get a task only as a probe, when it
/// has none; a stuck run no longer counts at all.
constexpr Millis kProbeAfter{2500};
/// Ratio of actual to expected duration. Estimates alone are wrong by a factor
/// of up to about two.
constexpr double kSlow = 2.6;
constexpr double kVerySlow = 3.5;
constexpr int kSamplesNeeded = 4;
constexpr double kSampleWeight = 0.25;
constexpr double kMaxSample = 10.0;
/// Minimum age of a run: younger runs show too little progress to judge.
constexpr Millis kMinElapsed{300};
/// Progress is reported in whole percent; even a slow task advances by one
/// percent within this time.
constexpr Millis kStuckAfter{900};
constexpr double kMoveFactor = 1.5;
constexpr double kMoveOverheadMs = 500.0;
constexpr int kWholePercent = 100;

}  // namespace

void OutlierDetector::RecordRunEnd(const std::string& job, bool failed,
                                   TimePoint now) {
  if (!failed) {
    failed_jobs_.clear();
    return;
  }
  failed_jobs_.insert(job);
  last_failure_ = now;
}

bool OutlierDetector::RecordProgress(Millis elapsed, int percent,
                                     double expected_ms) {
  if (elapsed < kMinElapsed || expected_ms <= 0) return false;
  const double projected = static_cast<double>(elapsed.count()) *
                           kWholePercent / std::max(percent, 1);
  const double sample = std::min(projected / expected_ms, kMaxSample);
  slowness_ += (sample - slowness_) * kSampleWeight;
  ++samples_;
  return true;
}

void OutlierDetector::RecordStuckRun(TimePoint now) { last_stuck_ = now; }

int OutlierDetector::OutlierScore(TimePoint now) const {
  int score = 0;
  if (failed_jobs_.size() >= kFailedJobsSuspect) ++score;
  if (failed_jobs_.size() >= kFailedJobsQuarantine) ++score;
  if (samples_ >= kSamplesNeeded && slowness_ > kSlow) ++score;
  if (samples_ >= kSamplesNeeded && slowness_ > kVerySlow) ++score;
  if (last_stuck_ != TimePoint{} && now - last_stuck_ < kProbeAfter) {
    score += 2;
  }
  return score;
}

bool OutlierDetector::Quarantined(TimePoint now) const {
  const bool fails = failed_jobs_.size() >= kFailedJobsQuarantine &&
                     now - last_failure_ < kProbeAfter;
  const bool stuck =
      last_stuck_ != TimePoint{} && now - last_stuck_ < kProbeAfter;
  return fails || stuck;
}

bool IsStuck(const RunProgress& run) {
  return run.percent < kWholePercent && run.unchanged > kStuckAfter;
}

bool ShouldRestartElsewhere(const RunProgress& run) {
  if (run.elapsed < kMinElapsed || run.expected_ms <= 0) return false;
  const double left = kWholePercent - run.percent;
  const double projected = static_cast<double>(run.elapsed.count()) * left /
                           std::max(run.percent, 1);
  const double restarted = run.checkpointable
                               ? run.expected_ms * left / kWholePercent
                               : run.expected_ms;
  return projected > restarted * kMoveFactor + kMoveOverheadMs;
}

}  // namespace basilusher
