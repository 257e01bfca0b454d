// Selects the waiting jobs that a pool can serve in time.
#include "basilusher/Schedule/Backlog.h"

#include <algorithm>

namespace basilusher {
namespace {

/// Nothing is deferred while less than this share of the waiting work has no
/// capacity in time. The estimate then errs about as often as it is right,
/// since it does not know which tasks run at the same time.
constexpr double kMinUnservableShare = 0.2;

}  // namespace

std::vector<bool> ServableInTime(const std::vector<BacklogJob>& jobs,
                                 const PoolCapacity& pool) {
  std::vector<bool> servable;
  servable.reserve(jobs.size());
  double ahead = pool.running_core_ms;
  double total = 0;
  double unservable = 0;
  for (const BacklogJob& job : jobs) {
    const std::int64_t after_arrival =
        std::max<std::int64_t>(0, job.slack_ms - pool.arriving_in_ms);
    const double done_in_time =
        pool.cores * static_cast<double>(job.slack_ms) +
        pool.arriving_cores * static_cast<double>(after_arrival);
    const double with_job = ahead + job.work_core_ms;
    servable.push_back(job.started || with_job <= done_in_time);
    total += job.work_core_ms;
    if (servable.back()) {
      ahead = with_job;
    } else {
      unservable += job.work_core_ms;
    }
  }
  if (unservable < kMinUnservableShare * total) {
    servable.assign(jobs.size(), true);
  }
  return servable;
}

}  // namespace basilusher
