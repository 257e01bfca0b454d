// Directory entries and reports of workers: runs to adopt, ends to record, runs
// that vanished.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Support/TurnTimer.h"

namespace basilusher {
namespace {

/// Size of the range of fencing tokens that one owner has at each worker.
constexpr std::int64_t kFencesPerTerm = 1000000;
/// A stop command is repeated if the run is still reported after this time.
constexpr Millis kStopRetryDelay{600};
/// Delay before a task is placed again after a failed run, so that a worker on
/// which everything fails cannot use up all attempts at once.
constexpr Millis kRetryAfterFailure{30};

}  // namespace

WorkerState* PartitionOwner::FindWorker(const std::string& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() || it->second->dropped ? nullptr
                                                     : it->second.get();
}

WorkerState* PartitionOwner::AddWorker(const std::string& id,
                                       const std::string& address) {
  std::unique_ptr<WorkerState>& worker = workers_[id];
  if (worker != nullptr && !worker->dropped) return worker.get();
  worker = std::make_unique<WorkerState>();
  worker->capacity.id = id;
  worker->entry.id = id;
  worker->idle_since = deps_.clock->Now();
  worker->unlisted_at = deps_.clock->Now();
  // The state of the worker before a move or a long absence is gone; an order
  // that was sent for its instance may still be carried out.
  worker->reserved =
      std::any_of(instance_operations_.begin(), instance_operations_.end(),
                  [&id](const auto& op) { return op.second.worker == id; });
  worker->link = std::make_shared<WorkerLink>(
      deps_.workers, deps_.timers, deps_.clock,
      WorkerAddress{.id = id, .address = address},
      WorkerLinkOptions{
          .first_fence = std::max(options_.term * kFencesPerTerm, next_fence_),
          .lease = options_.task_lease,
          .max_lease = options_.max_task_lease},
      WorkerLink::Listener{
          .on_report =
              [this, id](const HoldAnswer& answer, TimePoint sent_at,
                         bool settled) {
                OnReport(id, answer, sent_at, settled);
              },
          .on_lost = [this, id](WorkerLoss loss) { OnWorkerLost(id, loss); },
          .on_new_incarnation =
              [this, id](const char* reason) { OnNewIncarnation(id, reason); },
          .on_fenced = [this, id] { OnFenced(id); }});
  const std::map<std::string, TimePoint>& long_lease_ends =
      earlier_leases_.LongLeaseEnds();
  const auto lease = long_lease_ends.find(id);
  if (lease != long_lease_ends.end()) {
    worker->link->NoteEarlierLease(lease->second);
  }
  // A later owner does not know of this worker before it is recorded: no order
  // that could reach the worker's next incarnation may carry a lease.
  worker->link->SetRenewing(false);
  // Reports can be matched to jobs only once the jobs are known.
  if (loaded_) BeginLink(worker.get());
  return worker.get();
}

void PartitionOwner::BeginLink(WorkerState* worker) {
  const FencedIncarnation* former =
      former_incarnations_.Find(worker->capacity.id, deps_.clock->Now());
  if (former != nullptr) worker->link->NoteEarlierIncarnations(*former);
  worker->link->NoteEarlierUsualLease(earlier_usual_lease_);
  worker->link->Begin();
}

void PartitionOwner::RecordFencedIncarnation(WorkerState* worker) {
  const std::int64_t born = worker->link->LastFenced().born_unix_ms;
  if (worker->recorded_born_unix_ms == born) return;
  worker->recorded_born_unix_ms = born;
  worker_recorder_->SaveSoon();
}

void PartitionOwner::CloseLink(WorkerState* worker) {
  // The worker may return in the same incarnation, which has seen this token.
  next_fence_ = std::max(next_fence_, worker->link->Fence() + 1);
  // An instance that this owner took gets a worker with another id.
  former_incarnations_.NoteClosed(
      worker->capacity.id, worker->link->LastFenced(),
      /*may_return=*/!worker->instance_taken, deps_.clock->Now());
  worker->link->Close();
}

void PartitionOwner::OnDirectory(const StoredItem& item) {
  const std::string id = item.key.substr(deps_.formats->WorkerPrefix().size());
  // Another writer may leave an entry whose id the record of workers has no
  // place for.
  const std::optional<WorkerEntry> entry =
      item.removed || !IsRecordable(id)
          ? std::nullopt
          : deps_.formats->DecodeWorker(item.key, item.value);
  if (!entry) {
    WorkerState* worker = FindWorker(id);
    if (worker == nullptr || !worker->listed) return;
    worker->listed = false;
    LogEvent(LogLevel::kInfo, "worker-unlisted",
             {{"worker", id}, {"tasks", worker->tasks.size()}});
    worker->unlisted_at = deps_.clock->Now();
    // The tasks of a worker that still answers continue; it gets no new ones.
    if (worker->instance_taken) DropIfSafeToForget(id);
    return;
  }
  WorkerState* worker = FindWorker(id);
  if (worker != nullptr && worker->link->Address().address != entry->address) {
    // The worker has moved. What ran at the old address belongs to another
    // incarnation.
    // A late heartbeat of an earlier incarnation says nothing of this one.
    if (entry->born_unix_ms != 0 &&
        entry->born_unix_ms < worker->link->BornUnixMs()) {
      return;
    }
    OnWorkerLost(id, WorkerLoss::kAddressChanged);
    CloseLink(worker);
    workers_.erase(id);
    worker = nullptr;
  }
  const bool added = worker == nullptr;
  if (added) worker = AddWorker(id, entry->address);
  if (entry->draining != worker->entry.draining || added) {
    LogEvent(LogLevel::kInfo, "worker-listed",
             {{"worker", id},
              {"pool", entry->pool},
              {"draining", entry->draining},
              {"remaining_ms", entry->remaining_ms}});
  }
  worker->entry = *entry;
  worker->listed = true;
  worker->unlisted_at = TimePoint{};
  worker->capacity.pool = entry->pool;
  worker->pool = round_pools_.Named(entry->pool);
  worker->capacity.rack = entry->rack;
  worker->capacity.room = entry->room;
  worker->link->NoteIncarnation(entry->born_unix_ms);
  UpdateLabels(worker);
  if (added && loaded_) worker_recorder_->Save();
  ScheduleDispatch();
}

void PartitionOwner::UpdateLabels(WorkerState* worker) {
  const std::int64_t entry_born = worker->entry.born_unix_ms;
  const bool current =
      entry_born == 0 || entry_born >= worker->link->BornUnixMs();
  worker->capacity.labels =
      current ? worker->entry.labels : std::vector<std::string>();
}

void PartitionOwner::Allocate(WorkerState* worker, JobRecord* job,
                              const TaskId& id) {
  const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
  if (!worker->tasks.insert(id).second) return;
  worker->capacity.used += Charge(step);
  ++worker->capacity.tasks;
  if (step.lasting) ++worker->capacity.lasting;
  if (step.target_ms > 0) ++worker->capacity.serving;
  if (step.filler) ++worker->capacity.fillers;
  workspace_used_[job->spec.workspace] += step.need;
}

void PartitionOwner::Release(WorkerState* worker, JobRecord* job,
                             const TaskId& id) {
  const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
  if (worker->tasks.erase(id) == 0) return;
  worker->capacity.used -= Charge(step);
  --worker->capacity.tasks;
  if (step.lasting) --worker->capacity.lasting;
  if (step.target_ms > 0) --worker->capacity.serving;
  if (step.filler) --worker->capacity.fillers;
  workspace_used_[job->spec.workspace] -= step.need;
  if (!worker->tasks.empty()) return;
  worker->idle_since = deps_.clock->Now();
}

void PartitionOwner::ReturnToQueue(JobRecord* job, const TaskId& id) {
  TaskRecord* task = jobs_.FindTask(id);
  if (task == nullptr) return;
  WorkerState* worker = FindWorker(task->worker);
  Requeue(job, id);
  if (worker != nullptr) Release(worker, job, id);
}

void PartitionOwner::StopTask(JobRecord* job, const TaskId& id,
                              TaskRecord* task) {
  WorkerState* worker = FindWorker(task->worker);
  if (task->start_held) {
    ReturnToQueue(job, id);
    return;
  }
  if (worker == nullptr) {
    Requeue(job, id);
    return;
  }
  task->state = TaskState::kStopping;
  task->sent_at = deps_.clock->Now();
  worker->link->Stop(id, task->run);
}

void PartitionOwner::OnReport(const std::string& id, const HoldAnswer& answer,
                              TimePoint sent_at, bool settled) {
  const TurnTimer timer(deps_.clock, "report");
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) return;
  worker->reported_at = deps_.clock->Now();
  if (settled && !answer.more_ends) worker->settled_at = sent_at;
  RecordFencedIncarnation(worker);
  std::set<std::string> changed;
  worker->unowned_runs_reported = 0;
  worker->unknown_job_runs_reported = 0;
  for (const EndedTask& end : answer.ended) OnEnded(worker, end, &changed);
  // A run that is missing from a truncated report may have ended. One that has
  // vanished leaves its task to another run of it in the report.
  if (!answer.more_ends) FindVanished(worker, answer, sent_at, settled);
  for (const RunningTask& running : answer.running) OnRunning(worker, running);
  FreeAbandonedRuns(worker, answer, sent_at);
  ResolveLostRuns(worker, answer, settled);
  UpdatePollWait(worker);
  PaceFillers(worker);
  if (worker->unowned_runs_reported == 0) worker->unwanted_runs.clear();
  if (worker->unknown_job_runs_reported == 0) worker->unknown_job_runs.clear();
  const bool complete = !answer.more_ends && worker->unknown_job_ends.empty() &&
                        worker->unknown_job_runs.empty();
  if (complete && unread_workers_.contains(id)) {
    LogEvent(LogLevel::kInfo, "worker-read",
             {{"worker", id},
              {"term", options_.term},
              {"fence", worker->link->Fence()},
              {"born", worker->link->BornUnixMs()},
              {"running", answer.running.size()},
              {"ended", answer.ended.size()},
              {"unread", unread_workers_.size() - 1},
              {"after_ms", (deps_.clock->Now() - began_at_).count()}});
    MarkWorkerRead(id);
  }
  if (!answer.ended.empty()) {
    std::int64_t last = 0;
    for (const EndedTask& end : answer.ended) {
      last = std::max(last, end.number);
    }
    EndBatch ends = {.incarnation = worker->link->Incarnation(),
                     .last = last,
                     .changed = std::move(changed)};
    if (worker->unknown_job_ends.empty()) {
      StoreEnds(worker, ends);
    } else {
      worker->deferred_ends.push_back(std::move(ends));
    }
  }
  ScheduleDispatch();
}

void PartitionOwner::OnEndsStored(const std::string& worker,
                                  std::int64_t number,
                                  TimePoint save_begun_at) {
  const Millis took = deps_.clock->Now() - save_begun_at;
  Observe("end_stored_ms", took);
  LogEvent(LogLevel::kInfo, "ends-stored",
           {{"worker", worker}, {"up_to", number}, {"after_ms", took.count()}});
}

void PartitionOwner::OnRunning(WorkerState* worker,
                               const RunningTask& running) {
  JobRecord* job = jobs_.Find(running.task.job);
  if (job != nullptr) OpenReportedOccurrence(job, running.task);
  TaskRecord* task = FindTaskOf(job, running.task);
  const bool wanted = job != nullptr && task != nullptr &&
                      !IsFinal(job->state) && task->state != TaskState::kDone;
  if (task != nullptr && task->worker == worker->capacity.id &&
      task->run == running.run) {
    if (task->state == TaskState::kStopping &&
        deps_.clock->Now() - task->sent_at > kStopRetryDelay) {
      StopTask(job, running.task, task);
    }
    if (task->state == TaskState::kStarting) {
      task->state = TaskState::kRunning;
      task->started_at = deps_.clock->Now();
      task->progressed_at = task->started_at;
      if (job->state == JobState::kQueued) job->state = JobState::kRunning;
    }
    task->ended_unreported = false;
    task->checkpoint = running.checkpoint;
    const TimePoint now = deps_.clock->Now();
    if (task->percent != running.percent) task->progressed_at = now;
    task->percent = running.percent;
    const StepSpec& step =
        job->spec.steps[static_cast<std::size_t>(running.task.step)];
    // Fillers get the resources that other tasks leave, so their speed is no
    // evidence about the worker.
    if (!step.lasting && !step.filler && task->state == TaskState::kRunning) {
      const RunProgress progress = ProgressOf(*job, running.task, *task);
      // Counts once for each run: a long task by itself is no evidence of a
      // slow worker.
      if (!task->speed_sampled &&
          worker->outlier_detector.RecordProgress(
              progress.elapsed, progress.percent, progress.expected_ms)) {
        task->speed_sampled = true;
      }
      if (IsStuck(progress)) worker->outlier_detector.RecordStuckRun(now);
    }
    task->reported_load = running.reported_load;
    NoteAlive(running.task, task, WorkedFor(*worker, *task));
    return;
  }
  if (wanted && task->state == TaskState::kWaiting &&
      std::find(task->failed_runs.begin(), task->failed_runs.end(),
                running.run) == task->failed_runs.end()) {
    AdoptRun(job, running.task, worker->capacity.id, running,
             deps_.clock->Now());
    late_starts_.NoteExecuted(running.task, running.run);
    Allocate(worker, job, running.task);
    NoteReportedRun(running.task, worker->capacity.id);
    NoteAlive(running.task, task, Millis(0));
    LogEvent(LogLevel::kInfo, "run-adopted",
             {{"task", FormatTaskId(running.task)},
              {"run", running.run},
              {"term", options_.term},
              {"worker", worker->capacity.id}});
    return;
  }
  if (AwaitsUnknownJob(worker, running)) {
    ++worker->unowned_runs_reported;
    ++worker->unknown_job_runs_reported;
    return;
  }
  if (wanted) NoteReportedRun(running.task, worker->capacity.id);
  if (task != nullptr && IsFinal(job->state)) {
    HoldRoomOfFinishedJob(worker, *job, running);
  }
  StopUnwantedRun(worker, running.task, running.run);
}

void PartitionOwner::StopUnwantedRun(WorkerState* worker, const TaskId& task,
                                     std::int64_t run) {
  ++worker->unowned_runs_reported;
  TimePoint& last_stop_at = worker->unwanted_runs[{task, run}];
  const TimePoint now = deps_.clock->Now();
  if (last_stop_at != TimePoint{} && now - last_stop_at < kStopRetryDelay) {
    return;
  }
  last_stop_at = now;
  LogEvent(LogLevel::kInfo, "run-unwanted",
           {{"task", FormatTaskId(task)},
            {"run", run},
            {"term", options_.term},
            {"worker", worker->capacity.id}});
  worker->link->Stop(task, run);
}

void PartitionOwner::OnEnded(WorkerState* worker, const EndedTask& end,
                             std::set<std::string>* changed) {
  JobRecord* job = jobs_.Find(end.task.job);
  if (job == nullptr) {
    if (MayBecomeKnown(end.task.job)) {
      worker->unknown_job_ends.push_back(
          {.end = end, .reported_at = deps_.clock->Now()});
    }
    return;
  }
  // A worker whose entry had expired may report an end again, after the end has
  // changed the job and before the change is stored. Its acknowledgement
  // therefore waits for the job's record even if it changes nothing now.
  if (!job->final_stored) changed->insert(end.task.job);
  OpenReportedOccurrence(job, end.task);
  TaskRecord* task = FindTaskOf(job, end.task);
  if (task == nullptr) {
    // The occurrence of the task is done.
    return;
  }
  ForgetUnconfirmed(end.task, end.run);
  late_starts_.NoteExecuted(end.task, end.run);
  const std::string& id = worker->capacity.id;
  const bool current = task->worker == id && task->run == end.run;
  const TimePoint now = deps_.clock->Now();
  if (IsFinal(job->state)) {
    if (current) ReturnToQueue(job, end.task);
    DropIfFinished(end.task.job);
    return;
  }
  const StepSpec& step =
      job->spec.steps[static_cast<std::size_t>(end.task.step)];
  if (current && task->started_at != TimePoint{}) {
    durations_.AddRun(job, end.task, end.kind, now - task->started_at,
                      CircumstancesOf(*worker, step, *task));
  }
  if (end.kind == EndKind::kDone || end.kind == EndKind::kFailed) {
    worker->outlier_detector.RecordRunEnd(end.task.job,
                                          end.kind == EndKind::kFailed, now);
  }
  const std::vector<HeldRun> held_runs = RunsEndedWith(end.task, step);
  const EndEffect effect = ApplyEnd(job, end, id, MaxAttempts(*job));
  if (effect == EndEffect::kIgnored) return;
  task = FindTaskOf(job, end.task);
  LogEvent(LogLevel::kInfo, "run-ended",
           {{"task", FormatTaskId(end.task)},
            {"run", end.run},
            {"worker", id},
            {"number", end.number},
            {"how", NameOf(kEndKindNames, end.kind)},
            {"failures", task == nullptr ? 0 : task->failures}});
  if (task != nullptr && current) {
    task->started_at = TimePoint{};
    if (end.kind == EndKind::kFailed) {
      task->not_before = now + kRetryAfterFailure;
    }
  }
  const bool done =
      effect == EndEffect::kTaskDone || effect == EndEffect::kJobDone;
  for (const HeldRun& held : held_runs) {
    const bool reported = current && held.task == end.task;
    if (!reported && !done) continue;
    Release(held.worker, job, held.task);
    if (reported) continue;
    HoldRoom(held.worker, *job, held.task, held.run);
    // The other members of a gang's run end by themselves.
    if (held.run != end.run) {
      StopUnwantedRun(held.worker, held.task, held.run);
    }
  }
  Count(end.kind == EndKind::kDone     ? "runs_done_total"
        : end.kind == EndKind::kFailed ? "runs_failed_total"
                                       : "runs_cut_short_total");
  if (effect == EndEffect::kJobDone || effect == EndEffect::kJobFailed) {
    OnJobEnded(job);
  }
}

void PartitionOwner::OnJobEnded(JobRecord* job) {
  const Millis age = deps_.clock->Now() - job->accepted_at;
  Count(job->state == JobState::kSucceeded ? "jobs_succeeded_total"
                                           : "jobs_failed_total");
  Observe("job_ms", age);
  LogEvent(LogLevel::kInfo, "job-ended",
           {{"job", job->spec.id},
            {"queue", job->spec.queue},
            {"state", NameOf(kJobStateNames, job->state)},
            {"age_ms", age.count()}});
  EndJob(job);
}

void PartitionOwner::FindVanished(WorkerState* worker, const HoldAnswer& answer,
                                  TimePoint sent_at, bool settled) {
  std::vector<TaskId> vanished;
  for (const TaskId& id : worker->tasks) {
    TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr) continue;
    const bool listed =
        std::any_of(answer.running.begin(), answer.running.end(),
                    [&](const RunningTask& running) {
                      return running.run == task->run && running.task == id;
                    });
    if (listed) continue;
    // The start of a run that is being stopped may not be answered yet.
    const bool unanswered = task->started_at == TimePoint{};
    // A start without an answer is settled only by a report under a later
    // fencing token, and for the incarnation that reports.
    const bool gone =
        unanswered
            ? settled && task->sent_at < sent_at && task->start_outcome_unknown
            : task->sent_at < sent_at && task->started_at < sent_at;
    if (gone) vanished.push_back(id);
  }
  CountTakenForOver("missing in a report", vanished.size());
  for (const TaskId& id : vanished) {
    JobRecord* job = jobs_.Find(id.job);
    TaskRecord* task = jobs_.FindTask(id);
    LogTakenForOver(
        LogLevel::kInfo, "run-vanished", *worker,
        {{"task", FormatTaskId(id)},
         {"run", task->run},
         {"started", task->started_at != TimePoint{}},
         {"settled", settled},
         {"report_age_ms", (deps_.clock->Now() - sent_at).count()},
         {"start_age_ms", (deps_.clock->Now() - task->sent_at).count()}});
    task->start_outcome_unknown = false;
    ForgetUnconfirmed(id, task->run);
    const std::optional<LateStart> late = late_starts_.FindUnanswered(id);
    ReturnToQueue(job, id);
    if (late) late_starts_.Hold(*worker, *late);
    if (IsFinal(job->state)) DropIfFinished(id.job);
  }
}

}  // namespace basilusher
