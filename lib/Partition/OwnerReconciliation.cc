// Reconciliation with runs and ends that the owner does not know: those on
// unread workers, those of jobs that it has not learnt of, and those of earlier
// incarnations of a worker.
#include <algorithm>
#include <cassert>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Directory entries expire while the store does not accept heartbeats. The
/// entries of live workers are back within two seconds after the store
/// recovers.
constexpr Millis kEntryReturnTime{2300};

}  // namespace

bool PartitionOwner::IsIdle(const WorkerState& worker) const {
  return worker.tasks.empty() && worker.abandoned.empty() &&
         worker.lost_runs.empty() && worker.link->UnacknowledgedEnds() == 0 &&
         !unread_workers_.contains(worker.capacity.id);
}

bool PartitionOwner::IsSafeToForget(const WorkerState& worker) const {
  return IsIdle(worker) && !late_starts_.MayHappenOn(worker.capacity.id);
}

void PartitionOwner::DropIfSafeToForget(const std::string& id) {
  WorkerState* worker = FindWorker(id);
  if (!loaded_ || worker == nullptr || worker->listed ||
      !IsSafeToForget(*worker)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "worker-dropped", {{"worker", id}});
  CloseLink(worker);
  worker->dropped = true;
  // The link may be on the call stack, so the entry is erased later.
  deps_.timers->After(Millis(0), [self = shared_from_this(), id] {
    const auto it = self->workers_.find(id);
    if (it != self->workers_.end() && it->second->dropped) {
      self->workers_.erase(it);
    }
    self->worker_recorder_->Save();
  });
  if (worker->instance_taken) return;
  // The record names the incarnation until no order to it matters any more.
  deps_.timers->After(former_incarnations_.Retention(),
                      [self = shared_from_this()] {
                        if (!self->closed_) self->worker_recorder_->SaveSoon();
                      });
}

void PartitionOwner::DropGoneWorkers() {
  for (const auto& [id, worker] : workers_) {
    if (worker->dropped || worker->unlisted_at == TimePoint{}) continue;
    const TimePoint since =
        std::max(worker->unlisted_at, directory_->UnbrokenSince());
    if (directory_->FreshAt() < since + kEntryReturnTime) continue;
    if (unread_workers_.contains(id) && MayHoldEarlierLease(id)) continue;
    // A worker that answers is read to its last end.
    if (!worker->link->Synced() && unread_workers_.contains(id)) {
      LogTakenForOver(
          LogLevel::kWarning, "worker-gone", *worker,
          {{"reason", "its entry stayed away and it is not read"},
           {"entry_away_for_ms", (directory_->FreshAt() - since).count()}});
      Count("workers_gone_total");
      unread_workers_.erase(id);
      gave_up_reading_ = true;
      ScheduleDispatch();
    }
    // A worker that is cut off from the store loses its entry too. The list of
    // instances still has it.
    const std::optional<bool> on_instance = IsOnInstance(*worker);
    if (!worker->link->Synced() && !on_instance.value_or(false)) {
      ConfirmCrash(worker.get(), /*crash_seen=*/on_instance.has_value());
    }
    DropIfSafeToForget(id);
  }
}

void PartitionOwner::MarkWorkerRead(const std::string& id) {
  if (unread_workers_.erase(id) == 0) return;
  if (!unread_workers_.empty() || gave_up_reading_) return;
  fully_read_term_ = options_.term;
  worker_recorder_->Save();
}

void PartitionOwner::NoteEarlierOwnerStopped(
    const std::optional<LongLeases>& long_leases) {
  earlier_leases_.NotePreviousStopped(deps_.clock->Now(), long_leases);
  InheritLongLeases(long_leases);
}

void PartitionOwner::NotePreviousTermEnded(const EndedTerm& ended) {
  if (closed_ || ended.term + 1 != options_.term) return;
  previous_end_ = ended;
  earlier_leases_.NotePreviousEnded(deps_.clock->Now(), ended);
  late_starts_.Inherit(ended.unsettled_starts);
  InheritLongLeases(ended.long_leases);
}

void PartitionOwner::InheritLongLeases(
    const std::optional<LongLeases>& long_leases) {
  const TimePoint now = deps_.clock->Now();
  previous_told_leases_ =
      previous_told_leases_.value_or(false) || long_leases.has_value();
  for (const auto& [id, left] : long_leases.value_or(LongLeases())) {
    LogEvent(LogLevel::kInfo, "long-lease-inherited",
             {{"worker", id}, {"left_ms", left.count()}});
    WorkerState* worker = FindWorker(id);
    if (worker != nullptr) worker->link->NoteEarlierLease(now + left);
  }
  if (loaded_) ShortenOrphanedRunsWait();
}

EndedTerm PartitionOwner::DescribeEnd() const {
  assert(closed_ && "an owner that may still give leases has not ended");
  EndedTerm ended{.term = options_.term,
                  .long_leases = FindLongLeases(),
                  .usual_lease = LeaseBound(options_.task_lease),
                  .unsettled_starts = late_starts_.Describe()};
  const bool read_all = loaded_ && fully_read_term_ == options_.term;
  if (!read_all) {
    ended.earlier_left =
        std::max(Millis(0), earlier_leases_.LatestEnd() - deps_.clock->Now());
  }
  return ended;
}

bool PartitionOwner::AwaitsEarlierLeases() const {
  return (!loaded_ || !unread_workers_.empty()) &&
         deps_.clock->Now() < earlier_leases_.LatestEnd();
}

LongLeases PartitionOwner::FindLongLeases() const {
  LongLeases leases;
  const TimePoint now = deps_.clock->Now();
  const TimePoint renewed_until = now + LeaseBound(options_.task_lease);
  const auto add = [&](const std::string& id, TimePoint until) {
    if (until <= renewed_until) return;
    Millis& left = leases[id];
    left = std::max(left, until - now);
  };
  for (const auto& [id, worker] : workers_) {
    add(id, worker->link->LeaseEnd());
    if (worker->link->HasUnsettledStart()) {
      add(id, now + kMaxCallDelay + LeaseBound(options_.max_task_lease));
    }
  }
  for (const auto& [id, end] : earlier_leases_.LongLeaseEnds()) add(id, end);
  return leases;
}

bool PartitionOwner::TermIsConfirmed() const {
  return deps_.clock->Now() < listener_.confirmed_until();
}

bool PartitionOwner::MayHoldEarlierLease(const std::string& id) const {
  // An owner that is gone without a word cannot tell of a start on its way,
  // which the worker's next incarnation may execute. Nothing need have shown
  // that one.
  const bool untold = previous_told_leases_ && !*previous_told_leases_;
  const Millis late = untold ? kMaxCallDelay : Millis(0);
  return deps_.clock->Now() < earlier_leases_.EndOn(id) + late ||
         !TermIsConfirmed();
}

void PartitionOwner::ShortenOrphanedRunsWait() {
  // Unless the previous owner had read all workers, an owner before it may
  // still give leases to those that the previous one had not read.
  if (options_.term <= 2 || fully_read_term_ + 1 >= options_.term) {
    earlier_leases_.NoteOnlyPreviousGaveLeases();
  }
}

bool PartitionOwner::MayHaveOrphanedRuns(const JobRecord& job) const {
  if (!job.inherited) return false;
  return std::any_of(
      unread_workers_.begin(), unread_workers_.end(),
      [this](const std::string& id) { return MayRunUnreported(id); });
}

bool PartitionOwner::MayRunUnreported(const std::string& worker) const {
  if (!unread_workers_.contains(worker)) return false;
  if (MayHoldEarlierLease(worker)) return true;
  // A worker that this owner is still reading holds the leases that it renews.
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second->link->Synced();
}

std::map<std::string, Resources> PartitionOwner::OrphanedUse() const {
  std::map<std::string, Resources> orphaned;
  if (unread_workers_.empty()) return orphaned;
  Resources largest;
  for (const auto& [id, worker] : workers_) {
    largest = ElementwiseMax(largest, worker->capacity.room);
  }
  Resources room;
  for (const std::string& id : unread_workers_) {
    const auto it = workers_.find(id);
    room += it != workers_.end() && it->second->listed
                ? it->second->capacity.room
                : largest;
  }
  for (const auto& [id, job] : jobs_.All()) {
    if (job->state == JobState::kSucceeded || !MayHaveOrphanedRuns(*job)) {
      continue;
    }
    Resources& use = orphaned[job->spec.workspace];
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!StepReady(*job, occurrence, static_cast<int>(s))) continue;
        for (const TaskRecord& task : occurrence.steps[s].tasks) {
          if (task.state == TaskState::kWaiting &&
              AwaitsOrphanedRun(*job, job->spec.steps[s], task)) {
            use += job->spec.steps[s].need;
          }
        }
      }
    }
  }
  for (auto& [workspace, use] : orphaned) use = ElementwiseMin(use, room);
  return orphaned;
}

void PartitionOwner::DropKeptJobs() {
  if (!kept_finished_jobs_ || !unread_workers_.empty()) return;
  kept_finished_jobs_ = false;
  std::vector<std::string> finished;
  for (const auto& [id, job] : jobs_.All()) {
    if (IsFinal(job->state)) finished.push_back(id);
  }
  for (const std::string& id : finished) DropIfFinished(id);
}

bool PartitionOwner::MayBecomeKnown(const std::string& job) const {
  return jobs_.Find(job) == nullptr && !finals_.contains(job) &&
         inbox_->FreshAt() < deps_.clock->Now();
}

void PartitionOwner::ResolveUnknownJobEnds() {
  for (const auto& [id, worker] : workers_) {
    if (worker->unknown_job_ends.empty()) continue;
    // An earlier owner may have run a job that the accepting node offered to it
    // directly and that this owner's watch has not shown yet.
    const TimePoint last = worker->unknown_job_ends.back().reported_at;
    if (inbox_->FreshAt() < last) continue;
    const std::vector<UnknownJobEnd> unknown_job_ends =
        std::move(worker->unknown_job_ends);
    worker->unknown_job_ends.clear();
    std::vector<EndBatch> deferred_ends = std::move(worker->deferred_ends);
    worker->deferred_ends.clear();
    std::set<std::string> changed;
    for (const UnknownJobEnd& entry : unknown_job_ends) {
      if (jobs_.Find(entry.end.task.job) != nullptr) {
        OnEnded(worker.get(), entry.end, &changed);
      }
    }
    for (EndBatch& ends : deferred_ends) {
      ends.changed.insert(changed.begin(), changed.end());
      StoreEnds(worker.get(), ends);
    }
  }
}

bool PartitionOwner::AwaitsUnknownJob(WorkerState* worker,
                                      const RunningTask& running) {
  if (early_cancels_.contains(running.task.job)) return false;
  if (!MayBecomeKnown(running.task.job)) return false;
  const auto [it, added] = worker->unknown_job_runs.try_emplace(
      {running.task, running.run}, deps_.clock->Now());
  return inbox_->FreshAt() < it->second;
}

void PartitionOwner::OpenReportedOccurrence(JobRecord* job, const TaskId& id) {
  if (id.occurrence < job->next_occurrence) return;
  // The earlier owner may have opened it when others were done.
  OpenDueOccurrences(
      job, job->spec.start_at_unix_ms + id.occurrence * job->spec.interval_ms,
      2 * MaxOpenOccurrences(job->spec));
}

void PartitionOwner::StoreEnds(WorkerState* worker, const EndBatch& ends) {
  recorder_->Save(
      std::vector<std::string>(ends.changed.begin(), ends.changed.end()),
      [self = shared_from_this(), link = worker->link, id = worker->capacity.id,
       incarnation = ends.incarnation, last = ends.last,
       save_begun_at = deps_.clock->Now()] {
        if (self->closed_) return;
        self->OnEndsStored(id, last, save_begun_at);
        link->Acknowledge(incarnation, last);
      });
}

void PartitionOwner::OnNewIncarnation(const std::string& id,
                                      const char* reason) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) return;
  Count("workers_lost_total");
  advice_.ForgetWorker(id);
  LogTakenForOver(LogLevel::kWarning, "worker-reborn", *worker,
                  {{"reason", reason}});
  worker->unknown_job_ends.clear();
  worker->deferred_ends.clear();
  worker->outlier_detector = OutlierDetector();
  UpdateLabels(worker);
  CollectLostRuns(worker);
  worker->reborn = true;
  worker->incarnation_seen_at = deps_.clock->Now();
  for (const TaskId& task_id : worker->tasks) {
    TaskRecord* task = jobs_.FindTask(task_id);
    if (task == nullptr) continue;
    task->start_outcome_unknown = true;
    task->ended_unreported = true;
  }
}

}  // namespace basilusher
