// Loading of records when a term begins, and handling of submitted jobs.
#include <algorithm>

#include "basilusher/Net/Slices.h"
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Support/TurnTimer.h"

namespace basilusher {
namespace {

/// Delay between attempts to load records while the store refuses or does not
/// answer.
constexpr Millis kLoadRetryDelay{100};
/// If the connection of the inbox watch fails silently, a change can go
/// unnoticed for this long plus the time-out of one call. A submission waits
/// for it.
constexpr Millis kInboxWait{500};
/// Accepting nodes offer each job to the owner directly. The watch serves for
/// jobs that could not be offered and for cancellations.
constexpr Millis kInboxGather{30};
/// Age of the owner's view of its inbox that is reported: more than a quiet
/// watch and one lost call take.
constexpr Millis kInboxBehind{1500};
constexpr Millis kInboxAgePeriod{1000};
/// Counts of waiting jobs by an older view are not shown. Callers expect jobs
/// to be counted 5 s after their acceptance.
constexpr Millis kMaxPendingAge{4000};
/// The view is up to two waits old before the next answer; starts are held when
/// it is OwnerOptions::max_view_age old.
constexpr Millis kDirectoryWait{500};
/// Each worker rewrites its directory entry about once a heartbeat. The pause
/// delays the notice of a worker that joins or leaves, which is small against
/// the seconds that joining or leaving takes.
constexpr Millis kDirectoryGather{150};

std::string EncodeFinal(const JobRecord& job) {
  return Json({{"s", NameOf(kJobStateNames, job.state)}, {"q", job.spec.queue}})
      .dump();
}

/// Short description of a step for the log.
std::string DescribeStep(const StepSpec& step) {
  std::string text = std::to_string(step.count) + "x" +
                     std::to_string(step.need.cpu_millis) + "m/" +
                     std::to_string(step.need.memory_mb) + "MB " +
                     std::to_string(step.estimate_ms) + "ms";
  if (step.need.accelerators > 0) {
    text += " accelerators=" + std::to_string(step.need.accelerators);
  }
  if (step.lasting) text += " lasting";
  if (step.filler) text += " filler";
  if (step.gang) text += " gang";
  if (step.speculative) text += " speculative";
  if (step.checkpointable) text += " checkpoints";
  if (step.max_per_worker > 0) {
    text += " per-worker<=" + std::to_string(step.max_per_worker);
  }
  if (step.max_unavailable) {
    text += " unavailable<=" + std::to_string(*step.max_unavailable);
  }
  if (step.target_ms > 0) {
    text += " target=" + std::to_string(step.target_ms) + "ms";
  }
  if (!step.image.empty()) text += " image=" + step.image;
  return text;
}

std::optional<JobStatus> DecodeFinal(const std::string& bytes) {
  const Json document = Json::parse(bytes, nullptr, false);
  const std::optional<JobState> state =
      ValueOf(kJobStateNames, FieldOr(document, "s", std::string()));
  if (!state) return std::nullopt;
  return JobStatus{.state = *state,
                   .queue = FieldOr(document, "q", std::string())};
}

}  // namespace

PartitionOwner::PartitionOwner(OwnerDependencies dependencies,
                               OwnerOptions options, Listener listener)
    : deps_(dependencies),
      options_(std::move(options)),
      listener_(std::move(listener)),
      shares_(options_.workspace_shares, dependencies.counters),
      earlier_leases_({.usual = LeaseBound(options_.task_lease),
                       .longest = LeaseBound(options_.max_task_lease),
                       .owner_grace = options_.earlier_owner_grace},
                      dependencies.clock->Now()),
      former_incarnations_(kMaxCallDelay + LeaseBound(options_.max_task_lease)),
      late_starts_(this, LeaseBound(options_.max_task_lease)) {
  const RecordKeys& keys = options_.keys;
  recorder_ = std::make_shared<Recorder>(
      deps_.store, deps_.timers,
      RecorderKeys{.term_key = keys.owner,
                   .term_revision = options_.term_revision,
                   .progress_prefix = keys.progress_prefix,
                   .final_prefix = keys.final_prefix,
                   .removed_prefixes = {keys.job_prefix, keys.cancel_prefix}},
      Recorder::Listener{
          .snapshot =
              [this](const std::string& job) { return SnapshotOf(job); },
          .on_final =
              [this](const std::string& id) {
                JobRecord* job = jobs_.Find(id);
                if (job == nullptr) return;
                job->final_stored = true;
                job->final_at = deps_.clock->Now();
                finals_[id] = {
                    .status = {.state = job->state, .queue = job->spec.queue},
                    .stored_at = job->final_at};
                DropIfFinished(id);
              },
          .on_deposed =
              [this](std::int64_t found) { OnOwnerRecordChanged(found); }});
  worker_recorder_ = std::make_shared<WorkerRecorder>(
      deps_.store, deps_.timers,
      WorkerRecorderKeys{.term_key = keys.owner,
                         .term_revision = options_.term_revision,
                         .record_key = keys.workers},
      WorkerRecorder::Listener{
          .snapshot = [this] { return SnapshotOfWorkers(); },
          .on_stored =
              [this](const WorkerRecord& record) { OnWorkersStored(record); },
          .on_deposed =
              [this](std::int64_t found) { OnOwnerRecordChanged(found); }});
}

PartitionOwner::~PartitionOwner() { Close(); }

void PartitionOwner::Close() {
  if (closed_) return;
  closed_ = true;
  wait_report_.Clear();
  recorder_->Close();
  worker_recorder_->Close();
  if (inbox_ != nullptr) inbox_->Close();
  if (directory_ != nullptr) directory_->Close();
  for (const auto& [id, worker] : workers_) worker->link->Close();
}

void PartitionOwner::Begin(std::shared_ptr<const Catalog> catalog) {
  UseCatalog(std::move(catalog));
  began_at_ = deps_.clock->Now();
  loading_progress_at_ = began_at_;
  LoadProgress();
  LoadFinals();
  worker_recorder_->Load(
      [self = shared_from_this()](const WorkerRecord& record) {
        self->OnWorkerRecord(record);
      });
  LoadOrders();
  directory_ = std::make_shared<StoreWatcher>(
      deps_.store, deps_.timers, deps_.clock,
      StoreWatcherOptions{.prefix = deps_.formats->WorkerPrefix(),
                          .wait = kDirectoryWait,
                          .gather = kDirectoryGather},
      StoreWatcher::Listener{
          .on_item = [this](const StoredItem& item) { OnDirectory(item); },
          .on_loaded = [this] { OnLoaded(); },
          .on_progress = [this] { NoteAnswerPart(); }});
  directory_->Begin();
  inbox_ = std::make_shared<StoreWatcher>(
      deps_.store, deps_.timers, deps_.clock,
      StoreWatcherOptions{.prefix = options_.keys.inbox_prefix,
                          .wait = kInboxWait,
                          .gather = kInboxGather},
      StoreWatcher::Listener{
          .on_item = [this](const StoredItem& item) { OnInbox(item); },
          .on_loaded = [this] { OnLoaded(); },
          .on_progress = [this] { NoteAnswerPart(); }});
  Tick();
  FleetTick();
}

void PartitionOwner::LoadProgress() {
  deps_.store->List(
      options_.keys.progress_prefix,
      [self = shared_from_this()](const StoreAnswer& answer) {
        if (self->closed_) return;
        self->LogLoading("progress", answer);
        if (answer.status != TxnStatus::kOk) {
          self->deps_.timers->After(kLoadRetryDelay, [self] {
            if (!self->closed_) self->LoadProgress();
          });
          return;
        }
        const std::size_t skip = self->options_.keys.progress_prefix.size();
        for (const StoredItem& item : answer.items) {
          self->loaded_progress_[item.key.substr(skip)] = item;
        }
        self->progress_loaded_ = true;
        self->NoteLoadingProgress();
        // Jobs are read after their progress, so a job whose
        // progress is not listed has none.
        self->inbox_->Begin();
      },
      [self = shared_from_this()] { self->NoteAnswerPart(); });
}

void PartitionOwner::LoadFinals() {
  deps_.store->List(
      options_.keys.final_prefix,
      [self = shared_from_this()](const StoreAnswer& answer) {
        if (self->closed_) return;
        self->LogLoading("finals", answer);
        if (answer.status != TxnStatus::kOk) {
          self->deps_.timers->After(kLoadRetryDelay, [self] {
            if (!self->closed_) self->LoadFinals();
          });
          return;
        }
        self->ReadFinals(answer.items);
      },
      [self = shared_from_this()] { self->NoteAnswerPart(); });
}

void PartitionOwner::ReadFinals(const std::vector<StoredItem>& items) {
  const std::shared_ptr<const std::vector<StoredItem>> shared =
      std::make_shared<const std::vector<StoredItem>>(items);
  RunInSlices(
      deps_.timers, deps_.clock, shared->size(),
      [self = shared_from_this(), shared](std::size_t i) {
        if (self->closed_) return false;
        self->NoteLoadingProgress();
        const StoredItem& item = (*shared)[i];
        const std::optional<JobStatus> status = DecodeFinal(item.value);
        if (status) {
          self->finals_[item.key.substr(
              self->options_.keys.final_prefix.size())] = {
              .status = *status, .stored_at = self->deps_.clock->Now()};
        }
        return true;
      },
      [self = shared_from_this()] {
        if (self->closed_) return;
        self->finals_loaded_ = true;
        self->OnLoaded();
      });
}

void PartitionOwner::OnWorkerRecord(const WorkerRecord& record) {
  fully_read_term_ = record.fully_read_term;
  earlier_usual_lease_ = record.usual_lease;
  for (const auto& [id, recorded] : record.workers) {
    WorkerState* worker = AddWorker(id, recorded.address);
    worker->recorded = true;
    worker->link->SetRenewing(true);
    worker->recorded_born_unix_ms = recorded.fenced.born_unix_ms;
    worker->link->NoteEarlierIncarnations(recorded.fenced);
    unread_workers_.insert(id);
  }
  for (const auto& [id, fenced] : record.former) {
    former_incarnations_.NoteClosed(id, fenced, /*may_return=*/true,
                                    deps_.clock->Now());
  }
  workers_loaded_ = true;
  OnLoaded();
}

void PartitionOwner::OnLoaded() {
  if (loaded_ || !finals_loaded_ || !workers_loaded_ || !inbox_->Loaded() ||
      !directory_->Loaded()) {
    return;
  }
  const TurnTimer timer(deps_.clock, "loaded");
  loaded_ = true;
  load_time_ = deps_.clock->Now() - began_at_;
  LogEvent(LogLevel::kInfo, "owner-loaded",
           {{"term", options_.term},
            {"jobs", jobs_.All().size()},
            {"finals", finals_.size()},
            {"workers", workers_.size()},
            {"unread", unread_workers_.size()},
            {"after_ms", load_time_.count()}});
  if (catalog_ != nullptr) shares_.Restore(&jobs_, *catalog_);
  // A job without progress has no failed runs.
  std::vector<JobRecord*> begun;
  for (const auto& [id, progress] : loaded_progress_) {
    JobRecord* job = jobs_.Find(id);
    if (job != nullptr) begun.push_back(job);
  }
  for (JobRecord* job : begun) InheritLostRuns(job);
  FailExhaustedJobs(begun);
  loaded_progress_.clear();
  // Reports can be matched to jobs only now that the jobs are known.
  for (const auto& [id, worker] : workers_) BeginLink(worker.get());
  ShortenOrphanedRunsWait();
  ReportTakeOverWait();
  if (unread_workers_.empty()) fully_read_term_ = options_.term;
  worker_recorder_->Save();
  ScheduleDispatch();
}

void PartitionOwner::OnInbox(const StoredItem& item) {
  NoteLoadingProgress();
  if (item.removed) return;
  const RecordKeys& keys = options_.keys;
  if (item.key.starts_with(keys.job_prefix)) {
    AddJob(item.key.substr(keys.job_prefix.size()), item,
           inbox_->Loaded() ? JobSource::kWatch : JobSource::kList);
  } else if (item.key.starts_with(keys.cancel_prefix)) {
    CancelJob(item.key.substr(keys.cancel_prefix.size()));
  }
}

void PartitionOwner::AddJob(const std::string& id, const StoredItem& item,
                            JobSource source) {
  if (jobs_.Find(id) != nullptr || finals_.contains(id)) return;
  JobSpec spec;
  try {
    spec = DecodeJobSpec(item.value);
  } catch (const Error& error) {
    LogEvent(LogLevel::kError, "job-unreadable",
             {{"job", id}, {"error", error.what()}});
    return;
  }
  spec.id = id;
  const std::int64_t unix_ms = WallMicros() / 1000;
  const std::int64_t age =
      std::clamp<std::int64_t>(unix_ms - spec.accepted_unix_ms, 0, 600000);
  if (spec.offered_term > options_.term) {
    // The accepting node knows of a later owner.
    OnDeposed({.by = DeposedBy::kOfferedJob,
               .source = id,
               .ours = options_.term,
               .found = spec.offered_term});
    return;
  }
  const bool found_at_start = !inbox_->Loaded() && options_.term > 1;
  const bool offered_earlier =
      options_.term > 1 && spec.offered_term < options_.term;
  JobRecord* job = jobs_.Add(std::move(spec), deps_.clock->Now() - Millis(age));
  job->inherited = found_at_start || offered_earlier;
  const auto progress = loaded_progress_.find(id);
  if (progress != loaded_progress_.end()) {
    try {
      DecodeProgress(progress->second.value, job);
    } catch (const Error& error) {
      LogEvent(LogLevel::kError, "progress-unreadable",
               {{"job", id}, {"error", error.what()}});
    }
    IsolateInherited(job);
    recorder_->SetRevision(id, progress->second.revision);
    job->state = JobState::kRunning;
  }
  if (loaded_ && catalog_ != nullptr) shares_.NoteArrival(job, *catalog_);
  InheritPlacements(job, progress != loaded_progress_.end());
  OpenDueOccurrences(job, unix_ms);
  late_starts_.OnJobAdded(id);
  if (early_cancels_.erase(id) > 0) {
    CancelJob(id);
    return;
  }
  Json step_descriptions = Json::array();
  for (const StepSpec& step : job->spec.steps) {
    step_descriptions.push_back(DescribeStep(step));
  }
  const QueueConfig* queue = QueueOf(*job);
  // Jobs found at a take-over arrived earlier. Counting them as arrivals of one
  // moment would request instances that no demand needs.
  if (queue != nullptr && !found_at_start) {
    arrivals_[queue->pool].Add(deps_.clock->Now(),
                               durations_.ArrivingCoreMs(job->spec));
  }
  LogEvent(LogLevel::kInfo, "job-known",
           {{"job", id},
            {"queue", job->spec.queue},
            {"steps", step_descriptions},
            {"inherited", job->inherited},
            {"source", source == JobSource::kOffer  ? "offer"
                       : source == JobSource::kList ? "list"
                                                    : "watch"},
            {"age_ms", age}});
  ScheduleDispatch();
}

void PartitionOwner::OfferJob(const std::string& id, std::int64_t revision,
                              const std::string& record) {
  AddJob(id,
         {.key = options_.keys.job_prefix + id,
          .value = record,
          .revision = revision},
         JobSource::kOffer);
}

void PartitionOwner::ReportInboxAge() {
  const TimePoint now = deps_.clock->Now();
  const Millis age = now - inbox_->FreshAt();
  if (deps_.counters != nullptr) {
    deps_.counters->Set("inbox_age_ms", age.count());
  }
  if (age < kInboxBehind || now - inbox_age_logged_at_ < kInboxAgePeriod) {
    return;
  }
  inbox_age_logged_at_ = now;
  LogEvent(
      LogLevel::kWarning, "inbox-behind",
      {{"age_ms", age.count()},
       {"term_confirmed_for_ms", (listener_.confirmed_until() - now).count()}});
}

void PartitionOwner::EndJob(JobRecord* job) {
  ForEachActive(job, [this, job](const TaskId& id, TaskRecord* task) {
    StopTask(job, id, task);
  });
  recorder_->Save({job->spec.id}, nullptr);
}

void PartitionOwner::DropIfFinished(const std::string& id) {
  JobRecord* job = jobs_.Find(id);
  if (job == nullptr || !IsFinal(job->state) || !job->final_stored) return;
  if (job->inherited && !unread_workers_.empty()) {
    // Runs of it that are still reported count until they have ended.
    kept_finished_jobs_ = true;
    return;
  }
  bool active = false;
  ForEachActive(job, [&active](const TaskId&, TaskRecord*) { active = true; });
  if (active) return;
  advice_.ForgetJob(id);
  jobs_.Erase(id);
}

JobSnapshot PartitionOwner::SnapshotOf(const std::string& id) const {
  const JobRecord* job = jobs_.Find(id);
  if (job == nullptr || job->final_stored) return {.absent = true};
  if (IsFinal(job->state)) return {.final = true, .bytes = EncodeFinal(*job)};
  return {.bytes = EncodeProgress(*job)};
}

void PartitionOwner::ForgetOldFinals() {
  const TimePoint limit = deps_.clock->Now() - options_.final_retention;
  std::vector<std::string> old;
  for (const auto& [id, record] : finals_) {
    if (record.stored_at < limit) old.push_back(id);
    if (old.size() + 2 >= kMaxTxnEntries) break;
  }
  if (old.empty()) return;
  Txn txn;
  txn.conditions.push_back({options_.keys.owner, options_.term_revision});
  for (const std::string& id : old) {
    txn.removals.push_back(options_.keys.final_prefix + id);
    finals_.erase(id);
  }
  deps_.store->Commit(txn, [](const StoreAnswer& answer) {
    if (answer.status != TxnStatus::kOk) {
      LogEvent(LogLevel::kWarning, "finals-not-removed",
               {{"status", NameOf(kTxnStatusNames, answer.status)}});
    }
  });
}

Millis PartitionOwner::UsualLeaseOnRecord() const {
  const bool earlier_leases_are_over =
      unread_workers_.empty() &&
      deps_.clock->Now() - began_at_ > LeaseBound(options_.max_task_lease);
  return earlier_leases_are_over
             ? options_.task_lease
             : std::max(options_.task_lease, earlier_usual_lease_);
}

WorkerRecord PartitionOwner::SnapshotOfWorkers() const {
  WorkerRecord record{
      .fully_read_term = fully_read_term_,
      .usual_lease = UsualLeaseOnRecord(),
      .former = former_incarnations_.MayReturn(deps_.clock->Now())};
  for (const auto& [id, worker] : workers_) {
    if (worker->instance_taken || worker->dropped) continue;
    record.workers[id] = {.address = worker->link->Address().address,
                          .fenced = worker->link->LastFenced()};
    record.former.erase(id);
  }
  return record;
}

void PartitionOwner::OnWorkersStored(const WorkerRecord& record) {
  for (const auto& [id, recorded] : record.workers) {
    WorkerState* worker = FindWorker(id);
    if (worker == nullptr ||
        worker->link->Address().address != recorded.address) {
      continue;
    }
    worker->recorded = true;
    worker->link->SetRenewing(MayRenewLeases());
  }
  ScheduleDispatch();
}

bool PartitionOwner::UpdateRevisionOnConflict(const StoreAnswer& conflict,
                                              const std::string& key,
                                              std::int64_t* revision) {
  for (const StoredItem& item : conflict.items) {
    if (item.key == options_.keys.owner &&
        item.revision != options_.term_revision) {
      OnOwnerRecordChanged(item.revision);
      return false;
    }
    if (item.key == key) *revision = item.revision;
  }
  return true;
}

std::optional<JobStatus> PartitionOwner::Find(const std::string& id) const {
  const auto final = finals_.find(id);
  if (final != finals_.end()) return final->second.status;
  const JobRecord* job = jobs_.Find(id);
  if (job == nullptr) return std::nullopt;
  JobStatus status{.state = job->state, .queue = job->spec.queue};
  // A final state is reported only once it is durable. A cancellation is
  // durable already.
  if (IsFinal(status.state) && !job->cancelled) {
    status.state = JobState::kRunning;
  }
  return status;
}

std::optional<int> PartitionOwner::Pending(const std::string& queue) const {
  // Nothing is accepted while the store is silent.
  const Millis age = deps_.clock->Now() - inbox_->FreshAt() - StoreSilence();
  if (age > kMaxPendingAge) return std::nullopt;
  int pending = 0;
  for (const auto& [id, job] : jobs_.All()) {
    if (job->spec.queue == queue && job->state == JobState::kQueued) ++pending;
  }
  return pending;
}

}  // namespace basilusher
