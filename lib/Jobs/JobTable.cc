// State transitions of tasks and jobs.
#include "basilusher/Jobs/JobTable.h"

#include <algorithm>

namespace basilusher {
namespace {

constexpr int kPaceUnknown = -1;

bool IsActive(TaskState state) {
  return state == TaskState::kStarting || state == TaskState::kRunning ||
         state == TaskState::kStopping;
}

OccurrenceRecord MakeOccurrence(const JobSpec& spec) {
  OccurrenceRecord occurrence;
  occurrence.steps.resize(spec.steps.size());
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    occurrence.steps[i].tasks.resize(
        static_cast<std::size_t>(spec.steps[i].count));
  }
  return occurrence;
}

StepRecord* FindStep(JobRecord* job, const TaskId& id) {
  const auto it = job->occurrences.find(id.occurrence);
  if (it == job->occurrences.end()) return nullptr;
  if (id.step >= static_cast<int>(it->second.steps.size())) return nullptr;
  StepRecord* step = &it->second.steps[static_cast<std::size_t>(id.step)];
  if (id.index >= static_cast<int>(step->tasks.size())) return nullptr;
  return step;
}

TaskRecord* TaskIn(StepRecord* step, const TaskId& id) {
  return &step->tasks[static_cast<std::size_t>(id.index)];
}

void Deactivate(StepRecord* step, const TaskId& id, TaskState state) {
  TaskRecord* task = TaskIn(step, id);
  if (IsActive(task->state)) --step->active;
  task->state = state;
  task->worker.clear();
  task->start_held = false;
  task->percent = 0;
  task->pace = 100;
  if (state == TaskState::kWaiting) {
    step->first_waiting = std::min(step->first_waiting, id.index);
  }
}

/// Marks a task done; completes its step, occurrence and job when all their
/// tasks are done.
EndEffect MarkDone(JobRecord* job, StepRecord* step, const TaskId& id) {
  Deactivate(step, id, TaskState::kDone);
  TaskIn(step, id)->start_outcome_unknown = false;
  ++step->done;
  if (step->done < static_cast<int>(step->tasks.size())) {
    return EndEffect::kTaskDone;
  }
  OccurrenceRecord& occurrence = job->occurrences.at(id.occurrence);
  ++occurrence.steps_done;
  if (occurrence.steps_done < static_cast<int>(occurrence.steps.size())) {
    return EndEffect::kTaskDone;
  }
  job->occurrences.erase(id.occurrence);
  ++job->occurrences_done;
  if (job->occurrences_done < std::max(1, job->spec.times)) {
    return EndEffect::kTaskDone;
  }
  job->state = JobState::kSucceeded;
  return EndEffect::kJobDone;
}

/// Marks all tasks of a gang done: the success of one member counts for all.
EndEffect MarkGangDone(JobRecord* job, const TaskId& id) {
  EndEffect effect = EndEffect::kIgnored;
  TaskId member = id;
  const int count = job->spec.steps[static_cast<std::size_t>(id.step)].count;
  for (member.index = 0; member.index < count; ++member.index) {
    StepRecord* step = FindStep(job, member);
    if (step == nullptr) break;
    if (TaskIn(step, member)->state == TaskState::kDone) continue;
    effect = MarkDone(job, step, member);
  }
  return effect;
}

}  // namespace

JobRecord* JobTable::Add(JobSpec spec, TimePoint accepted_at) {
  std::unique_ptr<JobRecord>& job_record = jobs_[spec.id];
  if (job_record != nullptr) return job_record.get();
  job_record = std::make_unique<JobRecord>();
  job_record->spec = std::move(spec);
  job_record->queue_number =
      queue_numbers_.try_emplace(job_record->spec.queue, queue_numbers_.size())
          .first->second;
  job_record->accepted_at = accepted_at;
  return job_record.get();
}

JobRecord* JobTable::Find(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const JobRecord* JobTable::Find(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void JobTable::Erase(const std::string& id) { jobs_.erase(id); }

TaskRecord* JobTable::FindTask(const TaskId& id) {
  return FindTaskOf(Find(id.job), id);
}

TaskRecord* FindTaskOf(JobRecord* job, const TaskId& id) {
  if (job == nullptr) return nullptr;
  StepRecord* step = FindStep(job, id);
  return step == nullptr ? nullptr : TaskIn(step, id);
}

bool OpenDueOccurrences(JobRecord* job, std::int64_t unix_ms,
                        std::size_t most) {
  bool opened = false;
  if (IsFinal(job->state)) return false;
  const int times = std::max(1, job->spec.times);
  while (job->next_occurrence < times && job->occurrences.size() < most) {
    const std::int64_t due = job->spec.start_at_unix_ms +
                             job->next_occurrence * job->spec.interval_ms;
    if (job->spec.times > 0 && due > unix_ms) break;
    job->occurrences.emplace(job->next_occurrence, MakeOccurrence(job->spec));
    ++job->next_occurrence;
    opened = true;
  }
  return opened;
}

bool OpenDueOccurrences(JobRecord* job, std::int64_t unix_ms) {
  return OpenDueOccurrences(job, unix_ms, MaxOpenOccurrences(job->spec));
}

bool HasLastingStep(const JobSpec& spec) {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) { return step.lasting; });
}

bool StepReady(const JobRecord& job, const OccurrenceRecord& occurrence,
               int step) {
  const StepSpec& spec = job.spec.steps[static_cast<std::size_t>(step)];
  return std::all_of(spec.after.begin(), spec.after.end(), [&](int earlier) {
    const StepRecord& record =
        occurrence.steps[static_cast<std::size_t>(earlier)];
    return record.done == static_cast<int>(record.tasks.size());
  });
}

void MarkStarting(JobRecord* job, const TaskId& id, const std::string& worker,
                  std::int64_t run, TimePoint now) {
  StepRecord* step = FindStep(job, id);
  TaskRecord* task = TaskIn(step, id);
  task->state = TaskState::kStarting;
  task->started_or_adopted = true;
  task->ended_unreported = false;
  task->speed_sampled = false;
  task->worker = worker;
  task->run = run;
  task->sent_at = now;
  ++step->active;
}

void AdoptRun(JobRecord* job, const TaskId& id, const std::string& worker,
              const RunningTask& running, TimePoint now) {
  StepRecord* step = FindStep(job, id);
  TaskRecord* task = TaskIn(step, id);
  task->state = TaskState::kRunning;
  task->started_or_adopted = true;
  task->ended_unreported = false;
  task->start_outcome_unknown = false;
  task->worker = worker;
  task->run = running.run;
  task->checkpoint = running.checkpoint;
  task->percent = running.percent;
  task->sent_at = now;
  task->started_at = now;
  task->progressed_at = now;
  task->pace = kPaceUnknown;
  ++step->active;
  if (job->state == JobState::kQueued) job->state = JobState::kRunning;
}

void Requeue(JobRecord* job, const TaskId& id) {
  StepRecord* step = FindStep(job, id);
  if (step != nullptr && TaskIn(step, id)->state != TaskState::kDone) {
    Deactivate(step, id, TaskState::kWaiting);
  }
}

EndEffect ApplyEnd(JobRecord* job, const EndedTask& end,
                   const std::string& worker, std::optional<int> max_attempts) {
  StepRecord* step = FindStep(job, end.task);
  if (step == nullptr) return EndEffect::kIgnored;
  TaskRecord* task = TaskIn(step, end.task);
  if (task->state == TaskState::kDone) return EndEffect::kIgnored;
  const StepSpec& spec =
      job->spec.steps[static_cast<std::size_t>(end.task.step)];
  if (end.kind == EndKind::kDone && !spec.lasting) {
    return spec.gang ? MarkGangDone(job, end.task)
                     : MarkDone(job, step, end.task);
  }
  // Members of a gang fail together; the first member's record holds the gang's
  // failure count.
  TaskRecord* counter = spec.gang ? &step->tasks.front() : task;
  const bool is_new_failure =
      end.kind == EndKind::kFailed && !spec.lasting &&
      std::find(counter->failed_runs.begin(), counter->failed_runs.end(),
                end.run) == counter->failed_runs.end();
  if (is_new_failure) {
    ++counter->failures;
    counter->failed_runs.push_back(end.run);
    task->avoid_worker = worker;
  }
  if (!end.checkpoint.empty()) task->checkpoint = end.checkpoint;
  const bool current = task->worker == worker && task->run == end.run;
  if (current || task->state == TaskState::kWaiting) {
    task->run = std::max(task->run, end.run);
    Deactivate(step, end.task, TaskState::kWaiting);
  }
  if (is_new_failure && max_attempts && counter->failures >= *max_attempts) {
    job->state = JobState::kFailed;
    return EndEffect::kJobFailed;
  }
  return current || is_new_failure ? EndEffect::kRequeued : EndEffect::kIgnored;
}

bool HasExhaustedTask(const JobRecord& job, int max_attempts) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      if (job.spec.steps[s].lasting) continue;
      const std::vector<TaskRecord>& tasks = occurrence.steps[s].tasks;
      // In a gang the first member's record holds the failures of all.
      if (std::any_of(tasks.begin(), tasks.end(),
                      [max_attempts](const TaskRecord& task) {
                        return task.state == TaskState::kWaiting &&
                               task.failures >= max_attempts;
                      })) {
        return true;
      }
    }
  }
  return false;
}

void ForEachActive(
    JobRecord* job,
    const std::function<void(const TaskId&, TaskRecord*)>& visit) {
  for (auto& [number, occurrence] : job->occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      StepRecord& step = occurrence.steps[s];
      if (step.active == 0) continue;
      for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        if (!IsActive(step.tasks[i].state)) continue;
        visit({.job = job->spec.id,
               .occurrence = number,
               .step = static_cast<int>(s),
               .index = static_cast<int>(i)},
              &step.tasks[i]);
      }
    }
  }
}

}  // namespace basilusher
