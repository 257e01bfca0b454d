// Starts without an answer: the tasks wait until no incarnation of the worker
// can execute the start any more, or until one has.
#include "basilusher/Partition/OwnerLateStarts.h"

#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

std::optional<LateStart> OwnerLateStarts::FindUnanswered(
    const TaskId& id) const {
  const JobRecord* job = owner_->jobs_.Find(id.job);
  const TaskRecord* task = owner_->jobs_.FindTask(id);
  if (job == nullptr || task == nullptr || IsFinal(job->state) ||
      task->start_held || task->started_at != TimePoint{}) {
    return std::nullopt;
  }
  const StepSpec& step = job->spec.steps[static_cast<std::size_t>(id.step)];
  if (step.speculative) return std::nullopt;
  return LateStart{.task = id,
                   .run = task->run,
                   .sent_at = task->sent_at,
                   .lasting = step.lasting};
}

void OwnerLateStarts::Hold(const WorkerState& worker, const LateStart& start) {
  const TaskRecord* task = owner_->jobs_.FindTask(start.task);
  if (task == nullptr || task->state != TaskState::kWaiting) return;
  const std::string& id = worker.capacity.id;
  const TimePoint now = owner_->deps_.clock->Now();
  const LateStartWorker facts = FactsOf(id, start);
  const TimePoint end = starts_.EndOf(start, facts);
  if (end <= now) return;
  owner_->Count("late_starts_awaited_total");
  LogEvent(LogLevel::kInfo, "start-may-be-late",
           {{"task", FormatTaskId(start.task)},
            {"run", start.run},
            {"worker", id},
            {"born", worker.link->BornUnixMs()},
            {"answers", worker.link->Synced()},
            {"sent_ago_ms", (now - start.sent_at).count()},
            {"gone", facts.gone},
            {"ends_in_ms", (end - now).count()}});
  starts_.Note(id, start);
  Update(start.task);
}

void OwnerLateStarts::NoteExecuted(const TaskId& task, std::int64_t run) {
  if (!starts_.Remove(task, run)) return;
  Update(task);
  LogEvent(
      LogLevel::kInfo, "late-start-over",
      {{"task", FormatTaskId(task)}, {"run", run}, {"reason", "executed"}});
}

void OwnerLateStarts::EndAllOn(const std::string& worker,
                               std::string_view reason) {
  for (const LateStart& start : starts_.RemoveAllOn(worker)) {
    End(worker, start, reason);
  }
}

void OwnerLateStarts::EndExpired() {
  const std::vector<std::pair<std::string, LateStart>> expired =
      starts_.TakeExpired(
          owner_->deps_.clock->Now(),
          [this](const std::string& worker, const LateStart& start) {
            return FactsOf(worker, start);
          });
  for (const auto& [worker, start] : expired) {
    End(worker, start, "too late to be executed");
    owner_->DropIfSafeToForget(worker);
  }
  // The occurrence of an inherited start may have been opened since.
  for (const auto& [worker, starts] : starts_.All()) {
    for (const LateStart& start : starts) {
      TaskRecord* task = owner_->jobs_.FindTask(start.task);
      if (task != nullptr) task->may_start_late = true;
    }
  }
}

std::optional<Millis> OwnerLateStarts::ReportDueIn(
    const WorkerState& worker) const {
  const auto it = starts_.All().find(worker.capacity.id);
  if (it == starts_.All().end()) return std::nullopt;
  const TimePoint now = owner_->deps_.clock->Now();
  std::optional<Millis> due;
  for (const LateStart& start : it->second) {
    const TimePoint last_execution = start.sent_at + kMaxCallDelay;
    if (worker.settled_at >= last_execution) continue;
    const Millis left = std::max(Millis(0), last_execution - now);
    due = std::min(due.value_or(left), left);
  }
  return due;
}

std::string OwnerLateStarts::OnlyWorkerFor(const TaskId& task) const {
  const std::set<std::string> workers = starts_.WorkersOf(task);
  return workers.size() == 1 ? *workers.begin() : std::string();
}

void OwnerLateStarts::AddUse(std::map<std::string, Resources>* use) const {
  for (const auto& [worker, starts] : starts_.All()) {
    for (const LateStart& start : starts) {
      const JobRecord* job = owner_->jobs_.Find(start.task.job);
      const TaskRecord* task = owner_->jobs_.FindTask(start.task);
      if (start.lasting || job == nullptr || task == nullptr ||
          task->state != TaskState::kWaiting) {
        continue;
      }
      (*use)[job->spec.workspace] +=
          job->spec.steps[static_cast<std::size_t>(start.task.step)].need;
    }
  }
}

std::vector<UnsettledStart> OwnerLateStarts::Describe() const {
  std::vector<UnsettledStart> described;
  const TimePoint now = owner_->deps_.clock->Now();
  const auto add = [&](const std::string& worker, const LateStart& start) {
    described.push_back({.task = start.task,
                         .worker = worker,
                         .run = start.run,
                         .sent_ago = now - start.sent_at,
                         .lasting = start.lasting});
  };
  for (const auto& [worker, starts] : starts_.All()) {
    for (const LateStart& start : starts) add(worker, start);
  }
  for (const auto& [id, worker] : owner_->workers_) {
    for (const TaskId& task : worker->tasks) {
      const std::optional<LateStart> start = FindUnanswered(task);
      if (start) add(id, *start);
    }
  }
  return described;
}

void OwnerLateStarts::Inherit(const std::vector<UnsettledStart>& starts) {
  const TimePoint now = owner_->deps_.clock->Now();
  for (const UnsettledStart& told : starts) {
    LogEvent(LogLevel::kInfo, "late-start-inherited",
             {{"task", FormatTaskId(told.task)},
              {"run", told.run},
              {"worker", told.worker},
              {"sent_ago_ms", told.sent_ago.count()}});
    starts_.Note(told.worker, {.task = told.task,
                               .run = told.run,
                               .sent_at = now - told.sent_ago,
                               .lasting = told.lasting});
    Update(told.task);
  }
}

void OwnerLateStarts::OnJobAdded(const std::string& job) {
  for (const auto& [worker, starts] : starts_.All()) {
    for (const LateStart& start : starts) {
      if (start.task.job == job) Update(start.task);
    }
  }
}

void OwnerLateStarts::Update(const TaskId& id) {
  TaskRecord* task = owner_->jobs_.FindTask(id);
  if (task == nullptr) return;
  task->may_start_late = !starts_.WorkersOf(id).empty();
}

void OwnerLateStarts::End(const std::string& worker, const LateStart& start,
                          std::string_view reason) {
  Update(start.task);
  const TaskRecord* task = owner_->jobs_.FindTask(start.task);
  if (task == nullptr) return;
  LogEvent(
      LogLevel::kInfo, "late-start-over",
      {{"task", FormatTaskId(start.task)},
       {"run", start.run},
       {"worker", worker},
       {"sent_ago_ms", (owner_->deps_.clock->Now() - start.sent_at).count()},
       {"reason", reason}});
}

LateStartWorker OwnerLateStarts::FactsOf(const std::string& worker,
                                         const LateStart& start) const {
  const WorkerState* state = owner_->FindWorker(worker);
  if (state == nullptr) return {};
  return {.reported_at = state->settled_at, .gone = IsGone(*state, start)};
}

bool OwnerLateStarts::IsGone(const WorkerState& worker,
                             const LateStart& start) const {
  const TimePoint asked_at = owner_->instances_asked_at_;
  return owner_->instances_known_ && asked_at > worker.link->LastAnswer() &&
         (start.lasting ||
          asked_at - kListLag >= start.sent_at + kMaxCallDelay) &&
         !owner_->HasRunningInstance(worker);
}

}  // namespace basilusher
