// Placement of waiting tasks on workers.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Events within this time share one round of placement.
constexpr Millis kDispatchDelay{1};
/// Period of the tick that handles time-driven work.
constexpr Millis kTickPeriod{100};
/// A task whose start was refused is not placed again for this long.
constexpr Millis kRetryAfterRefusal{100};
/// A job accepted longer ago than this is also placed on suspect workers,
/// though placement still prefers healthy ones. About the objective of one
/// short job.
constexpr Millis kHealthyOnlyPeriod{2500};
/// Time until an instance that has been ordered into a pool takes tasks, if the
/// platform has just accepted the order.
constexpr Millis kInstanceArrival{1500};
/// Mean share of a running task's duration that is still to come.
constexpr double kMeanShareLeft = 0.5;
/// Lets all members of a gang resume from one checkpoint; that of any member
/// is valid for the others.
void ShareCheckpoint(StepRecord* gang) {
  const auto saved = std::find_if(
      gang->tasks.begin(), gang->tasks.end(),
      [](const TaskRecord& task) { return !task.checkpoint.empty(); });
  if (saved == gang->tasks.end()) return;
  const std::string checkpoint = saved->checkpoint;
  for (TaskRecord& task : gang->tasks) task.checkpoint = checkpoint;
}

}  // namespace

void PartitionOwner::Count(const char* name, std::int64_t n) {
  if (deps_.counters != nullptr) deps_.counters->Add(name, n);
}

void PartitionOwner::Observe(const char* name, Millis value) {
  if (deps_.counters != nullptr) deps_.counters->Observe(name, value.count());
}

void PartitionOwner::ScheduleDispatch() {
  if (dispatch_scheduled_ || closed_) return;
  dispatch_scheduled_ = true;
  deps_.timers->After(kDispatchDelay, [self = shared_from_this()] {
    self->dispatch_scheduled_ = false;
    if (!self->closed_) self->Dispatch();
  });
}

void PartitionOwner::Tick() {
  if (closed_) return;
  const TimePoint now = deps_.clock->Now();
  if (loaded_) {
    const std::int64_t unix_ms = WallMicros() / 1000;
    for (const auto& [id, job] : jobs_.All()) {
      if (job->spec.times > 0) OpenDueOccurrences(job.get(), unix_ms);
    }
    ForgetOldFinals();
    ReportInboxAge();
    ListCancellations();
    const bool renewing =
        now < listener_.confirmed_until() + options_.max_unconfirmed;
    for (const auto& [id, worker] : workers_) {
      worker->link->SetRenewing(renewing);
    }
    ResolveUnknownJobEnds();
    DropGoneWorkers();
    CompletePlacements();
    ReportTakeOverWait();
    DropKeptJobs();
    FindStragglers();
    Dispatch();
    wait_report_.Report();
    durations_.Report(options_.term, now);
  } else {
    CheckLoading();
  }
  next_tick_at_ = now + kTickPeriod;
  deps_.timers->After(kTickPeriod,
                      [self = shared_from_this()] { self->Tick(); });
}

bool PartitionOwner::Usable(const WorkerState& worker) const {
  return worker.listed && worker.recorded && !worker.reserved &&
         !worker.entry.draining && worker.unowned_runs_reported == 0 &&
         worker.link->Ready() && !MayBelongToLaterOwner(worker);
}

bool PartitionOwner::MayBelongToLaterOwner(const WorkerState& worker) const {
  // An incarnation that a later owner has read rejects this one's commands. One
  // that began afterwards has seen no fencing token.
  return worker.incarnation_seen_at >= listener_.confirmed_until() &&
         !TermIsConfirmed();
}

std::map<std::string, PoolWorkers> PartitionOwner::CollectWorkers(
    TimePoint now) {
  std::map<std::string, PoolWorkers> pools;
  for (const auto& [id, worker] : workers_) {
    worker->capacity.outlier_score = worker->outlier_detector.OutlierScore(now);
    worker->capacity.isolated = now < worker->isolated_until;
    worker->capacity.recent_start = now < worker->last_start_at + kStartupPhase;
    if (!Usable(*worker)) continue;
    // A suspect worker gets one task as a probe. It gets more only if the
    // healthy workers have had no room for a long time.
    const bool suspect =
        worker->outlier_detector.Quarantined(now) ||
        (worker->capacity.outlier_score > 0 && worker->capacity.tasks > 0);
    PoolWorkers& pool = pools[worker->capacity.pool];
    if (!suspect) {
      pool.healthy.push_back(&worker->capacity);
      pool.cores += static_cast<double>(worker->capacity.room.cpu_millis) / 1e3;
    }
    pool.all.push_back(&worker->capacity);
  }
  return pools;
}

std::vector<PlacementCandidate> PartitionOwner::CollectCandidates(
    std::map<std::string, PoolWorkers>* pools, TimePoint now) {
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, job] : jobs_.All()) {
    if (IsFinal(job->state)) continue;
    const QueueConfig* queue = QueueOf(*job);
    if (queue == nullptr) continue;
    const auto pool = pools->find(queue->pool);
    if (pool == pools->end()) continue;
    const bool learned = durations_.Learned();
    const double ratio = learned ? 1 : durations_.Ratio(job->spec.queue);
    for (auto& [number, occurrence] : job->occurrences) {
      bool is_waiting = false;
      BacklogJob backlog;
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const StepRecord& step = occurrence.steps[s];
        const StepSpec& spec = job->spec.steps[s];
        const int waiting =
            static_cast<int>(step.tasks.size()) - step.done - step.active;
        const double cores = static_cast<double>(Charge(spec).cpu_millis) / 1e3;
        const double task_core_ms =
            cores * (learned && !spec.lasting
                         ? durations_.MeanMs(*job, occurrence, s, now)
                         : StepDurationMs(spec, ratio));
        is_waiting = is_waiting || waiting > 0;
        if (spec.lasting) {
          pool->second.cores -= cores * step.active;
          continue;
        }
        backlog.work_core_ms += task_core_ms * waiting;
        backlog.started = backlog.started || step.active + step.done > 0;
        pool->second.running_core_ms +=
            learned ? cores * durations_.LeftMs(*job, occurrence, s, now)
                    : task_core_ms * step.active * kMeanShareLeft;
      }
      if (!is_waiting) continue;
      const Urgency urgency =
          learned ? RankJob(*job, occurrence, *queue, durations_, now)
                  : RankJob(*job, occurrence, *queue, ratio, now);
      backlog.slack_ms = urgency.slack_ms;
      candidates.push_back(
          {.urgency = urgency,
           .job = job.get(),
           .occurrence = number,
           .pool = &pool->second,
           .any_worker = now - job->accepted_at > kHealthyOnlyPeriod,
           .backlog = backlog});
    }
  }
  return candidates;
}

std::map<std::string, double> PartitionOwner::ArrivingCores() const {
  std::map<std::string, double> cores;
  for (const auto& [id, op] : instance_operations_) {
    const auto instance = instances_.find(id);
    if (op.wave > 0 || !op.accepted || instance == instances_.end()) continue;
    cores[op.to_pool] +=
        static_cast<double>(instance->second.room.cpu_millis) / 1e3;
  }
  return cores;
}

void PartitionOwner::DeferUnservable(
    std::vector<PlacementCandidate>* candidates,
    const std::map<std::string, PoolWorkers>& pools) {
  const std::map<std::string, double> arriving = ArrivingCores();
  std::int64_t deferred = 0;
  for (const auto& [name, pool] : pools) {
    std::vector<PlacementCandidate*> in_time;
    std::vector<BacklogJob> backlog;
    for (PlacementCandidate& candidate : *candidates) {
      if (candidate.pool != &pool ||
          candidate.urgency.lateness != Lateness::kInTime) {
        continue;
      }
      in_time.push_back(&candidate);
      backlog.push_back(candidate.backlog);
    }
    const auto coming = arriving.find(name);
    const std::vector<bool> servable = ServableInTime(
        backlog,
        {.cores = pool.cores,
         .running_core_ms = pool.running_core_ms,
         .arriving_cores = coming == arriving.end() ? 0 : coming->second,
         .arriving_in_ms = kInstanceArrival.count()});
    for (std::size_t i = 0; i < in_time.size(); ++i) {
      if (servable[i]) continue;
      in_time[i]->urgency.lateness = Lateness::kUnservable;
      ++deferred;
    }
  }
  if (deps_.counters != nullptr) deps_.counters->Set("jobs_deferred", deferred);
}

void PartitionOwner::Dispatch() {
  if (!MayStart()) return;
  CheckLoopLateness();
  if (held_since_ != TimePoint{}) return;
  if (HasStaleView()) return;
  const TimePoint now = deps_.clock->Now();
  workspace_orphaned_ = OrphanedUse();
  if (!TermIsConfirmed()) AddUnreportedUse(&workspace_orphaned_);
  SendStoredStarts();
  std::map<std::string, PoolWorkers> pools = CollectWorkers(now);
  std::vector<PlacementCandidate> candidates = CollectCandidates(&pools, now);
  const auto by_urgency = [](const PlacementCandidate& a,
                             const PlacementCandidate& b) {
    return a.urgency < b.urgency;
  };
  std::sort(candidates.begin(), candidates.end(), by_urgency);
  DeferUnservable(&candidates, pools);
  std::stable_sort(candidates.begin(), candidates.end(), by_urgency);
  for (const PlacementCandidate& candidate : candidates) PlaceJob(candidate);
}

void PartitionOwner::PlaceJob(const PlacementCandidate& candidate) {
  JobRecord* job = candidate.job;
  const std::vector<WorkerCapacity*>& workers =
      candidate.any_worker ? candidate.pool->all : candidate.pool->healthy;
  FullPoolMemo* full = candidate.any_worker ? &candidate.pool->full
                                            : &candidate.pool->full_if_healthy;
  OccurrenceRecord& occurrence = job->occurrences.at(candidate.occurrence);
  const bool may_have_orphans = MayHaveOrphanedRuns(*job);
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    StepRecord& step = occurrence.steps[s];
    const int index = static_cast<int>(s);
    if (may_have_orphans) {
      // The wait of a suspect for a worker of its own begins when it may start.
      for (TaskRecord& task : step.tasks) {
        if (AwaitsOrphanedRun(*job, job->spec.steps[s], task)) {
          task.suspect_since = deps_.clock->Now();
        }
      }
    }
    if (step.done + step.active >= static_cast<int>(step.tasks.size())) {
      continue;
    }
    if (!StepReady(*job, occurrence, index)) {
      // An answer from the advisor takes time, so it is requested while the
      // preceding steps still run.
      if (NeedsAdvice(*job) && PredecessorsStarted(*job, occurrence, index)) {
        AskAdvice(*job, candidate.occurrence, index, workers);
      }
      continue;
    }
    if (job->spec.steps[s].gang) {
      PlaceGang(job, candidate.occurrence, index, workers);
    } else {
      PlaceStep(job, candidate.occurrence, index, workers, full);
    }
  }
}

std::int64_t PartitionOwner::NextRun(const TaskRecord& task) const {
  return std::max(task.run, (options_.term - 1) * kRunsPerTerm) + 1;
}

bool PartitionOwner::NeedsAdvice(const JobRecord& job) const {
  const QueueConfig* queue = QueueOf(job);
  return queue != nullptr && queue->advice.needed;
}

void PartitionOwner::PlaceStep(JobRecord* job, int occurrence, int step,
                               const std::vector<WorkerCapacity*>& workers,
                               FullPoolMemo* full) {
  const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(step)];
  const bool needs_advice = NeedsAdvice(*job);
  if (!needs_advice && full->HasNoRoomFor(Charge(spec))) return;
  StepRecord& record =
      job->occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
  std::map<std::string, int> siblings;
  for (const TaskRecord& task : record.tasks) {
    if (!task.worker.empty()) ++siblings[task.worker];
  }
  // A run started by an earlier owner may exist on a worker that has not been
  // read yet.
  const bool may_have_orphans = MayHaveOrphanedRuns(*job);
  PlacementRequest request;
  request.step = &spec;
  request.count_siblings = [&siblings](const WorkerCapacity& worker) {
    const auto it = siblings.find(worker.id);
    return it == siblings.end() ? 0 : it->second;
  };
  if (needs_advice) {
    RequireTickets(
        {.job = job->spec.id, .occurrence = occurrence, .step = step},
        &request);
  }
  bool found_waiting = false;
  for (int i = record.first_waiting; i < spec.count; ++i) {
    TaskRecord& task = record.tasks[static_cast<std::size_t>(i)];
    if (task.state != TaskState::kWaiting) continue;
    if (!found_waiting) {
      record.first_waiting = i;
      found_waiting = true;
    }
    if (!TaskMayStart(spec, task) ||
        (may_have_orphans && AwaitsOrphanedRun(*job, spec, task))) {
      continue;
    }
    if (!WithinCap(*job, spec.need)) return;
    request.avoid_worker = task.avoid_worker;
    request.may_crash_worker = IsSuspect(task);
    WorkerCapacity* worker = ChooseWorker(request, workers);
    if (worker == nullptr) {
      if (needs_advice) AskAdvice(*job, occurrence, step, workers);
      if (!AnyHasRoom(Charge(spec), workers)) full->Add(Charge(spec));
      return;
    }
    const TaskId id = {.job = job->spec.id,
                       .occurrence = occurrence,
                       .step = step,
                       .index = i};
    ++siblings[worker->id];
    WorkerState* chosen = FindWorker(worker->id);
    if (request.may_crash_worker || spec.lasting) {
      StartWhenStored(job, {{.task = id, .worker = chosen}}, NextRun(task));
    } else {
      StartTask(job, id, chosen, NextRun(task));
    }
  }
}

void PartitionOwner::PlaceGang(JobRecord* job, int occurrence, int step,
                               const std::vector<WorkerCapacity*>& workers) {
  const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(step)];
  StepRecord& record =
      job->occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
  const bool may_have_orphans = MayHaveOrphanedRuns(*job);
  std::int64_t run = 0;
  for (const TaskRecord& task : record.tasks) {
    // All members of a gang start together or none does.
    if (task.state != TaskState::kWaiting || !TaskMayStart(spec, task)) return;
    if (may_have_orphans && AwaitsOrphanedRun(*job, spec, task)) return;
    run = std::max(run, NextRun(task));
  }
  if (!WithinCap(*job, spec.need * spec.count)) return;
  std::vector<WorkerCapacity> trial;
  trial.reserve(workers.size());
  for (const WorkerCapacity* worker : workers) trial.push_back(*worker);
  std::vector<WorkerCapacity*> trial_workers;
  trial_workers.reserve(trial.size());
  for (WorkerCapacity& worker : trial) trial_workers.push_back(&worker);
  std::map<std::string, int> siblings;
  PlacementRequest request;
  request.step = &spec;
  request.count_siblings = [&siblings](const WorkerCapacity& worker) {
    const auto it = siblings.find(worker.id);
    return it == siblings.end() ? 0 : it->second;
  };
  const bool needs_advice = NeedsAdvice(*job);
  if (needs_advice) {
    RequireTickets(
        {.job = job->spec.id, .occurrence = occurrence, .step = step},
        &request);
  }
  std::vector<std::string> chosen(record.tasks.size());
  for (const int i : SuspectsFirst(record)) {
    const TaskRecord& task = record.tasks[static_cast<std::size_t>(i)];
    request.may_crash_worker = MustIsolate(task);
    request.avoid_worker = IsSuspect(task) ? task.avoid_worker : std::string();
    WorkerCapacity* worker = ChooseWorker(request, trial_workers);
    if (worker == nullptr) {
      if (needs_advice) AskAdvice(*job, occurrence, step, workers);
      return;
    }
    worker->used += Charge(spec);
    ++siblings[worker->id];
    if (spec.same_rack && request.rack.empty()) request.rack = worker->rack;
    worker->isolated = MustStartApart(task);
    chosen[static_cast<std::size_t>(i)] = worker->id;
  }
  ShareCheckpoint(&record);
  std::vector<PlacedTask> placed;
  placed.reserve(chosen.size());
  for (int i = 0; i < spec.count; ++i) {
    placed.push_back(
        {.task = {.job = job->spec.id,
                  .occurrence = occurrence,
                  .step = step,
                  .index = i},
         .worker = FindWorker(chosen[static_cast<std::size_t>(i)])});
  }
  if (spec.lasting ||
      std::any_of(record.tasks.begin(), record.tasks.end(), IsSuspect)) {
    StartWhenStored(job, placed, run);
    return;
  }
  for (const PlacedTask& member : placed) {
    StartTask(job, member.task, member.worker, run);
  }
}

void PartitionOwner::StartTask(JobRecord* job, const TaskId& id,
                               WorkerState* worker, std::int64_t run) {
  ReserveWorker(job, id, worker, run);
  SendStart(job, id, worker);
}

void PartitionOwner::ReserveWorker(JobRecord* job, const TaskId& id,
                                   WorkerState* worker, std::int64_t run) {
  TaskRecord* task = jobs_.FindTask(id);
  MarkStarting(job, id, worker->capacity.id, run, deps_.clock->Now());
  task->start_outcome_unknown = false;
  task->started_at = TimePoint{};
  Allocate(worker, job, id);
  IsolateSuspect(worker, *task);
}

void PartitionOwner::SendStart(JobRecord* job, const TaskId& id,
                               WorkerState* worker) {
  const TimePoint now = deps_.clock->Now();
  TaskRecord* task = jobs_.FindTask(id);
  const std::int64_t run = task->run;
  task->sent_at = now;
  worker->last_start_at = now;
  Count("runs_started_total");
  if (job->state == JobState::kQueued) {
    Observe("job_wait_ms", now - job->accepted_at);
  }
  LogRunStart(*job, id, run, *worker);
  const std::string* ticket = advice_.Ticket(
      {.job = id.job, .occurrence = id.occurrence, .step = id.step},
      worker->capacity.id, now);
  worker->link->Start(
      {.task = id,
       .run = run,
       .payload = job->spec.payload,
       .checkpoint = task->checkpoint,
       .ticket = ticket == nullptr ? std::string() : *ticket},
      [this, id, run, worker_id = worker->capacity.id](CommandResult result) {
        OnStartResult(id, run, worker_id, result);
      });
}

void PartitionOwner::OnStartResult(const TaskId& id, std::int64_t run,
                                   const std::string& worker,
                                   CommandResult result) {
  JobRecord* job = jobs_.Find(id.job);
  TaskRecord* task = jobs_.FindTask(id);
  if (task == nullptr || task->worker != worker || task->run != run) return;
  const TimePoint now = deps_.clock->Now();
  if (result == CommandResult::kDone) {
    if (task->state == TaskState::kStopping &&
        task->started_at == TimePoint{}) {
      task->started_at = now;
    }
    if (task->state == TaskState::kStarting) {
      task->state = TaskState::kRunning;
      task->started_at = now;
      task->progressed_at = now;
      if (job->state == JobState::kQueued) job->state = JobState::kRunning;
    }
    return;
  }
  Count("runs_not_started_total");
  LogEvent(LogLevel::kWarning, "run-not-started",
           {{"task", FormatTaskId(id)},
            {"run", run},
            {"worker", worker},
            {"result", NameOf(kCommandResultNames, result)}});
  if (result == CommandResult::kUnknown) {
    task->start_outcome_unknown = true;
    return;
  }
  if (task->state == TaskState::kRunning) return;  // reported before the answer
  ForgetUnconfirmed(id, run);
  task->not_before = now + kRetryAfterRefusal;
  if (result == CommandResult::kNoTicket) {
    advice_.DropTicket(
        {.job = id.job, .occurrence = id.occurrence, .step = id.step}, worker);
  }
  if (result == CommandResult::kUnhealthy || result == CommandResult::kNoRoom) {
    task->avoid_worker = worker;
  }
  ReturnToQueue(job, id);
  if (IsFinal(job->state)) DropIfFinished(id.job);
  ScheduleDispatch();
}

}  // namespace basilusher
