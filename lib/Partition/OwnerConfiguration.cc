// What an owner takes from the configuration, and what holds while the
// configuration does not have the queue or the workspace of a job.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"

namespace basilusher {

void PartitionOwner::SetCatalog(std::shared_ptr<const Catalog> catalog) {
  UseCatalog(std::move(catalog));
  if (loaded_) {
    std::vector<JobRecord*> all;
    for (const auto& [id, job] : jobs_.All()) all.push_back(job.get());
    FailExhaustedJobs(all);
  }
  ScheduleDispatch();
}

void PartitionOwner::UseCatalog(std::shared_ptr<const Catalog> catalog) {
  catalog_ = std::move(catalog);
  queues_.SetCatalog(catalog_.get());
  if (catalog_ == nullptr) return;
  for (const auto& [name, workspace] : catalog_->workspaces) {
    workspace_caps_[name] = workspace.cap;
  }
}

void PartitionOwner::FailExhaustedJobs(const std::vector<JobRecord*>& jobs) {
  std::vector<JobRecord*> exhausted;
  for (JobRecord* job : jobs) {
    const std::optional<int> attempts = MaxAttempts(*job);
    if (!IsFinal(job->state) && attempts && HasExhaustedTask(*job, *attempts)) {
      exhausted.push_back(job);
    }
  }
  for (JobRecord* job : exhausted) {
    job->state = JobState::kFailed;
    OnJobEnded(job);
  }
}

const QueueConfig* PartitionOwner::QueueOf(const JobRecord& job) const {
  return queues_.Of(job);
}

std::optional<int> PartitionOwner::MaxAttempts(const JobRecord& job) const {
  const QueueConfig* queue = QueueOf(job);
  if (queue == nullptr) return std::nullopt;
  return std::max(1, queue->max_attempts);
}

bool PartitionOwner::WithinCap(const JobRecord& job,
                               const Resources& need) const {
  const auto limit = workspace_caps_.find(job.spec.workspace);
  if (limit == workspace_caps_.end()) return true;
  Resources used;
  const auto it = workspace_used_.find(job.spec.workspace);
  if (it != workspace_used_.end()) used = it->second;
  const auto orphaned = workspace_orphaned_.find(job.spec.workspace);
  if (orphaned != workspace_orphaned_.end()) used += orphaned->second;
  used += need;
  const Resources& cap = limit->second;
  return (cap.cpu_millis == 0 || used.cpu_millis <= cap.cpu_millis) &&
         (cap.memory_mb == 0 || used.memory_mb <= cap.memory_mb) &&
         (cap.accelerators == 0 || used.accelerators <= cap.accelerators);
}

}  // namespace basilusher
