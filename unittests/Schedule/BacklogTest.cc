// Replays the worst burst of the large deployment on a fake clock: which jobs
// are in time, by the order in which they get workers.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

#include "basilusher/Schedule/Backlog.h"

namespace basilusher {
namespace {

/// Step of the replay.
constexpr int kStepMs = 10;
/// Cores of one task; a slot is the part of a worker that runs one.
constexpr double kTaskCores = 4.5;
/// Arrivals of foreman-check in each 2 s, and the slots of its pool's usable
/// instances in each second, from second 8 of the third day with trouble: the
/// pool grows from 27 instances, and all nodes are killed at second 13.
constexpr int kArrivals[] = {108, 369, 582, 453, 183, 45};
constexpr int kSlots[] = {125,  125,  250,  1000, 1600, 100,
                          2000, 2300, 2400, 2000, 1000, 500};

struct ReplayJob {
  int arrived_ms = 0;
  int steps_left = 1;
  int width = 1;
  int task_ms = 0;
  int objective_ms = 0;
  int waiting = 0;
  int active = 0;
  bool started = false;
  int done_ms = -1;
};

std::vector<ReplayJob> MakeLoad(unsigned seed) {
  std::mt19937 random(seed);
  std::vector<ReplayJob> jobs;
  std::lognormal_distribution<double> width(std::log(7.0), 0.55);
  std::lognormal_distribution<double> work(std::log(720.0), 0.45);
  std::uniform_real_distribution<double> unit(0, 1);
  int second = 0;
  for (const int count : kArrivals) {
    for (int i = 0; i < count; ++i) {
      ReplayJob job;
      job.arrived_ms = second * 1000 + static_cast<int>(unit(random) * 2000);
      job.steps_left = unit(random) < 0.5 ? 1 : 2;
      job.width = std::clamp(static_cast<int>(width(random)), 1, 32);
      job.task_ms = std::clamp(static_cast<int>(work(random)), 100, 2000);
      job.objective_ms =
          static_cast<int>(1.6 * job.steps_left * job.task_ms) + 600;
      job.waiting = job.width;
      jobs.push_back(job);
    }
    second += 2;
  }
  return jobs;
}

int SlackMs(const ReplayJob& job, int now) {
  return job.arrived_ms + job.objective_ms - now - job.steps_left * job.task_ms;
}

double WaitingWork(const ReplayJob& job) {
  return kTaskCores * job.task_ms *
         (job.waiting + job.width * (job.steps_left - 1));
}

/// Marks the jobs of `order` that are deferred, by their positions.
std::vector<bool> Deferred(const std::vector<ReplayJob*>& order, int now,
                           const PoolCapacity& pool) {
  std::vector<BacklogJob> backlog;
  backlog.reserve(order.size());
  for (const ReplayJob* job : order) {
    if (SlackMs(*job, now) < 0) continue;
    backlog.push_back({.slack_ms = SlackMs(*job, now),
                       .work_core_ms = WaitingWork(*job),
                       .started = job->started});
  }
  const std::vector<bool> servable = ServableInTime(backlog, pool);
  std::vector<bool> deferred;
  deferred.reserve(order.size());
  std::size_t next = 0;
  for (const ReplayJob* job : order) {
    deferred.push_back(SlackMs(*job, now) >= 0 && !servable[next++]);
  }
  return deferred;
}

struct RunningTask {
  ReplayJob* job;
  int ends_ms;
};

/// Slots in second `second`, of which `share` are left to this queue.
int SlotsAt(int second, double share) {
  return static_cast<int>(share * kSlots[std::min(second, 11)]);
}

/// Returns the number of jobs that meet their objective.
int Replay(std::vector<ReplayJob> jobs, double share, bool defer) {
  std::vector<RunningTask> running;
  for (int now = 0; now < 40000; now += kStepMs) {
    const int slots = SlotsAt(now / 1000, share);
    std::erase_if(running, [now](const RunningTask& task) {
      if (task.ends_ms > now) return false;
      ReplayJob* job = task.job;
      if (--job->active > 0 || job->waiting > 0) return true;
      if (--job->steps_left > 0) {
        job->waiting = job->width;
      } else {
        job->done_ms = now;
      }
      return true;
    });
    std::vector<ReplayJob*> order;
    for (ReplayJob& job : jobs) {
      if (job.arrived_ms <= now && job.waiting > 0) order.push_back(&job);
    }
    std::sort(order.begin(), order.end(),
              [now](const ReplayJob* a, const ReplayJob* b) {
                return SlackMs(*a, now) < SlackMs(*b, now);
              });
    const int next_slots = SlotsAt(now / 1000 + 1, share);
    PoolCapacity pool{
        .cores = slots * kTaskCores,
        .arriving_cores = std::max(0, next_slots - slots) * kTaskCores,
        .arriving_in_ms = 1000 - now % 1000};
    for (const RunningTask& task : running) {
      pool.running_core_ms += kTaskCores * (task.ends_ms - now);
    }
    const std::vector<bool> deferred =
        defer ? Deferred(order, now, pool)
              : std::vector<bool>(order.size(), false);
    // In time, deferred, late.
    for (int pass = 0; pass < 3; ++pass) {
      for (std::size_t i = 0; i < order.size(); ++i) {
        ReplayJob* job = order[i];
        const int rank = deferred[i] ? 1 : SlackMs(*job, now) < 0 ? 2 : 0;
        if (rank != pass) continue;
        while (job->waiting > 0 && static_cast<int>(running.size()) < slots) {
          --job->waiting;
          ++job->active;
          job->started = true;
          running.push_back({job, now + job->task_ms});
        }
      }
    }
  }
  return static_cast<int>(
      std::count_if(jobs.begin(), jobs.end(), [](const ReplayJob& job) {
        return job.done_ms >= 0 &&
               job.done_ms - job.arrived_ms <= job.objective_ms;
      }));
}

TEST(Backlog, MoreJobsAreInTimeIfUnservableOnesAreDeferred) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    const std::vector<ReplayJob> jobs = MakeLoad(seed);
    for (const double share : {0.8, 0.65, 0.5}) {
      const int least_slack = Replay(jobs, share, /*defer=*/false);
      const int deferring = Replay(jobs, share, /*defer=*/true);
      EXPECT_GT(deferring, least_slack) << "seed " << seed << " " << share;
    }
  }
}

TEST(Backlog, DeferringCostsNothingIfThePoolIsLargeEnough) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    const std::vector<ReplayJob> jobs = MakeLoad(seed);
    EXPECT_GE(Replay(jobs, 1.5, true), Replay(jobs, 1.5, false));
  }
}

TEST(Backlog, AllJobsAreServableWithoutOverload) {
  EXPECT_EQ(ServableInTime({{.slack_ms = 100, .work_core_ms = 50},
                            {.slack_ms = 200, .work_core_ms = 100}},
                           {.cores = 1}),
            (std::vector<bool>{true, true}));
}

TEST(Backlog, AJobWithoutCapacityInTimeLeavesItToTheNextOnes) {
  EXPECT_EQ(ServableInTime({{.slack_ms = 100, .work_core_ms = 150},
                            {.slack_ms = 110, .work_core_ms = 100}},
                           {.cores = 1}),
            (std::vector<bool>{false, true}));
}

TEST(Backlog, InstancesOnTheirWayCountFromTheirArrival) {
  const std::vector<BacklogJob> jobs = {{.slack_ms = 200, .work_core_ms = 300}};
  EXPECT_EQ(ServableInTime(
                jobs, {.cores = 1, .arriving_cores = 2, .arriving_in_ms = 150}),
            (std::vector<bool>{true}));
  EXPECT_EQ(ServableInTime(
                jobs, {.cores = 1, .arriving_cores = 2, .arriving_in_ms = 160}),
            (std::vector<bool>{false}));
}

TEST(Backlog, AStartedJobIsFinished) {
  EXPECT_EQ(
      ServableInTime({{.slack_ms = 10, .work_core_ms = 50, .started = true},
                      {.slack_ms = 60, .work_core_ms = 20}},
                     {.cores = 1}),
      (std::vector<bool>{true, false}));
}

}  // namespace
}  // namespace basilusher
