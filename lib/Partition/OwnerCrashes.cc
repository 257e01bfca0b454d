// Workers that crash: which runs were lost with them, what that says about the
// tasks, and how suspects start.
#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// No other task is started on a worker for this long after a suspect: longer
/// than it takes to notice that a worker does not answer.
constexpr Millis kIsolation{500};
/// The same after a task that was lost in more than one crash.
constexpr Millis kLongIsolation{1000};
/// Longest wait for a sign that a worker whose leases expired has crashed: its
/// directory entry expires and does not come back.
constexpr Millis kConfirmationWait{5000};
/// A task that was lost in one crash waits this long for a worker of its own.
/// After the crash of many workers there are more such tasks than workers. A
/// gang with suspects waits no longer to spread: its pool may be too small.
constexpr Millis kMaxIsolationWait{2000};

void ForEachTask(JobRecord* job,
                 const std::function<void(const TaskId&, TaskRecord*)>& visit) {
  for (auto& [number, occurrence] : job->occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      std::vector<TaskRecord>& tasks = occurrence.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        visit({.job = job->spec.id,
               .occurrence = number,
               .step = static_cast<int>(s),
               .index = static_cast<int>(i)},
              &tasks[i]);
      }
    }
  }
}

}  // namespace

void PartitionOwner::OnWorkerLost(const std::string& id, WorkerLoss loss) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) return;
  Count("workers_lost_total");
  advice_.ForgetWorker(id);
  LogTakenForOver(LogLevel::kWarning, "worker-lost", *worker,
                  {{"reason", NameOf(kWorkerLossNames, loss)}});
  CountTakenForOver(NameOf(kWorkerLossNames, loss), worker->tasks.size());
  // What the incarnation before has lost is known to have crashed.
  if (worker->reborn) ConfirmCrash(worker);
  CollectLostRuns(worker);
  // A worker with another id has its place, and refuses starts that were sent
  // to this one.
  const bool replaced =
      loss == WorkerLoss::kAddressReused || loss == WorkerLoss::kInstanceTaken;
  const std::set<TaskId> tasks = worker->tasks;
  for (const TaskId& task_id : tasks) {
    JobRecord* job = jobs_.Find(task_id.job);
    if (job == nullptr) continue;
    TaskRecord* task = jobs_.FindTask(task_id);
    std::optional<LateStart> late;
    if (task != nullptr) {
      if (!replaced) late = late_starts_.FindUnanswered(task_id);
      task->start_outcome_unknown = false;
      task->ended_unreported = true;
    }
    ReturnToQueue(job, task_id);
    if (late) late_starts_.Hold(*worker, *late);
    if (IsFinal(job->state)) DropIfFinished(task_id.job);
  }
  for (const AbandonedRun& abandoned : worker->abandoned) {
    FreeRoom(worker, abandoned);
  }
  worker->abandoned.clear();
  worker->unwanted_runs.clear();
  worker->unowned_runs_reported = 0;
  if (loss != WorkerLoss::kLeasesExpired) ConfirmCrash(worker);
  if (replaced) late_starts_.EndAllOn(id, NameOf(kWorkerLossNames, loss));
  // Nothing is known of the worker at another address, and in doubt of the term
  // a later owner may know more of this one. This owner's bound of the leases
  // does not cover an earlier owner's calls on their way.
  const bool may_run_unread =
      loss == WorkerLoss::kLeasesExpired && MayHoldEarlierLease(id);
  if (loss != WorkerLoss::kAddressChanged && TermIsConfirmed() &&
      !may_run_unread) {
    MarkWorkerRead(id);
  }
  DropIfSafeToForget(id);
  ScheduleDispatch();
}

Millis PartitionOwner::WorkedFor(const WorkerState& worker,
                                 const TaskRecord& task) {
  if (task.started_at == TimePoint{}) return Millis(0);
  const Millis known = worker.reported_at - task.started_at;
  // A run of an earlier owner has worked for longer than this one has known it.
  return std::max(task.percent >= kFullSpeedPercent ? kStartupPhase : Millis(0),
                  known);
}

void PartitionOwner::CollectLostRuns(WorkerState* worker) {
  // Runs that a planned shutdown ends are no evidence.
  const bool planned = worker->entry.draining || worker->instance_taken;
  if (planned) ClearSilence(worker);
  for (const TaskId& id : worker->tasks) {
    TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr) continue;
    if (planned || task->start_held) {
      ForgetUnconfirmed(id, task->run);
      continue;
    }
    // Counts already as lost in the crash of an earlier incarnation.
    const std::vector<std::int64_t>& crashed = task->crashes.runs;
    if (std::find(crashed.begin(), crashed.end(), task->run) != crashed.end()) {
      continue;
    }
    task->unconfirmed_until = deps_.clock->Now() + kConfirmationWait;
    const LostRun lost = {.worked_for = WorkedFor(*worker, *task),
                          .start_confirmed = task->started_at != TimePoint{}};
    LostRun& known =
        worker->lost_runs.try_emplace({id, task->run}, lost).first->second;
    // This owner has seen the run by now.
    if (known.inherited) known = lost;
  }
  for (const AbandonedRun& abandoned : worker->abandoned) {
    if (planned) {
      ForgetUnconfirmed(abandoned.task, abandoned.run);
      continue;
    }
    worker->lost_runs.try_emplace(
        {abandoned.task, abandoned.run},
        LostRun{.worked_for = abandoned.worked_for,
                .start_confirmed = abandoned.start_confirmed});
  }
}

void PartitionOwner::ResolveLostRuns(WorkerState* worker,
                                     const HoldAnswer& answer, bool settled) {
  if (worker->silence_noted && !worker->reborn) ClearSilence(worker);
  if (worker->lost_runs.empty()) return;
  if (!worker->reborn && !worker->inherited_lost_runs) {
    // The incarnation that was given up still lives.
    for (const auto& [key, lost] : worker->lost_runs) {
      TaskRecord* task = jobs_.FindTask(key.first);
      if (task == nullptr) continue;
      task->unconfirmed_until = TimePoint{};
      ForgetUnconfirmed(key.first, key.second);
    }
    worker->lost_runs.clear();
    return;
  }
  if (!settled) return;
  const auto dismiss = [this, worker](const TaskId& id, std::int64_t run) {
    if (worker->lost_runs.erase({id, run}) == 0) return;
    TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr) return;
    // A run that has been adopted stays stored: see NoteAlive().
    if (task->run != run) ForgetUnconfirmed(id, run);
    if (task->crashes.unconfirmed.empty()) task->unconfirmed_until = {};
  };
  for (const RunningTask& running : answer.running) {
    dismiss(running.task, running.run);
  }
  for (const EndedTask& end : answer.ended) dismiss(end.task, end.run);
  std::vector<std::pair<TaskId, std::int64_t>> not_crashed;
  for (const auto& [key, lost] : worker->lost_runs) {
    // An inherited run that the incarnation on which it was to start does not
    // have was never sent, or has ended.
    const bool crashed =
        lost.inherited && lost.inherited->born_unix_ms != 0
            ? lost.inherited->born_unix_ms != worker->link->BornUnixMs()
            : worker->reborn;
    if (!crashed) not_crashed.push_back(key);
  }
  for (const auto& [id, run] : not_crashed) {
    ForgetUnconfirmed(id, run);
    dismiss(id, run);
  }
  ConfirmCrash(worker);
}

void PartitionOwner::ForgetUnconfirmed(const TaskId& id, std::int64_t run) {
  TaskRecord* task = jobs_.FindTask(id);
  if (task == nullptr || task->crashes.unconfirmed.erase(run) == 0) return;
  // A later owner would count the stored run as lost in a crash.
  recorder_->Save({id.job}, nullptr);
}

void PartitionOwner::NoteAlive(const TaskId& id, TaskRecord* task,
                               Millis worked_for) {
  if (task->crashes.Empty()) return;
  const StepSpec& step =
      jobs_.Find(id.job)->spec.steps[static_cast<std::size_t>(id.step)];
  if (CrashAge(step, worked_for) >= kProvenHarmless) {
    task->crashes = {};
    recorder_->Save({id.job}, nullptr);
    return;
  }
  const auto row = task->crashes.unconfirmed.find(task->run);
  if (row == task->crashes.unconfirmed.end()) return;
  row->second.in_startup = false;
  if (!IsSuspect(*task)) task->crashes.unconfirmed.erase(row);
}

void PartitionOwner::ConfirmCrash(WorkerState* worker, bool crash_seen) {
  worker->reborn = false;
  worker->inherited_lost_runs = false;
  const std::map<std::pair<TaskId, std::int64_t>, LostRun> lost_runs =
      std::move(worker->lost_runs);
  worker->lost_runs.clear();
  std::erase_if(worker->runs_in_doubt, [&lost_runs](const auto& run) {
    return lost_runs.contains(run);
  });
  ClearSilence(worker);
  if (lost_runs.empty()) return;
  const auto in_startup = std::count_if(
      lost_runs.begin(), lost_runs.end(),
      [](const auto& run) { return run.second.worked_for < kStartupPhase; });
  LogTakenForOver(LogLevel::kWarning, "worker-crashed", *worker,
                  {{"runs", lost_runs.size()},
                   {"in_startup", in_startup},
                   {"crash_seen", crash_seen}});
  for (const auto& [key, lost] : lost_runs) {
    const auto& [id, run] = key;
    const Millis worked_for = lost.worked_for;
    JobRecord* job = jobs_.Find(id.job);
    TaskRecord* task = jobs_.FindTask(id);
    if (job == nullptr || task == nullptr || IsFinal(job->state) ||
        task->state == TaskState::kDone) {
      continue;
    }
    const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
    const bool others_in_startup =
        in_startup > (worked_for < kStartupPhase ? 1 : 0);
    if (lost.inherited && !lost.inherited->in_startup) {
      RecordPossibleCrash(&task->crashes, run, crash_seen);
    } else {
      RecordCrash(&task->crashes, run, worker->capacity.id,
                  CrashAge(step, worked_for), others_in_startup,
                  lost.start_confirmed, crash_seen);
    }
    task->crashes.last_unix_ms = WallMicros() / 1000;
    if (!IsSuspect(*task)) {
      if (!task->crashes.runs.empty()) recorder_->Save({id.job}, nullptr);
      continue;
    }
    LogEvent(LogLevel::kInfo, "run-lost-in-crash",
             {{"task", FormatTaskId(id)},
              {"run", run},
              {"worker", worker->capacity.id},
              {"worked_for_ms", lost.worked_for.count()},
              {"crashes", task->crashes.runs.size()},
              {"seen", task->crashes.seen},
              {"in_startup", task->crashes.in_startup},
              {"alone_in_startup", task->crashes.alone_in_startup},
              {"unconfirmed_starts", task->crashes.unconfirmed_starts},
              {"explained", task->crashes.explained_by_others}});
    task->suspect_since = deps_.clock->Now();
    task->unconfirmed_until = TimePoint{};
    task->avoid_worker = worker->capacity.id;
    PauseLasting(step, id, task);
    if (MustGiveUp(step, *task)) GiveUpTask(job, id);
    if (!IsFinal(job->state)) StoreEvidence(id, task);
  }
}

void PartitionOwner::NoteSilence(WorkerState* worker) {
  if (worker->silence_noted || worker->entry.draining ||
      worker->instance_taken) {
    return;
  }
  worker->silence_noted = true;
  std::set<std::string> changed;
  const auto note = [&](const TaskId& id, std::int64_t run, Millis worked_for,
                        bool answered) {
    TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr || worked_for >= kStartupPhase) return;
    task->crashes.unconfirmed[run] = {
        .worker = worker->capacity.id,
        .born_unix_ms = worker->link->BornUnixMs(),
        .in_startup = answered};
    worker->runs_in_doubt.insert({id, run});
    changed.insert(id.job);
  };
  for (const TaskId& id : worker->tasks) {
    const TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr || task->start_held) continue;
    note(id, task->run, WorkedFor(*worker, *task),
         task->started_at != TimePoint{});
  }
  for (const AbandonedRun& abandoned : worker->abandoned) {
    note(abandoned.task, abandoned.run, abandoned.worked_for,
         abandoned.start_confirmed);
  }
  recorder_->Save({changed.begin(), changed.end()}, nullptr);
}

void PartitionOwner::ClearSilence(WorkerState* worker) {
  worker->silence_noted = false;
  // Some of these runs may have ended or been given up since.
  for (const auto& [id, run] : worker->runs_in_doubt) {
    const TaskRecord* task = jobs_.FindTask(id);
    const bool current = worker->tasks.contains(id) && task != nullptr &&
                         task->run == run && IsSuspect(*task);
    // The row of a suspect's run goes when the run has worked for long.
    if (!current) ForgetUnconfirmed(id, run);
  }
  worker->runs_in_doubt.clear();
}

void PartitionOwner::InheritLostRuns(JobRecord* job) {
  std::optional<TaskId> crashes_workers;
  ForEachTask(job, [&](const TaskId& id, TaskRecord* task) {
    InheritLostRuns(id, task);
    const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
    if (MustGiveUp(step, *task)) crashes_workers = id;
  });
  IsolateInherited(job);
  if (crashes_workers && !IsFinal(job->state)) {
    GiveUpTask(job, *crashes_workers);
  }
}

void PartitionOwner::InheritLostRuns(const TaskId& id, TaskRecord* task) {
  const std::map<std::int64_t, UnconfirmedRun> unconfirmed =
      task->crashes.unconfirmed;
  for (const auto& [run, row] : unconfirmed) {
    WorkerState* worker = FindWorker(row.worker);
    if (worker != nullptr) {
      worker->lost_runs.try_emplace({id, run}, LostRun{.inherited = row});
      worker->inherited_lost_runs = true;
      task->unconfirmed_until = deps_.clock->Now() + kConfirmationWait;
    } else if (row.in_startup) {
      RecordCrash(&task->crashes, run, row.worker, Millis(0),
                  /*others_in_startup=*/true, /*start_confirmed=*/true,
                  /*crash_seen=*/false);
    } else {
      RecordPossibleCrash(&task->crashes, run, /*crash_seen=*/false);
    }
  }
}

std::optional<bool> PartitionOwner::IsOnInstance(
    const WorkerState& worker) const {
  if (!instances_known_ || instances_asked_at_ <= worker.unlisted_at) return {};
  return HasRunningInstance(worker);
}

bool PartitionOwner::HasRunningInstance(const WorkerState& worker) const {
  return std::any_of(instances_.begin(), instances_.end(),
                     [&worker](const auto& instance) {
                       return instance.second.worker == worker.capacity.id &&
                              instance.second.state == InstanceState::kUp;
                     });
}

bool PartitionOwner::MustGiveUp(const StepSpec& step, const TaskRecord& task) {
  if (step.lasting) {
    return !RestartPauseOfLasting(task.crashes,
                                  step.max_unavailable.has_value());
  }
  return JudgeCrashes(task.crashes) == CrashVerdict::kCrashesWorkers;
}

void PartitionOwner::PauseLasting(const StepSpec& step, const TaskId& id,
                                  TaskRecord* task) {
  if (!step.lasting) return;
  const std::optional<Millis> pause =
      RestartPauseOfLasting(task->crashes, step.max_unavailable.has_value());
  if (!pause || *pause == Millis(0)) return;
  // An earlier owner may have seen the crash. The wall clocks of two nodes may
  // differ, so no more than the whole pause is left.
  const Millis since(WallMicros() / 1000 - task->crashes.last_unix_ms);
  const Millis left = std::clamp(*pause - since, Millis(0), *pause);
  task->not_before = std::max(task->not_before, deps_.clock->Now() + left);
  LogEvent(LogLevel::kInfo, "restart-paused",
           {{"task", FormatTaskId(id)},
            {"crashes", task->crashes.runs.size()},
            {"seen", task->crashes.seen},
            {"left_ms", left.count()}});
}

void PartitionOwner::GiveUpTask(JobRecord* job, const TaskId& id) {
  LogEvent(LogLevel::kWarning, "task-given-up",
           {{"task", FormatTaskId(id)},
            {"crashes", jobs_.FindTask(id)->crashes.runs.size()}});
  Count("tasks_given_up_total");
  // The other tasks of a lasting step go on: to stop them would make more of
  // them unavailable than the step allows.
  if (job->spec.steps[static_cast<std::size_t>(id.step)].lasting) return;
  job->state = JobState::kFailed;
  OnJobEnded(job);
}

void PartitionOwner::StoreEvidence(const TaskId& id, TaskRecord* task) {
  ++task->evidence_writes;
  recorder_->Save(
      {id.job},
      [self = shared_from_this(), id] {
        TaskRecord* stored = self->jobs_.FindTask(id);
        if (self->closed_ || stored == nullptr) return;
        --stored->evidence_writes;
        self->ScheduleDispatch();
      },
      SavePriority::kUrgent);
}

void PartitionOwner::IsolateInherited(JobRecord* job) {
  ForEachTask(job, [this, job](const TaskId& id, TaskRecord* task) {
    if (!IsSuspect(*task)) return;
    PauseLasting(job->spec.steps[static_cast<std::size_t>(id.step)], id, task);
    task->suspect_since = deps_.clock->Now();
    if (!task->crashes.startup_workers.empty()) {
      task->avoid_worker = task->crashes.startup_workers.back();
    }
  });
}

bool PartitionOwner::IsSuspect(const TaskRecord& task) {
  return JudgeCrashes(task.crashes) != CrashVerdict::kUnsuspected;
}

bool PartitionOwner::MustIsolate(const TaskRecord& task) const {
  // The crash of a task that crashes its workers late comes after the
  // isolation.
  if (!IsSuspect(task) || task.crashes.in_startup == 0) return false;
  return task.crashes.runs.size() > 1 ||
         deps_.clock->Now() - task.suspect_since < kMaxIsolationWait;
}

bool PartitionOwner::MustStartApart(const TaskRecord& task) const {
  return MustIsolate(task) &&
         deps_.clock->Now() - task.suspect_since < kMaxIsolationWait;
}

std::vector<int> PartitionOwner::SuspectsFirst(const StepRecord& step) const {
  std::vector<int> order(step.tasks.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_partition(order.begin(), order.end(), [&](int i) {
    return MustIsolate(step.tasks[static_cast<std::size_t>(i)]);
  });
  return order;
}

void PartitionOwner::IsolateSuspect(WorkerState* worker,
                                    const TaskRecord& task) {
  if (!MustIsolate(task)) return;
  worker->isolated_until =
      deps_.clock->Now() +
      (task.crashes.runs.size() > 1 ? kLongIsolation : kIsolation);
  UpdatePollWait(worker);
  worker->capacity.isolated = true;
}

}  // namespace basilusher
