// Why lasting tasks wait: the facts of each, log lines and metrics.
#include <algorithm>
#include <iterator>
#include <vector>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kReportPeriod{1000};
/// A task that has waited for this long is reported.
constexpr Millis kWaitReported{3000};
/// A wait of this duration is a warning.
constexpr Millis kLongWait{6000};
/// A wait whose condition does not change is logged again after this time.
constexpr Millis kWaitRepeat{5000};
/// Lines about waits in one report.
constexpr int kMaxWaitLines = 20;

bool IsDue(const TaskWaits::Wait& wait, TimePoint now) {
  if (now - wait.since < kWaitReported) return false;
  if (wait.logged_at == TimePoint{}) return true;
  return wait.condition != wait.logged_condition ||
         now - wait.logged_at >= kWaitRepeat ||
         (now - wait.since >= kLongWait &&
          wait.logged_at - wait.since < kLongWait);
}

LogLevel LevelOf(const TaskWaits::Wait& wait, TimePoint now) {
  if (wait.condition == WaitCondition::kMiscounted) return LogLevel::kError;
  return now - wait.since >= kLongWait ? LogLevel::kWarning : LogLevel::kInfo;
}

/// True if no run of the task is known to have begun.
bool Waits(const TaskRecord& task) {
  return task.state == TaskState::kWaiting ||
         task.state == TaskState::kStarting;
}

std::string HeldGauge(WaitCondition condition) {
  return "lasting_tasks_held{condition=\"" +
         std::string(NameOf(kWaitConditionNames, condition)) + "\"}";
}

}  // namespace

void OwnerWaitReport::Report() {
  const TimePoint now = owner_->deps_.clock->Now();
  if (now - reported_at_ < kReportPeriod) return;
  reported_at_ = now;
  lines_left_ = kMaxWaitLines;
  lines_omitted_ = 0;
  waits_.BeginRound();
  for (const auto& [id, job] : owner_->jobs_.All()) {
    if (IsFinal(job->state)) continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!job->spec.steps[s].lasting) continue;
        NoteWaitsOf(*job, number, static_cast<int>(s));
      }
    }
  }
  waits_.EndRound();
  LogDueWaits();
  SetGauges();
}

void OwnerWaitReport::NoteWaitsOf(const JobRecord& job, int occurrence,
                                  int step) {
  const TimePoint now = owner_->deps_.clock->Now();
  const StepSpec& spec = job.spec.steps[static_cast<std::size_t>(step)];
  const StepRecord& record =
      job.occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
  std::optional<WaitFacts> common;
  TaskId id = {.job = job.spec.id, .occurrence = occurrence, .step = step};
  for (id.index = 0; id.index < spec.count; ++id.index) {
    const TaskRecord& task = record.tasks[static_cast<std::size_t>(id.index)];
    if (!Waits(task)) {
      const std::optional<TaskWaits::Wait> ended = waits_.End(id);
      if (ended && ended->logged_at != TimePoint{}) LogWaitEnded(id, *ended);
      continue;
    }
    TaskWaits::Wait* wait =
        waits_.Note(id, task.run, task.started_at != TimePoint{}, now);
    if (now - wait->since < kWaitReported) continue;
    if (!common) common = FactsOf(job, occurrence, step);
    WaitFacts facts = *common;
    // Placement of a step begins at its first waiting task.
    if (!spec.gang && id.index < record.first_waiting) {
      facts.counted_as_waiting = false;
    }
    AddFacts(job, spec, task, &facts);
    wait->condition = ConditionOf(facts);
  }
}

WaitFacts OwnerWaitReport::FactsOf(const JobRecord& job, int occurrence,
                                   int step) const {
  const TimePoint now = owner_->deps_.clock->Now();
  const StepSpec& spec = job.spec.steps[static_cast<std::size_t>(step)];
  const OccurrenceRecord& steps = job.occurrences.at(occurrence);
  const StepRecord& record = steps.steps[static_cast<std::size_t>(step)];
  WaitFacts facts;
  facts.counted_as_waiting =
      record.done + record.active < static_cast<int>(record.tasks.size());
  facts.owner_may_start = owner_->MayStart();
  facts.loop_late = owner_->held_since_ != TimePoint{};
  facts.view_stale = owner_->ViewIsStale();
  facts.queue_configured = owner_->QueueOf(job) != nullptr;
  facts.step_ready = StepReady(job, steps, step);
  facts.term_confirmed = owner_->TermIsConfirmed();
  facts.may_be_orphaned = owner_->MayHaveOrphanedRuns(job);
  facts.earlier_lease_may_last = std::any_of(
      owner_->unread_workers_.begin(), owner_->unread_workers_.end(),
      [this, now](const std::string& id) {
        return now < owner_->earlier_leases_.EndOn(id);
      });
  facts.in_gang = spec.gang;
  facts.gang_member_held =
      spec.gang &&
      std::any_of(record.tasks.begin(), record.tasks.end(),
                  [&](const TaskRecord& task) {
                    return task.state != TaskState::kWaiting ||
                           !owner_->TaskMayStart(spec, task) ||
                           (facts.may_be_orphaned &&
                            owner_->AwaitsOrphanedRun(job, spec, task));
                  });
  facts.within_cap =
      owner_->WithinCap(job, spec.need * (spec.gang ? spec.count : 1));
  if (facts.queue_configured) {
    facts.workers = CountEligible(job, occurrence, step);
  }
  return facts;
}

void OwnerWaitReport::AddFacts(const JobRecord& job, const StepSpec& step,
                               const TaskRecord& task, WaitFacts* facts) const {
  const TimePoint now = owner_->deps_.clock->Now();
  facts->start_held = task.start_held;
  facts->start_sent = task.state == TaskState::kStarting && !task.start_held;
  facts->given_up =
      PartitionOwner::IsSuspect(task) && PartitionOwner::MustGiveUp(step, task);
  facts->in_retry_delay = now < task.not_before;
  facts->suspected = PartitionOwner::IsSuspect(task);
  facts->end_unreported = task.ended_unreported;
  facts->loss_unconfirmed =
      PartitionOwner::IsSuspect(task) && now < task.unconfirmed_until;
  facts->start_may_be_late = task.may_start_late;
  // The last of the conditions of owner_->TaskMayStart().
  facts->evidence_unstored = !owner_->TaskMayStart(step, task);
  facts->may_be_orphaned =
      facts->may_be_orphaned && owner_->AwaitsOrphanedRun(job, step, task);
}

EligibleWorkers OwnerWaitReport::CountEligible(const JobRecord& job,
                                               int occurrence, int step) const {
  const StepSpec& spec = job.spec.steps[static_cast<std::size_t>(step)];
  std::map<std::string, int> siblings;
  for (const TaskRecord& task : job.occurrences.at(occurrence)
                                    .steps[static_cast<std::size_t>(step)]
                                    .tasks) {
    if (!task.worker.empty()) ++siblings[task.worker];
  }
  StepSpec without_limit = spec;
  without_limit.max_per_worker = 0;
  PlacementRequest by_label;
  by_label.step = &without_limit;
  PlacementRequest by_ticket = by_label;
  if (owner_->NeedsAdvice(job)) {
    owner_->RequireTickets(
        {.job = job.spec.id, .occurrence = occurrence, .step = step},
        &by_ticket);
  }
  PlacementRequest by_all = by_ticket;
  by_all.step = &spec;
  by_all.count_siblings = [&siblings](const WorkerCapacity& worker) {
    const auto it = siblings.find(worker.id);
    return it == siblings.end() ? 0 : it->second;
  };
  EligibleWorkers eligible;
  const std::string& pool = owner_->QueueOf(job)->pool;
  for (const auto& [id, worker] : owner_->workers_) {
    const WorkerCapacity& capacity = worker->capacity;
    if (capacity.pool != pool || !owner_->Usable(*worker)) continue;
    ++eligible.usable;
    if (!Fits(Charge(spec), capacity.room - capacity.used)) continue;
    ++eligible.with_room;
    if (capacity.isolated) continue;
    ++eligible.not_isolated;
    if (!CanPlace(by_label, capacity)) continue;
    ++eligible.with_label;
    if (!CanPlace(by_ticket, capacity)) continue;
    ++eligible.with_ticket;
    if (CanPlace(by_all, capacity)) ++eligible.below_sibling_limit;
  }
  return eligible;
}

void OwnerWaitReport::LogDueWaits() {
  const TimePoint now = owner_->deps_.clock->Now();
  using Entry = std::pair<const TaskId, TaskWaits::Wait>;
  std::vector<Entry*> due;
  for (Entry& entry : waits_.All()) {
    if (IsDue(entry.second, now)) due.push_back(&entry);
  }
  // Those that were never logged come first, so that each has its turn.
  std::stable_sort(due.begin(), due.end(), [](const Entry* a, const Entry* b) {
    return a->second.logged_at < b->second.logged_at;
  });
  for (Entry* entry : due) LogWait(entry->first, &entry->second);
  if (lines_omitted_ == 0) return;
  LogEvent(LogLevel::kWarning, "task-waits-omitted",
           {{"term", owner_->options_.term}, {"count", lines_omitted_}});
}

void OwnerWaitReport::LogWait(const TaskId& id, TaskWaits::Wait* wait) {
  if (lines_left_ == 0) {
    ++lines_omitted_;
    return;
  }
  --lines_left_;
  const TimePoint now = owner_->deps_.clock->Now();
  wait->logged_at = now;
  wait->logged_condition = wait->condition;
  const LogLevel level = LevelOf(*wait, now);
  if (!LogsAt(level)) return;
  const JobRecord* job = owner_->jobs_.Find(id.job);
  const TaskRecord* task = owner_->jobs_.FindTask(id);
  Json fields = {{"task", FormatTaskId(id)},
                 {"queue", job->spec.queue},
                 {"term", owner_->options_.term},
                 {"waited_ms", (now - wait->since).count()},
                 {"condition", NameOf(kWaitConditionNames, wait->condition)},
                 {"run", task->run},
                 {"crashes", task->crashes.runs.size()},
                 {"inherited", job->inherited},
                 {"unread", owner_->unread_workers_.size()},
                 {"confirmed_for_ms",
                  (owner_->listener_.confirmed_until() - now).count()}};
  if (!owner_->unread_workers_.empty()) {
    TimePoint until{};
    for (const std::string& worker : owner_->unread_workers_) {
      until = std::max(until, owner_->earlier_leases_.EndOn(worker));
    }
    fields["leases_end_in_ms"] = (until - now).count();
  }
  if (owner_->QueueOf(*job) != nullptr) {
    const EligibleWorkers workers = CountEligible(*job, id.occurrence, id.step);
    fields["usable"] = workers.usable;
    fields["with_room"] = workers.with_room;
    fields["eligible"] = workers.below_sibling_limit;
  }
  LogEvent(level, "task-waits", fields);
}

void OwnerWaitReport::LogWaitEnded(const TaskId& id,
                                   const TaskWaits::Wait& wait) {
  if (lines_left_ == 0) {
    ++lines_omitted_;
    return;
  }
  --lines_left_;
  const TimePoint now = owner_->deps_.clock->Now();
  const TaskRecord* task = owner_->jobs_.FindTask(id);
  LogEvent(LogLevel::kInfo, "task-wait-ended",
           {{"task", FormatTaskId(id)},
            {"term", owner_->options_.term},
            {"run", task->run},
            {"worker", task->worker},
            {"waited_ms", (now - wait.since).count()},
            {"condition", NameOf(kWaitConditionNames, wait.condition)}});
}

void OwnerWaitReport::SetGauges() {
  if (owner_->deps_.counters == nullptr) return;
  const TimePoint now = owner_->deps_.clock->Now();
  Millis longest{0};
  for (auto& [condition, tasks] : held_tasks_) tasks = 0;
  for (const auto& [id, wait] : waits_.All()) {
    longest =
        std::max(longest, std::chrono::duration_cast<Millis>(now - wait.since));
    if (now - wait.since >= kWaitReported) ++held_tasks_[wait.condition];
  }
  owner_->deps_.counters->Set("lasting_tasks_waiting",
                              std::ssize(waits_.All()));
  owner_->deps_.counters->Set("lasting_tasks_waiting_longest_ms",
                              longest.count());
  for (const auto& [condition, tasks] : held_tasks_) {
    owner_->deps_.counters->Set(HeldGauge(condition), tasks);
  }
}

void OwnerWaitReport::Clear() {
  if (owner_->deps_.counters == nullptr) return;
  owner_->deps_.counters->Set("lasting_tasks_waiting", 0);
  owner_->deps_.counters->Set("lasting_tasks_waiting_longest_ms", 0);
  for (const auto& [condition, tasks] : held_tasks_) {
    owner_->deps_.counters->Set(HeldGauge(condition), 0);
  }
}

}  // namespace basilusher
