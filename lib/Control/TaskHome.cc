// Acceptance, runs and reconciliation of tasks.
#include "basilusher/Control/TaskHome.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "basilusher/Support/Digest.h"

namespace basilusher {
namespace {

constexpr char kRequestPrefix[] = "task.";
constexpr char kAcceptRecord[] = "accept";
constexpr char kStartRecord[] = "start";
constexpr char kQueueRecord[] = "queue";
constexpr char kCancelRecord[] = "cancel";
constexpr char kEndRecord[] = "end";

/// Period of the renewals of a run's lease.
constexpr Millis kRenewPeriod{200};
/// Time between two submissions or reconciliations of a task.
constexpr Millis kRetryDelay{300};
/// Period in which records of other writers are read.
constexpr Millis kRefreshPeriod{1000};

}  // namespace

int TaskBucketOf(const std::string& task_id) {
  return static_cast<int>(PlacementHash("task", task_id) % kTaskBuckets);
}

std::string TaskSubject(int bucket) {
  return "tasks/" + std::to_string(bucket);
}

std::string TaskRequestId(const std::string& task_id, int run) {
  return kRequestPrefix + task_id + "." + std::to_string(run);
}

std::string TaskIdOfRequest(const std::string& request_id) {
  const std::string prefix = kRequestPrefix;
  if (request_id.compare(0, prefix.size(), prefix) != 0) return "";
  const std::size_t dot = request_id.rfind('.');
  return request_id.substr(prefix.size(), dot - prefix.size());
}

TaskHome::TaskHome(Context context, TaskDelegate* delegate)
    : context_(std::move(context)), delegate_(delegate) {}

TaskHome::Bucket* TaskHome::BucketFor(const std::string& task_id) {
  const int number = TaskBucketOf(task_id);
  Bucket& bucket = buckets_[number];
  if (bucket.journal == nullptr) {
    bucket.journal = std::make_unique<Journal>(
        context_, JournalOptions{.prefix = TaskSubject(number) + "/"},
        [this, &bucket](const Json& record) { Apply(&bucket, record); });
  }
  return &bucket;
}

TaskHome::Task* TaskHome::Find(const std::string& task_id) {
  Bucket* bucket = BucketFor(task_id);
  const auto it = bucket->tasks.find(task_id);
  return it == bucket->tasks.end() ? nullptr : &it->second;
}

std::size_t TaskHome::InProgress() const {
  std::size_t pending = runs_.size();
  for (const std::pair<const int, Bucket>& row : buckets_) {
    pending += row.second.journal->Pending();
  }
  return pending;
}

bool TaskHome::IsHome(int number) const {
  return !shutting_down_ &&
         HomeOrSelf(context_, TaskSubject(number)) == context_.self.instance;
}

bool TaskHome::IsAlive(const std::string& holder) const {
  if (holder == ToString(context_.Self())) return true;
  const ViewPtr view = context_.views->Current();
  const auto is_holder =
      [&holder](const std::pair<const std::string, EntryInfo>& row) {
        return ToString({row.first, row.second.incarnation}) == holder;
      };
  return std::any_of(view->leased.begin(), view->leased.end(), is_holder) ||
         std::any_of(view->entries.begin(), view->entries.end(), is_holder);
}

void TaskHome::Apply(Bucket* bucket, const Json& record) {
  const std::string kind = record.at("kind").get<std::string>();
  const std::string id = record.at("task").get<std::string>();
  if (kind == kAcceptRecord) {
    bucket->tasks.emplace(
        id, Task{.id = id,
                 .team = record.at("team").get<std::string>(),
                 .queue = record.at("queue").get<std::string>(),
                 .body = record.at("body").get<std::string>(),
                 .idempotent = record.at("once").get<bool>() == false});
    return;
  }
  const auto it = bucket->tasks.find(id);
  if (it == bucket->tasks.end()) return;
  Task& task = it->second;
  if (kind == kCancelRecord) {
    task.cancelled = true;
    return;
  }
  const int run = record.at("run").get<int>();
  if (run < task.run) return;
  task.run = run;
  bucket->held.erase(id);
  if (kind == kStartRecord) {
    task.phase = Phase::kStarted;
    task.worker = record.at("worker").get<std::string>();
    task.holder = record.at("holder").get<std::string>();
    if (task.holder == ToString(context_.Self())) bucket->held.insert(id);
  } else if (kind == kQueueRecord) {
    task.phase = Phase::kQueued;
    task.submitted = false;
  } else if (kind == kEndRecord) {
    task.phase = Phase::kEnded;
    task.body.clear();
    task.outcome = {.outcome = record.at("outcome").get<int>(),
                    .code = record.at("code").get<int>(),
                    .body = record.at("body").get<std::string>(),
                    .worker = task.worker};
  }
}

void TaskHome::OnMessage(const PeerId& from, const Message& message) {
  if (const TaskAsk* ask = std::get_if<TaskAsk>(&message)) OnAsk(from, *ask);
  if (const TaskAnswer* answer = std::get_if<TaskAnswer>(&message)) {
    delegate_->Reply(*answer);
  }
}

void TaskHome::OnAsk(const PeerId& from, const TaskAsk& ask) {
  Bucket* bucket = BucketFor(ask.task_id);
  if (!bucket->journal->Loaded()) {
    // The asking entry repeats the ask until the journal has been loaded.
    bucket->journal->Load();
    if (!bucket->journal->Loaded()) return;
  }
  if (ask.operation == TaskOperation::kSubmit) {
    Accept(from, ask);
    return;
  }
  const bool is_home = IsHome(TaskBucketOf(ask.task_id));
  if (is_home && bucket->loaded_as_home && Find(ask.task_id) != nullptr) {
    AnswerAsk(from, ask);
    return;
  }
  // Another home may have accepted or ended the task since this entry last read
  // the journal, so that its records may be stale.
  bucket->journal->ReadUpToNow([this, from, ask] { AnswerAsk(from, ask); });
}

void TaskHome::AnswerAsk(const PeerId& from, const TaskAsk& ask) {
  const Task* task = Find(ask.task_id);
  if (task == nullptr || task->team != ask.team) {
    SendAnswer(from, ask, ResultCode::kUnknownTask);
    return;
  }
  if (ask.operation == TaskOperation::kCancel) {
    Cancel(from, ask);
    return;
  }
  SendAnswer(from, ask, ResultCode::kOk);
}

void TaskHome::Accept(const PeerId& from, const TaskAsk& ask) {
  if (Find(ask.task_id) != nullptr) {
    SendAnswer(from, ask, ResultCode::kOk);
    return;
  }
  const Json record = {{"kind", kAcceptRecord}, {"task", ask.task_id},
                       {"team", ask.team},      {"queue", ask.queue},
                       {"body", ask.body},      {"once", !ask.idempotent}};
  BucketFor(ask.task_id)
      ->journal->Append(
          record, [this, id = ask.task_id] { return Find(id) == nullptr; },
          [this, from, ask](AppendResult /*result*/) {
            SendAnswer(from, ask,
                       Find(ask.task_id) != nullptr
                           ? ResultCode::kOk
                           : ResultCode::kClaimUnavailable);
          });
}

void TaskHome::Cancel(const PeerId& from, const TaskAsk& ask) {
  const Task* task = Find(ask.task_id);
  if (task->phase == Phase::kEnded) {
    SendAnswer(from, ask, ResultCode::kTaskEnded);
    return;
  }
  if (task->cancelled) {
    SendAnswer(from, ask, ResultCode::kOk);
    return;
  }
  const Json record = {{"kind", kCancelRecord}, {"task", ask.task_id}};
  BucketFor(ask.task_id)
      ->journal->Append(
          record,
          [this, id = ask.task_id] { return Find(id)->phase != Phase::kEnded; },
          [this, from, ask](AppendResult result) {
            ResultCode code = ResultCode::kClaimUnavailable;
            if (result == AppendResult::kCommitted) code = ResultCode::kOk;
            if (result == AppendResult::kRejected) {
              // The end of the task, recorded by this or another entry, was
              // applied before the cancellation could be written.
              code = ResultCode::kTaskEnded;
            }
            SendAnswer(from, ask, code);
          });
}

void TaskHome::SendAnswer(const PeerId& to, const TaskAsk& ask,
                          ResultCode code) {
  TaskAnswer answer{.call_id = ask.call_id, .code = static_cast<int>(code)};
  const Task* task = Find(ask.task_id);
  if (task != nullptr && task->team == ask.team) {
    const char* phase = task->phase == Phase::kQueued    ? "queued"
                        : task->phase == Phase::kStarted ? "running"
                                                         : "ended";
    answer.state = {{"task", task->id},       {"queue", task->queue},
                    {"state", phase},         {"run", task->run},
                    {"worker", task->worker}, {"cancelled", task->cancelled}};
    if (task->phase == Phase::kEnded) {
      answer.state["outcome"] =
          NameOf(kOutcomeNames, static_cast<Outcome>(task->outcome.outcome));
      answer.state["code"] = task->outcome.code;
      answer.state["result"] = task->outcome.body;
    }
  }
  context_.bus->Send(to.instance, answer);
}

void TaskHome::OnTick() {
  const TimePoint now = context_.clock->Now();
  const bool refresh = now >= next_refresh_;
  if (refresh) next_refresh_ = now + kRefreshPeriod;
  for (int number = 0; number < kTaskBuckets; ++number) {
    if (!IsHome(number) && !buckets_.contains(number)) continue;
    Bucket* bucket = &buckets_[number];
    if (bucket->journal == nullptr) {
      bucket->journal = std::make_unique<Journal>(
          context_, JournalOptions{.prefix = TaskSubject(number) + "/"},
          [this, bucket](const Json& record) { Apply(bucket, record); });
    }
    // The home and the holder of a run both need the records of other writers:
    // after the home has moved, the new home records cancellations.
    const bool needs_records = IsHome(number) || !bucket->held.empty();
    if (!IsHome(number)) {
      bucket->loaded_as_home = false;
    } else if (!bucket->loaded_as_home) {
      bucket->journal->ReadUpToNow([bucket] { bucket->loaded_as_home = true; });
    }
    if (refresh && needs_records) bucket->journal->Refresh();
    bucket->journal->OnTick();
    if (needs_records) TickBucket(number, bucket);
  }
  std::vector<std::string> ids;
  for (const std::pair<const std::string, ActiveRun>& row : runs_) {
    ids.push_back(row.first);
  }
  for (const std::string& id : ids) {
    const auto it = runs_.find(id);
    if (it != runs_.end()) TickRun(id, &it->second);
  }
}

void TaskHome::TickBucket(int number, Bucket* bucket) {
  if (!bucket->journal->Loaded()) {
    bucket->journal->Load();
    return;
  }
  ReconcileOrphanedRuns(bucket);
  if (!IsHome(number)) return;
  std::vector<Task*> open;
  for (std::pair<const std::string, Task>& row : bucket->tasks) {
    if (row.second.phase != Phase::kEnded) open.push_back(&row.second);
  }
  for (Task* task : open) TickTask(bucket, task);
}

void TaskHome::ReconcileOrphanedRuns(Bucket* bucket) {
  const std::vector<std::string> held(bucket->held.begin(), bucket->held.end());
  for (const std::string& id : held) {
    Task* row = &bucket->tasks.at(id);
    // The front door has not ended the run's request yet.
    if (row->submitted) continue;
    if (!runs_.contains(TaskRequestId(id, row->run))) ReconcileRun(bucket, row);
  }
}

void TaskHome::TickTask(Bucket* bucket, Task* task) {
  const TimePoint now = context_.clock->Now();
  if (task->phase == Phase::kStarted) {
    if (!IsAlive(task->holder)) ReconcileRun(bucket, task);
    return;
  }
  if (task->transition_in_flight) return;
  if (task->cancelled) {
    // No start is recorded after a cancel, so a run that still waits in the
    // front door is refused when it is dispatched.
    RecordEnd(task, {.outcome = static_cast<int>(Outcome::kNotRun),
                     .code = static_cast<int>(ResultCode::kCancelled)});
    return;
  }
  if (task->submitted || now < task->retry_at) return;
  task->submitted = true;
  delegate_->Submit({.request_id = TaskRequestId(task->id, task->run + 1),
                     .queue = task->queue,
                     .body_bytes = task->body.size(),
                     .deadline = kTaskDeadline,
                     .authenticated_team = task->team});
}

void TaskHome::OnCommand(const DispatchCommand& command) {
  const std::string task_id = TaskIdOfRequest(command.request_id);
  const Task* task = Find(task_id);
  const auto refuse = [this, command] {
    delegate_->Report(command.request_id, command.attempt,
                      {.status = DispatchStatus::kRefused});
  };
  if (task == nullptr || shutting_down_) {
    refuse();
    return;
  }
  const int run = task->run + 1;
  if (command.request_id != TaskRequestId(task_id, run)) {
    // The run of this command has been started elsewhere since it was
    // submitted. A start under its id would not be found at the worker.
    refuse();
    return;
  }
  const Json record = {{"kind", kStartRecord},
                       {"task", task_id},
                       {"run", run},
                       {"worker", command.worker.id},
                       {"holder", ToString(context_.Self())}};
  const auto still_queued = [this, task_id, run] {
    const Task* current = Find(task_id);
    return current != nullptr && current->phase == Phase::kQueued &&
           current->run + 1 == run && !current->cancelled;
  };
  BucketFor(task_id)->journal->Append(
      record, still_queued,
      [this, command, task_id, refuse](AppendResult result) {
        if (result == AppendResult::kCommitted) {
          StartRun(command, task_id);
        } else {
          refuse();
        }
      });
}

void TaskHome::StartRun(const DispatchCommand& command,
                        const std::string& task_id) {
  const Task* task = Find(task_id);
  const TimePoint now = context_.clock->Now();
  runs_[command.request_id] = {.task_id = task_id,
                               .command = command,
                               .next_renewal = now + kRenewPeriod,
                               .last_renewal = now};
  delegate_->Start(command, task->body,
                   [this, id = command.request_id](DispatchStatus status) {
                     if (status != DispatchStatus::kAnswered) {
                       EndRun(id, {.status = status});
                     }
                   });
}

void TaskHome::TickRun(const std::string& request_id, ActiveRun* run) {
  const TimePoint now = context_.clock->Now();
  const Task* task = Find(run->task_id);
  const bool stop = shutting_down_ || (task != nullptr && task->cancelled);
  if (now < run->next_renewal || run->renewing) return;
  run->next_renewal = now + kRenewPeriod;
  run->renewing = true;
  run->stopping = run->stopping || stop;
  const auto done = [this, request_id](const TaskRunReport& report) {
    OnRenewed(request_id, report);
  };
  if (run->stopping) {
    delegate_->Stop(run->command.worker, request_id, done);
  } else {
    delegate_->Renew(run->command.worker, request_id, done);
  }
}

void TaskHome::OnRenewed(const std::string& request_id,
                         const TaskRunReport& report) {
  const auto it = runs_.find(request_id);
  if (it == runs_.end()) return;
  it->second.renewing = false;
  const TimePoint now = context_.clock->Now();
  switch (report.state) {
    case TaskRunState::kRunning:
      it->second.last_renewal = now;
      return;
    case TaskRunState::kDone:
      EndRun(request_id, {.status = DispatchStatus::kAnswered,
                          .http_status = 200,
                          .body = report.body});
      return;
    case TaskRunState::kStopped:
      // The run was stopped before its end and may have had effects.
      EndRun(request_id, {.status = DispatchStatus::kLost});
      return;
    case TaskRunState::kNeverStarted:
      EndRun(request_id, {.status = DispatchStatus::kRefused});
      return;
    case TaskRunState::kNoAnswer:
      if (now - it->second.last_renewal > kTaskLeaseTtl * 2) {
        EndRun(request_id, {.status = DispatchStatus::kLost});
      }
      return;
  }
}

void TaskHome::EndRun(const std::string& request_id,
                      const DispatchResult& result) {
  const auto it = runs_.find(request_id);
  if (it == runs_.end()) return;
  const int attempt = it->second.command.attempt;
  const std::string task_id = it->second.task_id;
  runs_.erase(it);
  // Each run is a single attempt: whether there is another one is decided by
  // the journal, not by a retry of the front door.
  Task* task = Find(task_id);
  if (result.status == DispatchStatus::kRefused ||
      result.status == DispatchStatus::kUnreachable) {
    if (task != nullptr) Requeue(task);
  }
  delegate_->Report(request_id, attempt, result);
}

void TaskHome::StopRun(const std::string& request_id) {
  const auto it = runs_.find(request_id);
  if (it != runs_.end()) it->second.stopping = true;
}

void TaskHome::OnFinished(const std::string& request_id,
                          const basilusher::Answer& answer) {
  const std::string task_id = TaskIdOfRequest(request_id);
  Task* task = Find(task_id);
  if (task == nullptr || task->phase == Phase::kEnded) return;
  if (task->phase == Phase::kQueued &&
      TaskRequestId(task_id, task->run + 1) != request_id) {
    // The late end of an earlier run's request says nothing about the request
    // of the next run.
    return;
  }
  task->submitted = false;
  if (task->phase == Phase::kQueued) {
    // Refused before a start was recorded: the task is submitted again after a
    // delay.
    task->retry_at = context_.clock->Now() + kRetryDelay;
    return;
  }
  if (TaskRequestId(task_id, task->run) != request_id) return;
  // The entry that started this run reconciles it.
  if (task->holder != ToString(context_.Self())) return;
  if (answer.outcome == Outcome::kRan) {
    RecordEnd(task, {.outcome = static_cast<int>(Outcome::kRan),
                     .code = static_cast<int>(answer.code),
                     .body = answer.body});
    return;
  }
  ReconcileRun(BucketFor(task_id), task);
}

void TaskHome::ReconcileRun(Bucket* /*bucket*/, Task* task) {
  const TimePoint now = context_.clock->Now();
  if (task->transition_in_flight || now < task->retry_at) return;
  task->retry_at = now + kRetryDelay;
  const ViewPtr view = context_.views->Current();
  const int run = task->run;
  const std::string id = task->id;
  const auto worker = view->workers.find(task->worker);
  if (worker == view->workers.end()) {
    // The platform no longer lists the worker, so the run has ended; how far it
    // got is unknown. An empty list means that nothing has been listed yet.
    if (view->workers.empty()) return;
    OnRunReconciled(id, run, {.state = TaskRunState::kStopped});
    return;
  }
  task->transition_in_flight = true;
  delegate_->Stop(worker->second, TaskRequestId(id, run),
                  [this, id, run](const TaskRunReport& report) {
                    Task* found = Find(id);
                    if (found != nullptr) found->transition_in_flight = false;
                    OnRunReconciled(id, run, report);
                  });
}

void TaskHome::OnRunReconciled(const std::string& task_id, int run,
                               const TaskRunReport& report) {
  Task* task = Find(task_id);
  if (task == nullptr || task->phase != Phase::kStarted || task->run != run) {
    return;
  }
  switch (report.state) {
    case TaskRunState::kRunning:
    case TaskRunState::kNoAnswer:
      return;
    case TaskRunState::kDone:
      RecordEnd(task, {.outcome = static_cast<int>(Outcome::kRan),
                       .body = report.body});
      return;
    case TaskRunState::kNeverStarted:
      Requeue(task);
      return;
    case TaskRunState::kStopped:
      if (task->cancelled) {
        RecordEnd(
            task,
            {.outcome = static_cast<int>(Outcome::kUnknown),
             .code = static_cast<int>(ResultCode::kCancelledWhileRunning)});
      } else if (!task->idempotent) {
        RecordEnd(task, {.outcome = static_cast<int>(Outcome::kUnknown),
                         .code = static_cast<int>(ResultCode::kAnswerLost)});
      } else if (task->run >= kMaxTaskRuns) {
        RecordEnd(task,
                  {.outcome = static_cast<int>(Outcome::kUnknown),
                   .code = static_cast<int>(ResultCode::kTaskFailsEverywhere)});
      } else {
        Requeue(task);
      }
      return;
  }
}

void TaskHome::RecordEnd(Task* task, const RecordedOutcome& outcome) {
  const Json record = {{"kind", kEndRecord},   {"task", task->id},
                       {"run", task->run},     {"outcome", outcome.outcome},
                       {"code", outcome.code}, {"body", outcome.body}};
  task->transition_in_flight = true;
  BucketFor(task->id)->journal->Append(
      record,
      [this, id = task->id, run = task->run] {
        const Task* current = Find(id);
        return current->phase != Phase::kEnded && current->run == run;
      },
      [this, id = task->id](AppendResult /*result*/) {
        Find(id)->transition_in_flight = false;
      });
}

void TaskHome::Requeue(Task* task) {
  const Json record = {
      {"kind", kQueueRecord}, {"task", task->id}, {"run", task->run}};
  task->transition_in_flight = true;
  BucketFor(task->id)->journal->Append(
      record,
      [this, id = task->id, run = task->run] {
        const Task* current = Find(id);
        return current->phase == Phase::kStarted && current->run == run;
      },
      [this, id = task->id](AppendResult /*result*/) {
        Find(id)->transition_in_flight = false;
      });
}

void TaskHome::BeginShutdown() { shutting_down_ = true; }

}  // namespace basilusher
