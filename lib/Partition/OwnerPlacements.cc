// Workers that may hold runs of lasting tasks, stored with their jobs: a later
// owner holds such a task back for these workers only.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"

namespace basilusher {

void PartitionOwner::InheritPlacements(JobRecord* job, bool has_progress) {
  const std::int64_t since = options_.starts_stored_since;
  // Without stored progress no start has been stored. No owner before the term
  // in which the job was offered has started it.
  const std::int64_t complete_since =
      has_progress ? job->placements_term : job->spec.offered_term;
  const bool complete =
      !job->inherited || (since > 0 && complete_since >= since);
  job->placements_term = complete ? options_.term : 0;
}

void PartitionOwner::CompletePlacements() {
  if (placements_completed_) return;
  // A worker that stays unread once no earlier lease can last holds no run.
  if (std::any_of(
          unread_workers_.begin(), unread_workers_.end(),
          [this](const std::string& id) { return MayRunUnreported(id); })) {
    return;
  }
  placements_completed_ = true;
  std::vector<std::string> changed;
  for (const auto& [id, job] : jobs_.All()) {
    if (job->placements_term > 0 || IsFinal(job->state)) continue;
    job->placements_term = options_.term;
    if (HasLastingStep(job->spec)) changed.push_back(id);
  }
  recorder_->Save(changed, nullptr);
}

void PartitionOwner::NotePlacement(const TaskId& id,
                                   const std::string& worker) {
  JobRecord* job = jobs_.Find(id.job);
  if (job->placements_term == 0 && !MayHaveOrphanedRuns(*job)) {
    job->placements_term = options_.term;
  }
  TaskRecord* task = jobs_.FindTask(id);
  std::erase_if(task->run_workers, [&](const std::string& former) {
    return !MayRunUnreported(former) && !MayHoldFormerRun(former, id);
  });
  task->run_workers.insert(worker);
}

void PartitionOwner::NoteReportedRun(const TaskId& id,
                                     const std::string& worker) {
  const JobRecord* job = jobs_.Find(id.job);
  if (!job->spec.steps[static_cast<std::size_t>(id.step)].lasting) return;
  const bool added = jobs_.FindTask(id)->run_workers.insert(worker).second;
  if (added && job->placements_term > 0) recorder_->Save({id.job}, nullptr);
}

bool PartitionOwner::MayHoldFormerRun(const std::string& worker,
                                      const TaskId& id) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  const std::vector<AbandonedRun>& abandoned = it->second->abandoned;
  const auto& unwanted = it->second->unwanted_runs;
  return std::any_of(
             abandoned.begin(), abandoned.end(),
             [&id](const AbandonedRun& run) { return run.task == id; }) ||
         std::any_of(unwanted.begin(), unwanted.end(),
                     [&id](const auto& run) { return run.first.first == id; });
}

bool PartitionOwner::AwaitsOrphanedRun(const JobRecord& job,
                                       const StepSpec& step,
                                       const TaskRecord& task) const {
  if (task.started_or_adopted) return false;
  if (!step.lasting || job.placements_term == 0) return true;
  return std::any_of(
      task.run_workers.begin(), task.run_workers.end(),
      [this](const std::string& worker) { return MayRunUnreported(worker); });
}

bool PartitionOwner::AnyAwaitsOrphanedRun(const JobRecord& job) const {
  if (!MayHaveOrphanedRuns(job)) return false;
  for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
    const StepSpec& spec = job.spec.steps[s];
    if (!spec.lasting || job.placements_term == 0) return true;
    for (const auto& [number, occurrence] : job.occurrences) {
      const std::vector<TaskRecord>& tasks = occurrence.steps[s].tasks;
      if (std::any_of(tasks.begin(), tasks.end(), [&](const TaskRecord& task) {
            return task.state == TaskState::kWaiting &&
                   AwaitsOrphanedRun(job, spec, task);
          })) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace basilusher
