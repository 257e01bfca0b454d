// Feeds ended runs to the duration model and keeps its expectations by step.
#include "basilusher/Partition/DurationLearner.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Expectations are asked for in each round of placement, up to a thousand
/// times a second, and change with ended runs and time.
constexpr Millis kMaxCacheAge{50};
constexpr Millis kReportPeriod{10000};
/// Queues in one report, those with most runs first.
constexpr std::size_t kMaxReportedQueues = 20;
constexpr double kPermille = 1000.0;

RunKind KindOf(const JobSpec& job, std::size_t step) {
  const StepSpec& spec = job.steps[step];
  return {.queue = job.queue,
          .workspace = job.workspace,
          .image = spec.image,
          .step = static_cast<int>(step),
          .cpu_millis = spec.need.cpu_millis};
}

/// Zero if the run is not known to have begun.
double ElapsedMs(const TaskRecord& task, TimePoint now) {
  if (task.started_at == TimePoint{}) return 0;
  return static_cast<double>((now - task.started_at).count());
}

bool IsActive(const TaskRecord& task) {
  return task.state != TaskState::kWaiting && task.state != TaskState::kDone;
}

/// Ended runs and a share of those that go on. A run is expected by the others
/// and its own age, so its own part is left out there.
SiblingRuns Sum(const SiblingRuns& ended, const SiblingRuns& running,
                double share) {
  return {.count = ended.count + share * running.count,
          .log_sum = ended.log_sum + share * running.log_sum};
}

std::int64_t Permille(double value) { return std::llround(value * kPermille); }

}  // namespace

std::optional<DurationBound> BoundOf(EndKind kind,
                                     const RunCircumstances& circumstances) {
  const bool part = kind != EndKind::kDone || circumstances.partly_seen;
  if (part && circumstances.slowed) return std::nullopt;
  if (part) return DurationBound::kAtLeast;
  return circumstances.slowed ? DurationBound::kAtMost : DurationBound::kExact;
}

void DurationLearner::AddRun(JobRecord* job, const TaskId& id, EndKind kind,
                             Millis duration,
                             const RunCircumstances& circumstances) {
  const std::size_t index = static_cast<std::size_t>(id.step);
  const StepSpec& spec = job->spec.steps[index];
  if (!learned_) {
    if (kind != EndKind::kDone || spec.estimate_ms <= 0) return;
    ratios_[job->spec.queue].AddSample(static_cast<double>(duration.count()),
                                       static_cast<double>(spec.estimate_ms));
    return;
  }
  if (spec.lasting) return;
  const std::optional<DurationBound> bound = BoundOf(kind, circumstances);
  const auto occurrence = job->occurrences.find(id.occurrence);
  if (!bound || occurrence == job->occurrences.end()) return;
  if (counters_ != nullptr) {
    counters_->Add(*bound == DurationBound::kExact
                       ? "durations_observed_total"
                       : "durations_censored_total");
  }
  model_.Observe({.kind = KindOf(job->spec, index),
                  .declared_ms = spec.estimate_ms,
                  .duration_ms = static_cast<double>(
                      std::max<std::int64_t>(duration.count(), 1)),
                  .bound = *bound,
                  .tasks = spec.count},
                 &occurrence->second.steps[index].ended_runs);
}

const DurationKindRef& DurationLearner::RefOf(const JobSpec& job,
                                              std::size_t step,
                                              StepDurationCache* cache) const {
  if (!model_.IsCurrent(cache->ref)) {
    cache->ref = model_.Resolve(KindOf(job, step));
  }
  return cache->ref;
}

const StepDurationCache& DurationLearner::Cached(
    const JobRecord& job, const OccurrenceRecord& occurrence, std::size_t step,
    TimePoint now) const {
  const StepRecord& record = occurrence.steps[step];
  StepDurationCache& cache = record.duration_cache;
  if (cache.active == record.active && cache.done == record.done &&
      now - cache.computed_at < kMaxCacheAge) {
    return cache;
  }
  const std::int64_t declared = job.spec.steps[step].estimate_ms;
  const DurationKindRef& ref = RefOf(job.spec, step, &cache);
  ExpectedDuration expected = model_.Expect(ref, declared, record.ended_runs);
  cache.left_ms = 0;
  if (record.active > 0) {
    SiblingRuns running;
    int n = 0;
    for (const TaskRecord& task : record.tasks) {
      if (task.state != TaskState::kRunning) continue;
      AddCensored(expected, ElapsedMs(task, now), DurationBound::kAtLeast,
                  &running);
      ++n;
    }
    const ExpectedDuration of_others = model_.Expect(
        ref, declared,
        Sum(record.ended_runs, running, n == 0 ? 0 : 1 - 1.0 / n));
    for (const TaskRecord& task : record.tasks) {
      if (IsActive(task)) {
        cache.left_ms += RemainingMs(of_others, ElapsedMs(task, now));
      }
    }
    expected = model_.Expect(ref, declared, Sum(record.ended_runs, running, 1));
  }
  cache.median_ms = expected.MedianMs();
  cache.mean_ms = expected.MeanMs();
  cache.computed_at = now;
  cache.active = record.active;
  cache.done = record.done;
  return cache;
}

double DurationLearner::StepMs(const JobRecord& job,
                               const OccurrenceRecord& occurrence,
                               std::size_t step, TimePoint now) const {
  return Cached(job, occurrence, step, now).median_ms;
}

double DurationLearner::MeanMs(const JobRecord& job,
                               const OccurrenceRecord& occurrence,
                               std::size_t step, TimePoint now) const {
  return Cached(job, occurrence, step, now).mean_ms;
}

double DurationLearner::LeftMs(const JobRecord& job,
                               const OccurrenceRecord& occurrence,
                               std::size_t step, TimePoint now) const {
  return Cached(job, occurrence, step, now).left_ms;
}

double DurationLearner::HealthyMs(const JobRecord& job,
                                  const OccurrenceRecord& occurrence,
                                  std::size_t step) const {
  const StepRecord& record = occurrence.steps[step];
  return model_
      .Expect(RefOf(job.spec, step, &record.duration_cache),
              job.spec.steps[step].estimate_ms, record.ended_runs)
      .MedianMs();
}

double DurationLearner::ArrivingCoreMs(const JobSpec& job) {
  double core_ms = 0;
  for (std::size_t s = 0; s < job.steps.size(); ++s) {
    const StepSpec& step = job.steps[s];
    if (step.lasting) continue;
    const double cores = static_cast<double>(step.need.cpu_millis) / 1000.0;
    if (learned_) {
      core_ms +=
          cores *
          model_.Expect(model_.Resolve(KindOf(job, s)), step.estimate_ms, {})
              .MeanMs() *
          step.count;
    } else {
      core_ms += cores * static_cast<double>(step.estimate_ms) *
                 Ratio(job.queue) * step.count;
    }
  }
  return core_ms;
}

void DurationLearner::Report(std::int64_t term, TimePoint now) {
  if (!learned_ || now - reported_at_ < kReportPeriod) return;
  reported_at_ = now;
  std::vector<DurationAccuracy> queues = model_.Accuracy();
  std::sort(queues.begin(), queues.end(),
            [](const DurationAccuracy& a, const DurationAccuracy& b) {
              return a.runs != b.runs ? a.runs > b.runs : a.queue < b.queue;
            });
  if (queues.size() > kMaxReportedQueues) queues.resize(kMaxReportedQueues);
  for (const DurationAccuracy& queue : queues) {
    LogEvent(LogLevel::kInfo, "durations",
             {{"queue", queue.queue},
              {"term", term},
              {"runs", queue.runs},
              {"expected_ms", std::llround(queue.expected_ms)},
              {"actual_ms", std::llround(queue.actual_ms)},
              {"bias", queue.learned_bias},
              {"error", queue.learned_error},
              {"declared_bias", queue.declared_bias},
              {"declared_error", queue.declared_error},
              {"declared_weight", queue.slope}});
    if (counters_ == nullptr) continue;
    const std::string label = "{queue=\"" + queue.queue + "\"}";
    counters_->Set("duration_expected_ms" + label,
                   std::llround(queue.expected_ms));
    counters_->Set("duration_actual_ms" + label, std::llround(queue.actual_ms));
    counters_->Set("duration_bias_permille" + label,
                   Permille(queue.learned_bias));
    counters_->Set("duration_error_permille" + label,
                   Permille(queue.learned_error));
    counters_->Set("duration_declared_error_permille" + label,
                   Permille(queue.declared_error));
  }
  if (counters_ == nullptr) return;
  counters_->Set("duration_kinds",
                 static_cast<std::int64_t>(model_.KindCount()));
}

}  // namespace basilusher
