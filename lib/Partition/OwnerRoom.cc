// Room that runs use after they were given up, until their ends are known.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"

namespace basilusher {
namespace {

/// A command that was sent this long ago has been answered or has timed out.
constexpr Millis kCommandsSettled{600};

}  // namespace

std::vector<HeldRun> PartitionOwner::RunsEndedWith(const TaskId& id,
                                                   const StepSpec& step) {
  std::vector<HeldRun> runs;
  TaskId member = id;
  const int first = step.gang ? 0 : id.index;
  const int count = step.gang ? step.count : 1;
  for (member.index = first; member.index < first + count; ++member.index) {
    const TaskRecord* task = jobs_.FindTask(member);
    WorkerState* worker = task == nullptr ? nullptr : FindWorker(task->worker);
    if (worker == nullptr) continue;
    runs.push_back({.worker = worker, .task = member, .run = task->run});
  }
  return runs;
}

void PartitionOwner::HoldRoom(WorkerState* worker, const JobRecord& job,
                              const TaskId& task, std::int64_t run) {
  const StepSpec& step = job.spec.steps[static_cast<std::size_t>(task.step)];
  const TaskRecord* record = jobs_.FindTask(task);
  worker->abandoned.push_back(
      {.task = task,
       .run = run,
       .charge = Charge(step),
       .workspace = job.spec.workspace,
       .need = step.need,
       .since = deps_.clock->Now(),
       .worked_for =
           record == nullptr ? Millis(0) : WorkedFor(*worker, *record),
       .start_confirmed =
           record != nullptr && record->started_at != TimePoint{}});
  worker->capacity.used += Charge(step);
  workspace_used_[job.spec.workspace] += step.need;
}

void PartitionOwner::HoldRoomOfFinishedJob(WorkerState* worker,
                                           const JobRecord& job,
                                           const RunningTask& running) {
  const bool held = std::any_of(
      worker->abandoned.begin(), worker->abandoned.end(),
      [&running](const AbandonedRun& abandoned) {
        return abandoned.run == running.run && abandoned.task == running.task;
      });
  if (!held) HoldRoom(worker, job, running.task, running.run);
}

void PartitionOwner::FreeRoom(WorkerState* worker,
                              const AbandonedRun& abandoned) {
  worker->capacity.used -= abandoned.charge;
  workspace_used_[abandoned.workspace] -= abandoned.need;
}

void PartitionOwner::FreeAbandonedRuns(WorkerState* worker,
                                       const HoldAnswer& answer,
                                       TimePoint sent_at) {
  std::erase_if(worker->abandoned, [&](const AbandonedRun& abandoned) {
    const bool ended = std::any_of(
        answer.ended.begin(), answer.ended.end(), [&](const EndedTask& end) {
          return end.run == abandoned.run && end.task == abandoned.task;
        });
    const bool running =
        std::any_of(answer.running.begin(), answer.running.end(),
                    [&](const RunningTask& reported) {
                      return reported.run == abandoned.run &&
                             reported.task == abandoned.task;
                    });
    // A run that is missing from a truncated report may have ended.
    const bool may_run = running || answer.more_ends ||
                         sent_at < abandoned.since + kCommandsSettled;
    if (!ended && may_run) return false;
    ForgetUnconfirmed(abandoned.task, abandoned.run);
    FreeRoom(worker, abandoned);
    return true;
  });
}

void PartitionOwner::AddUnreportedUse(
    std::map<std::string, Resources>* use) const {
  for (const auto& [id, job] : jobs_.All()) {
    if (IsFinal(job->state)) continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const std::vector<TaskRecord>& tasks = occurrence.steps[s].tasks;
        const std::int64_t unreported = std::count_if(
            tasks.begin(), tasks.end(), [](const TaskRecord& task) {
              return task.state == TaskState::kWaiting && task.ended_unreported;
            });
        (*use)[job->spec.workspace] += job->spec.steps[s].need * unreported;
      }
    }
  }
}

}  // namespace basilusher
