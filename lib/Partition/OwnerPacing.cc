// Speed limit of fillers on workers where they run beside tasks that serve
// users.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Longest wait of a poll on workers where fillers run beside tasks that serve
/// users. The latency that such tasks report covers the last half second.
constexpr Millis kServingPollWait{400};
/// The same where a lasting task is starting up. While it counts as
/// unavailable, no other task of its step can be evicted.
constexpr Millis kStartupPollWait{250};
/// The same where a suspect has just been started: if the worker crashes, the
/// last report tells how long each run had worked.
constexpr Millis kSuspectPollWait{100};

}  // namespace

void PartitionOwner::UpdatePollWait(WorkerState* worker) {
  Millis wait = WorkerLinkOptions().poll_wait;
  if (worker->capacity.lasting > 0 || worker->capacity.fillers > 0) {
    for (const TaskId& id : worker->tasks) {
      const JobRecord* job = jobs_.Find(id.job);
      const TaskRecord* task = jobs_.FindTask(id);
      if (job == nullptr || task == nullptr) continue;
      const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(id.step)];
      if (worker->capacity.fillers > 0 && spec.target_ms > 0) {
        wait = std::min(wait, kServingPollWait);
      }
      if (spec.lasting && task->percent < kFullSpeedPercent) {
        wait = std::min(wait, kStartupPollWait);
      }
    }
  }
  if (deps_.clock->Now() < worker->isolated_until) {
    wait = std::min(wait, kSuspectPollWait);
  }
  const std::optional<Millis> due = late_starts_.ReportDueIn(*worker);
  if (due) wait = std::min(wait, *due);
  worker->link->SetPollWait(wait);
}

void PartitionOwner::PaceFillers(WorkerState* worker) {
  if (worker->capacity.fillers == 0) return;
  std::vector<TailSample> samples;
  std::vector<TaskId> fillers;
  for (const TaskId& id : worker->tasks) {
    const JobRecord* job = jobs_.Find(id.job);
    const TaskRecord* task = jobs_.FindTask(id);
    if (job == nullptr || task == nullptr ||
        task->state != TaskState::kRunning) {
      continue;
    }
    const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
    if (step.target_ms > 0) {
      samples.push_back(
          {.tail_ms = task->reported_load, .target_ms = step.target_ms});
    }
    if (step.filler) fillers.push_back(id);
  }
  const int before = worker->pace.Percent();
  const int percent = worker->pace.Update(samples, deps_.clock->Now());
  if (percent != before) {
    double worst = 0;
    for (const TailSample& sample : samples) {
      worst = std::max(worst, static_cast<double>(sample.tail_ms) /
                                  static_cast<double>(sample.target_ms));
    }
    LogEvent(LogLevel::kInfo, "fillers-paced",
             {{"worker", worker->capacity.id},
              {"percent", percent},
              {"before", before},
              {"fillers", fillers.size()},
              {"worst_tail_share", worst}});
  }
  for (const TaskId& id : fillers) {
    TaskRecord* task = jobs_.FindTask(id);
    if (task->pace == percent) continue;
    const std::int64_t run = task->run;
    worker->link->Pace(id, run, percent,
                       [this, id, run, percent](CommandResult result) {
                         TaskRecord* paced = jobs_.FindTask(id);
                         // After any other result the next report leads to
                         // another command.
                         if (paced != nullptr && paced->run == run &&
                             result == CommandResult::kDone) {
                           paced->pace = percent;
                         }
                       });
  }
}

}  // namespace basilusher
