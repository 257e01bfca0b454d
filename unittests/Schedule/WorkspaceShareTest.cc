// Replays a burst in which one workspace sends eight times its usual rate, on a
// fake clock: which jobs of the other workspaces are in time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "basilusher/Schedule/Backlog.h"
#include "basilusher/Schedule/WorkspaceShare.h"

namespace basilusher {
namespace {

constexpr int kStepMs = 10;
constexpr int kWorkspaces = 20;
constexpr int kEndMs = 20000;
/// One workspace is hot between these times.
constexpr int kHotFromMs = 4000;
constexpr int kHotUntilMs = 10000;
constexpr double kHotFactor = 8.0;
/// Usual jobs a second of one workspace; its weight leaves some room above.
constexpr double kUsualRate = 2.0;
constexpr double kWeight = 3.0;
/// Slots that serve the usual load of all workspaces with some reserve.
constexpr int kSlots = 230;

struct ReplayJob {
  int workspace = 0;
  int arrived_ms = 0;
  int width = 1;
  int task_ms = 0;
  int objective_ms = 0;
  int waiting = 0;
  int active = 0;
  bool started = false;
  bool over_share = false;
  int done_ms = -1;
};

TimePoint At(int ms) { return TimePoint{Millis(1000000 + ms)}; }

/// Jobs by arrival; workspace 0 sends `hot_factor` times its usual rate while
/// it is hot. The other workspaces' jobs do not depend on it.
std::vector<ReplayJob> MakeLoad(unsigned seed, double hot_factor) {
  std::vector<ReplayJob> jobs;
  for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
    std::mt19937 random(seed * 100 + static_cast<unsigned>(workspace));
    std::lognormal_distribution<double> width(std::log(7.0), 0.5);
    std::lognormal_distribution<double> work(std::log(800.0), 0.5);
    std::exponential_distribution<double> gap(1.0);
    double at = 0;
    while (true) {
      const bool hot = workspace == 0 && at >= kHotFromMs && at < kHotUntilMs;
      at += gap(random) * 1000.0 / (kUsualRate * (hot ? hot_factor : 1.0));
      if (at >= kEndMs - 6000) break;
      ReplayJob job;
      job.workspace = workspace;
      job.arrived_ms = static_cast<int>(at);
      job.width = std::clamp(static_cast<int>(width(random)), 1, 32);
      job.task_ms = std::clamp(static_cast<int>(work(random)), 100, 2000);
      job.objective_ms = static_cast<int>(1.6 * job.task_ms) + 600;
      job.waiting = job.width;
      jobs.push_back(job);
    }
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const ReplayJob& a, const ReplayJob& b) {
                     return a.arrived_ms < b.arrived_ms;
                   });
  return jobs;
}

JobArrival ArrivalOf(const ReplayJob& job) {
  return {.workspace = std::to_string(job.workspace),
          .weight = kWeight,
          .at = At(job.arrived_ms)};
}

int SlackMs(const ReplayJob& job, int now) {
  return job.arrived_ms + job.objective_ms - now - job.task_ms;
}

/// Rank before slack: in time and within the share, in time and over it,
/// unservable, late.
int RankOf(const ReplayJob& job, int now, bool shares_decide) {
  if (SlackMs(job, now) < 0) return 3;
  return shares_decide && job.over_share ? 1 : 0;
}

struct RunningTask {
  ReplayJob* job;
  int ends_ms;
};

void StartInOrder(const std::vector<ReplayJob*>& order, int now, int slots,
                  bool shares_decide, std::vector<RunningTask>* running) {
  PoolCapacity pool{.cores = static_cast<double>(slots)};
  for (const RunningTask& task : *running) {
    pool.running_core_ms += task.ends_ms - now;
  }
  std::vector<BacklogJob> backlog;
  for (const ReplayJob* job : order) {
    if (SlackMs(*job, now) < 0) continue;
    backlog.push_back(
        {.slack_ms = SlackMs(*job, now),
         .work_core_ms = static_cast<double>(job->task_ms) * job->waiting,
         .started = job->started});
  }
  const std::vector<bool> servable = ServableInTime(backlog, pool);
  std::vector<int> ranks;
  std::size_t next = 0;
  for (const ReplayJob* job : order) {
    const int rank = RankOf(*job, now, shares_decide);
    ranks.push_back(rank < 3 && !servable[next++] ? 2 : rank);
  }
  for (int pass = 0; pass < 4; ++pass) {
    for (std::size_t i = 0; i < order.size(); ++i) {
      ReplayJob* job = order[i];
      if (ranks[i] != pass) continue;
      while (job->waiting > 0 && static_cast<int>(running->size()) < slots) {
        --job->waiting;
        ++job->active;
        job->started = true;
        running->push_back({job, now + job->task_ms});
      }
    }
  }
}

/// Runs the jobs to their ends on `slots` slots. With `use_shares`, jobs within
/// their share go first while the pool is full.
void Replay(std::vector<ReplayJob>* jobs, int slots, bool use_shares) {
  WorkspaceShares shares;
  for (ReplayJob& job : *jobs) {
    job.over_share = !shares.Admit(ArrivalOf(job));
  }
  std::vector<RunningTask> running;
  for (int now = 0; now < kEndMs; now += kStepMs) {
    std::erase_if(running, [now](const RunningTask& task) {
      if (task.ends_ms > now) return false;
      if (--task.job->active == 0 && task.job->waiting == 0) {
        task.job->done_ms = now;
      }
      return true;
    });
    std::vector<ReplayJob*> order;
    std::vector<ShareCandidate> waiting;
    for (ReplayJob& job : *jobs) {
      if (job.arrived_ms > now || job.waiting == 0) continue;
      order.push_back(&job);
      waiting.push_back({.over_share = job.over_share,
                         .waiting_cores = static_cast<double>(job.waiting)});
    }
    const double free = slots - static_cast<double>(running.size());
    const bool decide = use_shares && SharesDecide(waiting, free);
    std::sort(order.begin(), order.end(),
              [now, decide](const ReplayJob* a, const ReplayJob* b) {
                const int rank_a = RankOf(*a, now, decide);
                const int rank_b = RankOf(*b, now, decide);
                return rank_a != rank_b ? rank_a < rank_b
                                        : SlackMs(*a, now) < SlackMs(*b, now);
              });
    StartInOrder(order, now, slots, decide, &running);
  }
}

/// Jobs of the workspaces other than the hot one that meet their objective.
int OthersInTime(const std::vector<ReplayJob>& jobs) {
  return static_cast<int>(
      std::count_if(jobs.begin(), jobs.end(), [](const ReplayJob& job) {
        return job.workspace != 0 && job.done_ms >= 0 &&
               job.done_ms - job.arrived_ms <= job.objective_ms;
      }));
}

TEST(WorkspaceShare, OthersAreServedAsIfNoWorkspaceWereHot) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    std::vector<ReplayJob> calm = MakeLoad(seed, 1.0);
    std::vector<ReplayJob> hot = MakeLoad(seed, kHotFactor);
    std::vector<ReplayJob> hot_without = hot;
    Replay(&calm, kSlots, /*use_shares=*/true);
    Replay(&hot, kSlots, /*use_shares=*/true);
    Replay(&hot_without, kSlots, /*use_shares=*/false);
    RecordProperty("calm" + std::to_string(seed), OthersInTime(calm));
    RecordProperty("shares" + std::to_string(seed), OthersInTime(hot));
    RecordProperty("slack" + std::to_string(seed), OthersInTime(hot_without));
    EXPECT_GE(OthersInTime(hot), 0.95 * OthersInTime(calm)) << seed;
    EXPECT_GT(OthersInTime(hot), OthersInTime(hot_without)) << seed;
  }
}

TEST(WorkspaceShare, NothingChangesWhileThePoolIsNotFull) {
  std::vector<ReplayJob> with = MakeLoad(7, kHotFactor);
  std::vector<ReplayJob> without = with;
  const int ample = 5 * kSlots;
  Replay(&with, ample, /*use_shares=*/true);
  Replay(&without, ample, /*use_shares=*/false);
  for (std::size_t i = 0; i < with.size(); ++i) {
    EXPECT_EQ(with[i].done_ms, without[i].done_ms) << i;
  }
}

// A new owner with full buckets would entitle a hot workspace to a second
// bucket of jobs.
TEST(WorkspaceShare, AHotWorkspaceGainsNothingByATakeOver) {
  const std::vector<ReplayJob> jobs = MakeLoad(3, kHotFactor);
  for (int at = kHotFromMs; at <= kHotUntilMs; at += 500) {
    WorkspaceShares kept;
    std::vector<JobArrival> open;
    int admitted_before = 0;
    for (const ReplayJob& job : jobs) {
      if (job.workspace != 0 || job.arrived_ms > at) continue;
      const bool admitted = kept.Admit(ArrivalOf(job));
      // The jobs of the last 2 s are still open at the take-over.
      if (job.arrived_ms < at - 2000) continue;
      open.push_back(ArrivalOf(job));
      admitted_before += admitted ? 1 : 0;
    }
    WorkspaceShares fresh;
    const std::vector<bool> restored = fresh.Restore(open);
    const int admitted_after =
        static_cast<int>(std::count(restored.begin(), restored.end(), true));
    // The first job of the span may find the token of the one before it.
    EXPECT_LE(admitted_after, admitted_before + 1) << at;
    int next_kept = 0;
    int next_fresh = 0;
    for (const ReplayJob& job : jobs) {
      if (job.workspace != 0 || job.arrived_ms <= at) continue;
      next_kept += kept.Admit(ArrivalOf(job)) ? 1 : 0;
      next_fresh += fresh.Admit(ArrivalOf(job)) ? 1 : 0;
    }
    EXPECT_LE(next_fresh, next_kept + 1) << at;
  }
}

TEST(WorkspaceShare, ASteadySenderWithinItsWeightKeepsItsShareAfterATakeOver) {
  std::vector<JobArrival> open;
  open.reserve(20);
  for (int i = 0; i < 20; ++i) {
    open.push_back({.workspace = "w", .weight = 5.0, .at = At(i * 200)});
  }
  WorkspaceShares shares;
  EXPECT_EQ(shares.Restore(open), std::vector<bool>(20, true));
}

// The order in which a list shows the jobs says nothing about their arrival.
TEST(WorkspaceShare, TheOrderOfRestoredJobsDoesNotMatter) {
  std::vector<JobArrival> open;
  open.reserve(30);
  for (int i = 0; i < 30; ++i) {
    open.push_back({.workspace = "w", .weight = 5.0, .at = At(i * 50)});
  }
  WorkspaceShares shares;
  std::vector<bool> forward = shares.Restore(open);
  std::reverse(open.begin(), open.end());
  std::vector<bool> backward = shares.Restore(open);
  std::reverse(backward.begin(), backward.end());
  EXPECT_EQ(forward, backward);
}

TEST(WorkspaceShare, AWeightOfZeroEntitlesToNothing) {
  WorkspaceShares shares;
  EXPECT_FALSE(shares.Admit({.workspace = "w", .weight = 0, .at = At(0)}));
  EXPECT_FALSE(shares.Admit({.workspace = "w", .weight = -1, .at = At(0)}));
  EXPECT_FALSE(
      shares.Admit({.workspace = "w", .weight = std::nan(""), .at = At(0)}));
}

TEST(WorkspaceShare, SharesDecideOnlyInAFullPoolWithJobsOfBothKinds) {
  const ShareCandidate within{.over_share = false, .waiting_cores = 4};
  const ShareCandidate over{.over_share = true, .waiting_cores = 4};
  EXPECT_TRUE(SharesDecide({within, over}, 7.9));
  EXPECT_FALSE(SharesDecide({within, over}, 8));
  EXPECT_FALSE(SharesDecide({over, over}, 0));
  EXPECT_FALSE(SharesDecide({within, within}, 0));
  EXPECT_FALSE(SharesDecide({}, 0));
}

}  // namespace
}  // namespace basilusher
