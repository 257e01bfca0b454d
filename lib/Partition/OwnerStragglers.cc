// Progress of runs against what is expected of them. Restarts those that are
// expected to end sooner on another worker.
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// A task that was slow on two workers is slow by itself.
constexpr int kMaxRestarts = 2;

}  // namespace

RunProgress PartitionOwner::ProgressOf(const JobRecord& job, const TaskId& id,
                                       const TaskRecord& task) {
  const StepSpec& step = job.spec.steps[static_cast<std::size_t>(id.step)];
  const TimePoint now = deps_.clock->Now();
  const double expected_ms =
      durations_.Learned()
          ? durations_.HealthyMs(job, job.occurrences.at(id.occurrence),
                                 static_cast<std::size_t>(id.step))
          : static_cast<double>(step.estimate_ms) *
                durations_.Ratio(job.spec.queue);
  return {.elapsed = now - task.started_at,
          .percent = task.percent,
          .unchanged = now - task.progressed_at,
          .expected_ms = expected_ms,
          .checkpointable = step.checkpointable};
}

RunCircumstances PartitionOwner::CircumstancesOf(const WorkerState& worker,
                                                 const StepSpec& step,
                                                 const TaskRecord& task) const {
  const std::int64_t first_run = (options_.term - 1) * kRunsPerTerm + 1;
  const std::string& rack = step.preferred_rack;
  return {
      .partly_seen =
          task.run < first_run || (step.checkpointable && task.run > first_run),
      .slowed = worker.outlier_detector.OutlierScore(deps_.clock->Now()) > 0 ||
                (!rack.empty() && rack != worker.capacity.rack) || step.filler};
}

void PartitionOwner::FindStragglers() {
  for (const auto& [worker_id, worker] : workers_) {
    if (worker->link->Silent()) NoteSilence(worker.get());
  }
  if (!MayStart()) return;
  const TimePoint now = deps_.clock->Now();
  for (const auto& [worker_id, worker] : workers_) {
    const bool silent = worker->link->Silent();
    const int strikes = worker->outlier_detector.OutlierScore(now);
    if (!silent && strikes == 0) continue;
    const std::set<TaskId> tasks = worker->tasks;
    for (const TaskId& id : tasks) {
      JobRecord* job = jobs_.Find(id.job);
      TaskRecord* task = jobs_.FindTask(id);
      if (job == nullptr || task == nullptr || IsFinal(job->state) ||
          task->state != TaskState::kRunning) {
        continue;
      }
      const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
      if (step.lasting || step.filler || step.gang ||
          task->restarts >= kMaxRestarts) {
        continue;
      }
      if (silent) {
        // The leases must expire before another run may begin, unless
        // speculative copies are allowed.
        if (step.speculative && !IsSuspect(*task)) {
          RestartElsewhere(job, id, task, "silent");
        }
        continue;
      }
      const RunProgress progress = ProgressOf(*job, id, *task);
      if (IsStuck(progress)) {
        RestartElsewhere(job, id, task, "stuck");
      } else if (ShouldRestartElsewhere(progress)) {
        RestartElsewhere(job, id, task, "slow");
      }
    }
  }
}

void PartitionOwner::RestartElsewhere(JobRecord* job, const TaskId& id,
                                      TaskRecord* task, const char* reason) {
  WorkerState* worker = FindWorker(task->worker);
  if (worker == nullptr || !HasRoomElsewhere(*job, id, *worker)) return;
  LogEvent(LogLevel::kInfo, "run-restarted",
           {{"task", FormatTaskId(id)},
            {"run", task->run},
            {"worker", worker->capacity.id},
            {"reason", reason},
            {"percent", task->percent},
            {"slowness", worker->outlier_detector.Slowness()}});
  const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
  task->avoid_worker = worker->capacity.id;
  ++task->restarts;
  if (!step.speculative) {
    StopTask(job, id, task);
    return;
  }
  const std::int64_t run = task->run;
  ReturnToQueue(job, id);
  HoldRoom(worker, *job, id, run);
  StopUnwantedRun(worker, id, run);
}

}  // namespace basilusher
