// Classification of an owner's jobs by their workspace's share.
#include "basilusher/Partition/ShareTracker.h"

#include <algorithm>
#include <cstdint>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// The job's arrival; a weight of zero if the configuration does not have its
/// workspace.
JobArrival ArrivalOf(const JobRecord& job, const Catalog& catalog) {
  const auto workspace = catalog.workspaces.find(job.spec.workspace);
  return {.workspace = job.spec.workspace,
          .weight = workspace == catalog.workspaces.end()
                        ? 0
                        : workspace->second.weight,
          .at = job.accepted_at};
}

/// True if the job counts towards its workspace's rate. Scheduled and lasting
/// jobs are bounded by the workspace's limit, and their rate says nothing.
bool Counts(const JobRecord& job, const Catalog& catalog) {
  return job.spec.times == 0 && !HasLastingStep(job.spec) &&
         catalog.workspaces.contains(job.spec.workspace);
}

double FreeCores(const PoolWorkers& pool) {
  std::int64_t millis = 0;
  for (const WorkerCapacity* worker : pool.healthy.Workers()) {
    millis += std::max<std::int64_t>(
        0, worker->room.cpu_millis - worker->used.cpu_millis);
  }
  return static_cast<double>(millis) / 1e3;
}

}  // namespace

void ShareTracker::NoteArrival(JobRecord* job, const Catalog& catalog) {
  if (!enabled_ || !Counts(*job, catalog)) return;
  job->over_share = !shares_.Admit(ArrivalOf(*job, catalog));
  if (job->over_share && counters_ != nullptr) {
    counters_->Add("jobs_over_share_total");
  }
}

void ShareTracker::Restore(JobTable* jobs, const Catalog& catalog) {
  if (!enabled_) return;
  std::vector<JobRecord*> counted;
  std::vector<JobArrival> arrivals;
  for (const auto& [id, job] : jobs->All()) {
    if (IsFinal(job->state) || !Counts(*job, catalog)) continue;
    counted.push_back(job.get());
    arrivals.push_back(ArrivalOf(*job, catalog));
  }
  const std::vector<bool> within = shares_.Restore(arrivals);
  int over = 0;
  for (std::size_t i = 0; i < counted.size(); ++i) {
    counted[i]->over_share = !within[i];
    over += within[i] ? 0 : 1;
  }
  LogEvent(LogLevel::kInfo, "shares-restored",
           {{"jobs", counted.size()}, {"over_share", over}});
}

void ShareTracker::Order(const std::map<std::string, PoolWorkers>& pools,
                         std::vector<PlacementCandidate>* candidates) {
  if (!enabled_) return;
  std::int64_t behind = 0;
  for (const auto& [name, pool] : pools) {
    std::vector<PlacementCandidate*> of_pool;
    std::vector<ShareCandidate> waiting;
    for (PlacementCandidate& candidate : *candidates) {
      if (candidate.pool != &pool) continue;
      of_pool.push_back(&candidate);
      waiting.push_back({.over_share = candidate.job->over_share,
                         .waiting_cores = candidate.waiting_cores});
    }
    if (of_pool.empty() || !SharesDecide(waiting, FreeCores(pool))) continue;
    for (PlacementCandidate* candidate : of_pool) {
      candidate->urgency.over_share = candidate->job->over_share;
      behind += candidate->job->over_share ? 1 : 0;
    }
  }
  if (counters_ != nullptr) counters_->Set("jobs_behind_share", behind);
}

}  // namespace basilusher
