// Starts that are stored before they are sent: of tasks that may crash their
// workers, so that the crash is known even if this owner is replaced before it
// sees it, and of lasting tasks, so that a later owner knows where to look for
// their runs.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// After its first crash a task waits this long for a store that is away. Other
/// suspects give the worker back after it.
constexpr Millis kMaxStoreWait{500};
/// A lasting task gives the worker back after this time. Longer than a write
/// takes at a slow store, which would otherwise keep the task from starting.
constexpr Millis kMaxLastingStoreWait{3000};

bool IsLasting(const JobRecord& job, const TaskId& id) {
  return job.spec.steps[static_cast<std::size_t>(id.step)].lasting;
}

}  // namespace

bool PartitionOwner::TaskMayStart(const StepSpec& step,
                                  const TaskRecord& task) const {
  const TimePoint now = deps_.clock->Now();
  if (now < task.not_before) return false;
  if (task.may_start_late && !step.lasting) return false;
  if (task.ended_unreported && !TermIsConfirmed()) return false;
  if (step.lasting && task.evidence_writes > 0) return false;
  if (!IsSuspect(task)) return true;
  if (MustGiveUp(step, task)) return false;
  if (now < task.unconfirmed_until) return false;
  return task.evidence_writes == 0 ||
         (task.crashes.runs.size() == 1 &&
          now - task.suspect_since >= kMaxStoreWait);
}

void PartitionOwner::StartWhenStored(JobRecord* job,
                                     const std::vector<PlacedTask>& placed,
                                     std::int64_t run) {
  HeldStart held{.run = run, .since = deps_.clock->Now()};
  for (const PlacedTask& member : placed) {
    ReserveWorker(job, member.task, member.worker, run);
    if (IsLasting(*job, member.task)) {
      NotePlacement(member.task, member.worker->capacity.id);
      held.lasting = true;
    }
    held.members.push_back({.task = member.task,
                            .incarnation = member.worker->link->Incarnation()});
    TaskRecord* task = jobs_.FindTask(member.task);
    task->start_held = true;
    if (!IsSuspect(*task)) continue;
    task->crashes.unconfirmed[run] = {
        .worker = member.worker->capacity.id,
        .born_unix_ms = member.worker->link->BornUnixMs()};
  }
  const std::int64_t number = ++last_held_start_;
  held_starts_.emplace(number, std::move(held));
  recorder_->Save(
      {job->spec.id},
      [self = shared_from_this(), number] {
        const auto it = self->held_starts_.find(number);
        if (self->closed_ || it == self->held_starts_.end()) return;
        it->second.stored = true;
        self->ScheduleDispatch();
      },
      SavePriority::kUrgent);
}

void PartitionOwner::SendStoredStarts() {
  const TimePoint now = deps_.clock->Now();
  for (auto it = held_starts_.begin(); it != held_starts_.end();) {
    const HeldStart& held = it->second;
    const bool late = now - held.since >=
                      (held.lasting ? kMaxLastingStoreWait : kMaxStoreWait);
    const bool waits_for_store = !held.stored && !late;
    // Its worker may not be ready for a moment, as other starts there are on
    // their way.
    if (waits_for_store && held.lasting) {
      ++it;
      continue;
    }
    const bool may_start = MayStillStart(held);
    if (may_start && waits_for_store) {
      ++it;
      continue;
    }
    if (may_start && (held.stored || MayStartUnstored(held))) {
      SendHeldStart(held);
    } else {
      DropHeldStart(held, /*wait_for_store=*/!held.stored && late);
    }
    it = held_starts_.erase(it);
  }
}

bool PartitionOwner::MayStillStart(const HeldStart& held) {
  return std::all_of(
      held.members.begin(), held.members.end(),
      [&](const HeldStart::Member& member) {
        const JobRecord* job = jobs_.Find(member.task.job);
        const TaskRecord* task = jobs_.FindTask(member.task);
        if (job == nullptr || task == nullptr || IsFinal(job->state) ||
            !task->start_held || task->run != held.run) {
          return false;
        }
        const WorkerState* worker = FindWorker(task->worker);
        return worker != nullptr &&
               worker->link->Incarnation() == member.incarnation &&
               MayStillRunOn(*job, member.task, *worker);
      });
}

bool PartitionOwner::MayStillRunOn(const JobRecord& job, const TaskId& id,
                                   const WorkerState& worker) const {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr || queue->pool != worker.capacity.pool ||
      !Usable(worker) || !WithinCap(job, Resources{})) {
    return false;
  }
  PlacementRequest request;
  request.step = &job.spec.steps[static_cast<std::size_t>(id.step)];
  const std::vector<TaskRecord>& tasks =
      job.occurrences.at(id.occurrence)
          .steps[static_cast<std::size_t>(id.step)]
          .tasks;
  request.count_siblings = [&tasks](const WorkerCapacity& capacity) {
    // All but the task itself.
    return static_cast<int>(std::count_if(tasks.begin(), tasks.end(),
                                          [&](const TaskRecord& task) {
                                            return task.worker == capacity.id;
                                          })) -
           1;
  };
  if (NeedsAdvice(job)) {
    RequireTickets(
        {.job = id.job, .occurrence = id.occurrence, .step = id.step},
        &request);
  }
  WorkerCapacity without = worker.capacity;
  without.used -= Charge(*request.step);
  // By the task itself.
  without.isolated = false;
  return CanPlace(request, without);
}

bool PartitionOwner::MayStartUnstored(const HeldStart& held) {
  if (held.lasting) return false;
  return std::all_of(held.members.begin(), held.members.end(),
                     [this](const HeldStart::Member& member) {
                       const TaskRecord* task = jobs_.FindTask(member.task);
                       return task->crashes.runs.size() <= 1;
                     });
}

void PartitionOwner::SendHeldStart(const HeldStart& held) {
  for (const HeldStart::Member& member : held.members) {
    TaskRecord* task = jobs_.FindTask(member.task);
    WorkerState* worker = FindWorker(task->worker);
    task->start_held = false;
    IsolateSuspect(worker, *task);
    SendStart(jobs_.Find(member.task.job), member.task, worker);
  }
}

void PartitionOwner::DropHeldStart(const HeldStart& held, bool wait_for_store) {
  const std::string& job_id = held.members.front().task.job;
  LogEvent(LogLevel::kInfo, "start-dropped",
           {{"task", FormatTaskId(held.members.front().task)},
            {"run", held.run},
            {"tasks", held.members.size()},
            {"stored", held.stored}});
  JobRecord* job = jobs_.Find(job_id);
  if (job == nullptr) return;
  for (const HeldStart::Member& member : held.members) {
    TaskRecord* task = jobs_.FindTask(member.task);
    if (task == nullptr) continue;
    ForgetUnconfirmed(member.task, held.run);
    if (task->start_held && task->run == held.run) {
      task->start_outcome_unknown = false;
      ReturnToQueue(job, member.task);
    }
    if (wait_for_store) StoreEvidence(member.task, task);
  }
  // Otherwise a later owner would count a run that was never sent.
  if (!wait_for_store) {
    recorder_->Save({job_id}, nullptr, SavePriority::kUrgent);
  }
  if (IsFinal(job->state)) DropIfFinished(job_id);
}

}  // namespace basilusher
