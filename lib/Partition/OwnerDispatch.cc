// Placement of waiting tasks on workers.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Support/TurnTimer.h"

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
  const Millis delay =
      round_pacer_.DelayFrom(deps_.clock->Now(), kDispatchDelay);
  deps_.timers->After(delay, [self = shared_from_this()] {
    self->dispatch_scheduled_ = false;
    if (!self->closed_) self->Dispatch();
  });
}

void PartitionOwner::Tick() {
  if (closed_) return;
  const TurnTimer timer(deps_.clock, "tick");
  const TimePoint now = deps_.clock->Now();
  if (loaded_) {
    const std::int64_t unix_ms = WallMicros() / 1000;
    for (const auto& [id, job] : jobs_.All()) {
      if (job->spec.times > 0) OpenDueOccurrences(job.get(), unix_ms);
    }
    ForgetOldFinals();
    ReportInboxAge();
    ReportRecords();
    ListCancellations();
    const bool renewing = MayRenewLeases();
    for (const auto& [id, worker] : workers_) {
      // A worker with tasks has been recorded, if not since it was kept.
      const bool known = worker->recorded || !worker->tasks.empty();
      worker->link->SetRenewing(renewing && known);
    }
    ResolveUnknownJobEnds();
    late_starts_.EndExpired();
    DropGoneWorkers();
    CompletePlacements();
    ReportTakeOverWait();
    DropKeptJobs();
    FindStragglers();
    if (round_pacer_.MayBegin(deps_.clock->Now())) {
      Dispatch();
    } else {
      ScheduleDispatch();
    }
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
         worker.link->Ready() && !MayBelongToLaterOwner(worker) &&
         !evacuation_.Blocks(worker.entry.data_centre);
}

bool PartitionOwner::MayBelongToLaterOwner(const WorkerState& worker) const {
  // An incarnation that a later owner has read rejects this one's commands. One
  // that began afterwards has seen no fencing token.
  return worker.incarnation_seen_at != TimePoint{} &&
         worker.incarnation_seen_at >= listener_.confirmed_until() &&
         !TermIsConfirmed();
}

void PartitionOwner::EndIsolation(TimePoint now) {
  for (const auto& [id, worker] : workers_) {
    if (worker->capacity.isolated && now >= worker->isolated_until) {
      worker->capacity.isolated = false;
    }
  }
}

void PartitionOwner::CollectWorkers(TimePoint now) {
  round_pools_.BeginRound();
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
    PoolWorkers& pool = *worker->pool;
    if (!suspect) {
      pool.healthy.Add(&worker->capacity);
      pool.cores += static_cast<double>(worker->capacity.room.cpu_millis) / 1e3;
    }
    pool.all.Add(&worker->capacity);
  }
}

void PartitionOwner::CollectWaitingSteps() {
  waiting_steps_.clear();
  // While workers are unread, a round also notes since when suspects wait.
  const bool all = options_.rank_all_pools || !unread_workers_.empty();
  for (const auto& [id, job] : jobs_.All()) {
    if (IsFinal(job->state)) continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const StepRecord& step = occurrence.steps[s];
        if (step.done + step.active >= static_cast<int>(step.tasks.size())) {
          continue;
        }
        const bool ready = StepReady(*job, occurrence, static_cast<int>(s));
        // The advisor is asked about steps that are not ready yet.
        if (ready || all || NeedsAdvice(*job)) {
          waiting_steps_.push_back({.job = job.get(),
                                    .record = &step,
                                    .spec = &job->spec.steps[s],
                                    .ready = ready});
        }
      }
    }
  }
}

bool PartitionOwner::MayPlace(const WaitingStep& step,
                              CandidateWorkers* workers) const {
  const StepSpec& spec = *step.spec;
  if (!workers->MayHold(Charge(spec))) return false;
  if (!step.ready) return true;
  const std::vector<TaskRecord>& tasks = step.record->tasks;
  const bool may_start = std::any_of(
      tasks.begin() + step.record->first_waiting, tasks.end(),
      [&](const TaskRecord& task) {
        return task.state == TaskState::kWaiting && TaskMayStart(spec, task);
      });
  return may_start &&
         WithinCap(*step.job, spec.need * (spec.gang ? spec.count : 1));
}

bool PartitionOwner::OpenPools(TimePoint now) {
  bool any_open = false;
  const bool all = options_.rank_all_pools || !unread_workers_.empty();
  for (const WaitingStep& step : waiting_steps_) {
    const JobRecord& job = *step.job;
    const QueueConfig* queue = QueueOf(job);
    PoolWorkers* pool =
        queue == nullptr ? nullptr : round_pools_.Of(job, *queue);
    if (pool == nullptr) continue;
    pool->has_waiting = true;
    if (pool->open) continue;
    CandidateWorkers* workers = now - job.accepted_at > kHealthyOnlyPeriod
                                    ? &pool->all
                                    : &pool->healthy;
    pool->open = all || MayPlace(step, workers);
    any_open = any_open || pool->open;
  }
  return any_open;
}

std::vector<PlacementCandidate> PartitionOwner::CollectCandidates(
    TimePoint now) {
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, job] : jobs_.All()) {
    if (IsFinal(job->state)) continue;
    const QueueConfig* queue = QueueOf(*job);
    if (queue == nullptr) continue;
    PoolWorkers* pool = round_pools_.Of(*job, *queue);
    if (pool == nullptr || !pool->open) continue;
    const bool learned = durations_.Learned();
    const double ratio = learned ? 1 : durations_.Ratio(job->spec.queue);
    for (auto& [number, occurrence] : job->occurrences) {
      bool is_waiting = false;
      BacklogJob backlog;
      double waiting_cores = 0;
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
          pool->cores -= cores * step.active;
          continue;
        }
        backlog.work_core_ms += task_core_ms * waiting;
        waiting_cores += cores * waiting;
        backlog.started = backlog.started || step.active + step.done > 0;
        pool->running_core_ms +=
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
           .pool = pool,
           .any_worker = now - job->accepted_at > kHealthyOnlyPeriod,
           .backlog = backlog,
           .waiting_cores = waiting_cores});
    }
  }
  return candidates;
}

std::map<std::string, double> PartitionOwner::ArrivingCores() const {
  std::map<std::string, double> cores;
  for (const auto& [id, op] : instance_operations_) {
    if (op.wave > 0 || !op.accepted) continue;
    const auto instance = instances_.find(id);
    if (instance == instances_.end() ||
        evacuation_.Blocks(instance->second.data_centre)) {
      continue;
    }
    cores[op.to_pool] +=
        static_cast<double>(instance->second.room.cpu_millis) / 1e3;
  }
  return cores;
}

void PartitionOwner::DeferUnservable(
    std::vector<PlacementCandidate>* candidates) {
  const std::map<std::string, double> arriving = ArrivingCores();
  for (auto& [name, pool] : round_pools_.All()) {
    if (!pool.open) continue;
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
    pool.deferred = 0;
    for (std::size_t i = 0; i < in_time.size(); ++i) {
      if (servable[i]) continue;
      in_time[i]->urgency.lateness = Lateness::kUnservable;
      ++pool.deferred;
    }
  }
}

void PartitionOwner::ReportDeferred() {
  if (deps_.counters == nullptr) return;
  std::int64_t deferred = 0;
  for (auto& [name, pool] : round_pools_.All()) {
    if (!pool.has_waiting) pool.deferred = 0;
    deferred += pool.deferred;
  }
  deps_.counters->Set("jobs_deferred", deferred);
}

void PartitionOwner::Dispatch() {
  if (!MayStart()) return;
  const TurnTimer timer(deps_.clock, "dispatch");
  const TimePoint began_at = deps_.clock->Now();
  PlaceWaitingTasks();
  round_pacer_.NoteRound(began_at, deps_.clock->Now());
}

void PartitionOwner::PlaceWaitingTasks() {
  CheckLoopLateness();
  if (held_since_ != TimePoint{}) return;
  if (HasStaleView()) return;
  const TimePoint now = deps_.clock->Now();
  workspace_orphaned_ = OrphanedUse();
  if (!TermIsConfirmed()) AddUnreportedUse(&workspace_orphaned_);
  late_starts_.AddUse(&workspace_orphaned_);
  SendStoredStarts();
  CollectWaitingSteps();
  if (waiting_steps_.empty()) {
    round_pools_.BeginRound();
    EndIsolation(now);
  } else {
    CollectWorkers(now);
  }
  if (OpenPools(now)) {
    std::vector<PlacementCandidate> candidates = CollectCandidates(now);
    shares_.Order(round_pools_.All(), &candidates);
    // Equally urgent jobs keep the order of the job table.
    const auto by_urgency = [](const PlacementCandidate& a,
                               const PlacementCandidate& b) {
      return a.urgency < b.urgency;
    };
    std::stable_sort(candidates.begin(), candidates.end(), by_urgency);
    DeferUnservable(&candidates);
    std::stable_sort(candidates.begin(), candidates.end(), by_urgency);
    for (const PlacementCandidate& candidate : candidates) PlaceJob(candidate);
  }
  ReportDeferred();
}

std::int64_t PartitionOwner::NextRun(const TaskRecord& task) const {
  return std::max(task.run, (options_.term - 1) * kRunsPerTerm) + 1;
}

bool PartitionOwner::NeedsAdvice(const JobRecord& job) const {
  const QueueConfig* queue = QueueOf(job);
  return queue != nullptr && queue->advice.needed;
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
