// Ranks jobs by their latency objectives.
#include "basilusher/Schedule/Urgency.h"

#include <algorithm>
#include <tuple>

namespace basilusher {
namespace {

/// Weight of the newest sample in the moving average.
constexpr double kSampleWeight = 0.05;
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 5.0;
/// A job that takes longer than this many times its objective has no value.
constexpr double kLateFactor = 3.0;
/// Assumed duration of a step without an estimate.
constexpr double kUnknownStepMs = 1000.0;

bool IsDone(const StepRecord& step) {
  return step.done == static_cast<int>(step.tasks.size());
}

/// Longest chain of dependent steps that are not done, each as long as
/// `step_ms` says.
template <typename StepMs>
std::int64_t LongestChainMs(const JobSpec& spec,
                            const OccurrenceRecord* occurrence,
                            const StepMs& step_ms) {
  std::vector<double> finish(spec.steps.size());
  double longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    double begin = 0;
    for (const int earlier : spec.steps[i].after) {
      begin = std::max(begin, finish[static_cast<std::size_t>(earlier)]);
    }
    const bool done = occurrence != nullptr && IsDone(occurrence->steps[i]);
    finish[i] = begin + (done ? 0 : step_ms(i));
    longest = std::max(longest, finish[i]);
  }
  return static_cast<std::int64_t>(longest);
}

/// Rank of a job whose whole critical path takes `chain` and of which `left`
/// remains, both in milliseconds.
Urgency RankByChain(const JobRecord& job, const QueueConfig& queue,
                    std::int64_t chain, std::int64_t left, TimePoint now) {
  const std::int64_t objective =
      static_cast<std::int64_t>(queue.stretch * static_cast<double>(chain)) +
      queue.objective_ms;
  const std::int64_t age = (now - job.accepted_at).count();
  Urgency urgency;
  urgency.priority = queue.priority;
  urgency.slack_ms = objective - age - left;
  const bool lasting =
      std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                  [](const StepSpec& step) { return step.lasting; });
  if (lasting) {
    urgency.lateness = Lateness::kLasting;
  } else if (static_cast<double>(age + left) >
             kLateFactor * static_cast<double>(objective)) {
    urgency.lateness = Lateness::kWorthless;
  } else if (age + left > objective) {
    urgency.lateness = Lateness::kLate;
  }
  return urgency;
}

}  // namespace

void DurationEstimate::AddSample(double actual_ms, double estimated_ms) {
  const double observed =
      std::clamp(actual_ms / estimated_ms, kMinRatio, kMaxRatio);
  ratio += (observed - ratio) * kSampleWeight;
}

double StepDurationMs(const StepSpec& step, double ratio) {
  const double estimate = step.estimate_ms > 0
                              ? static_cast<double>(step.estimate_ms)
                              : kUnknownStepMs;
  return estimate * ratio;
}

std::int64_t CriticalPathMs(const JobSpec& spec,
                            const OccurrenceRecord* occurrence, double ratio) {
  return LongestChainMs(spec, occurrence, [&](std::size_t step) {
    return StepDurationMs(spec.steps[step], ratio);
  });
}

bool operator<(const Urgency& a, const Urgency& b) {
  return std::tie(a.lateness, a.over_share, a.priority, a.slack_ms) <
         std::tie(b.lateness, b.over_share, b.priority, b.slack_ms);
}

Urgency RankJob(const JobRecord& job, const OccurrenceRecord& occurrence,
                const QueueConfig& queue, double ratio, TimePoint now) {
  return RankByChain(job, queue, CriticalPathMs(job.spec, nullptr, ratio),
                     CriticalPathMs(job.spec, &occurrence, ratio), now);
}

Urgency RankJob(const JobRecord& job, const OccurrenceRecord& occurrence,
                const QueueConfig& queue, const StepDurationSource& source,
                TimePoint now) {
  const auto step_ms = [&](std::size_t step) {
    return source.StepMs(job, occurrence, step, now);
  };
  return RankByChain(job, queue, LongestChainMs(job.spec, nullptr, step_ms),
                     LongestChainMs(job.spec, &occurrence, step_ms), now);
}

}  // namespace basilusher
