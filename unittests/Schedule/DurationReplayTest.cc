// Replays of the uses of expected durations, with estimates as declared, as
// scaled by queue, and as learned. No network, fixed seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

#include "DrawnRuns.h"
#include "basilusher/Schedule/Backlog.h"
#include "basilusher/Schedule/OutlierDetector.h"
#include "basilusher/Schedule/PoolPlan.h"

namespace basilusher {
namespace {

constexpr double kSpreads[] = {0.2, 0.5, 0.9};
constexpr EstimatorKind kKinds[] = {
    EstimatorKind::kDeclared, EstimatorKind::kScaled, EstimatorKind::kLearned};
constexpr unsigned kSeeds = 2;
/// Ended steps of the queue before a replay begins.
constexpr int kTrainedSteps = 200;

// The burst of BacklogTest, with tasks whose durations are not known.
constexpr int kStepMs = 20;
constexpr double kTaskCores = 4.5;
constexpr int kArrivals[] = {108, 369, 582, 453, 183, 45};
constexpr int kSlots[] = {125,  125,  250,  1000, 1600, 100,
                          2000, 2300, 2400, 2000, 1000, 500};
constexpr double kStretch = 1.6;
constexpr double kObjectiveMs = 600;

struct ReplayJob {
  int arrived_ms = 0;
  std::vector<DrawnStep> steps;
  std::size_t step = 0;
  std::size_t started = 0;
  std::size_t ended = 0;
  int done_ms = -1;
  // By the estimator, recomputed when a task of the job has ended.
  bool changed = true;
  double chain_ms = 0;
  double left_ms = 0;
  double work_core_ms = 0;

  std::size_t Waiting() const {
    return step < steps.size() ? steps[step].task_ms.size() - started : 0;
  }
};

StepLaw BurstLaw(double declared_spread) {
  return {.median_ms = 720,
          .spread = 0.5,
          .declared_spread = declared_spread,
          .tasks = 8};
}

std::vector<ReplayJob> MakeBurst(double declared_spread, std::mt19937* random) {
  std::vector<ReplayJob> jobs;
  std::lognormal_distribution<double> width(std::log(7.0), 0.55);
  std::uniform_real_distribution<double> unit(0, 1);
  int second = 0;
  for (const int count : kArrivals) {
    for (int i = 0; i < count; ++i) {
      ReplayJob job;
      job.arrived_ms = second * 1000 + static_cast<int>(unit(*random) * 2000);
      const int steps = unit(*random) < 0.5 ? 1 : 2;
      StepLaw law = BurstLaw(declared_spread);
      law.tasks = std::clamp(static_cast<int>(width(*random)), 1, 32);
      for (int s = 0; s < steps; ++s) {
        job.steps.push_back(DrawStep(law, random));
        job.steps.back().index = s;
      }
      jobs.push_back(job);
    }
    second += 2;
  }
  return jobs;
}

/// By which a job is judged: the work that it really has.
double ObjectiveMs(const ReplayJob& job) {
  double chain = 0;
  for (const DrawnStep& step : job.steps) chain += step.true_ms;
  return kStretch * chain + kObjectiveMs;
}

void Update(ReplayJob* job, const Estimator& estimator) {
  if (!job->changed) return;
  job->changed = false;
  job->chain_ms = job->left_ms = job->work_core_ms = 0;
  for (std::size_t s = 0; s < job->steps.size(); ++s) {
    const double ms = estimator.StepMs(job->steps[s]);
    job->chain_ms += ms;
    if (s < job->step) continue;
    job->left_ms += ms;
    const std::size_t waiting =
        s == job->step ? job->Waiting() : job->steps[s].task_ms.size();
    job->work_core_ms += kTaskCores * static_cast<double>(waiting) *
                         estimator.MeanMs(job->steps[s]);
  }
}

double SlackMs(const ReplayJob& job, int now) {
  return job.arrived_ms + kStretch * job.chain_ms + kObjectiveMs - now -
         job.left_ms;
}

struct ActiveTask {
  ReplayJob* job;
  int began_ms;
  int ends_ms;
  double ms;
};

std::vector<bool> Deferred(const std::vector<ReplayJob*>& order, int now,
                           const PoolCapacity& pool) {
  std::vector<BacklogJob> backlog;
  backlog.reserve(order.size());
  for (const ReplayJob* job : order) {
    if (SlackMs(*job, now) < 0) continue;
    backlog.push_back(
        {.slack_ms = static_cast<std::int64_t>(SlackMs(*job, now)),
         .work_core_ms = job->work_core_ms,
         .started = job->started + job->step > 0});
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

void EndTasks(int now, std::vector<ActiveTask>* active, Estimator* estimator) {
  std::erase_if(*active, [now, estimator](const ActiveTask& task) {
    if (task.ends_ms > now) return false;
    ReplayJob* job = task.job;
    DrawnStep* step = &job->steps[job->step];
    estimator->OnTaskDone(step, task.ms);
    job->changed = true;
    if (++job->ended < step->task_ms.size()) return true;
    job->started = job->ended = 0;
    if (++job->step == job->steps.size()) job->done_ms = now;
    return true;
  });
}

PoolCapacity CapacityAt(int now, double share,
                        const std::vector<ActiveTask>& active,
                        const Estimator& estimator) {
  const int second = std::min(now / 1000, 11);
  const int slots = static_cast<int>(share * kSlots[second]);
  const int next =
      static_cast<int>(share * kSlots[std::min(now / 1000 + 1, 11)]);
  PoolCapacity pool{.cores = slots * kTaskCores,
                    .arriving_cores = std::max(0, next - slots) * kTaskCores,
                    .arriving_in_ms = 1000 - now % 1000};
  for (const ActiveTask& task : active) {
    pool.running_core_ms +=
        kTaskCores *
        estimator.LeftMs(task.job->steps[task.job->step], now - task.began_ms);
  }
  return pool;
}

/// Returns the number of jobs that meet their objective.
int ReplayBurst(std::vector<ReplayJob> jobs, double share, bool defer,
                Estimator* estimator) {
  std::vector<ActiveTask> active;
  for (int now = 0; now < 40000; now += kStepMs) {
    EndTasks(now, &active, estimator);
    const std::size_t slots =
        static_cast<std::size_t>(share * kSlots[std::min(now / 1000, 11)]);
    std::vector<ReplayJob*> order;
    for (ReplayJob& job : jobs) {
      if (job.arrived_ms > now || job.Waiting() == 0) continue;
      Update(&job, *estimator);
      order.push_back(&job);
    }
    if (order.empty() || active.size() >= slots) continue;
    std::sort(order.begin(), order.end(),
              [now](const ReplayJob* a, const ReplayJob* b) {
                return SlackMs(*a, now) < SlackMs(*b, now);
              });
    std::vector<bool> deferred(order.size(), false);
    if (defer) {
      deferred =
          Deferred(order, now, CapacityAt(now, share, active, *estimator));
    }
    std::vector<int> ranks;
    for (std::size_t i = 0; i < order.size(); ++i) {
      ranks.push_back(deferred[i] ? 1 : SlackMs(*order[i], now) < 0 ? 2 : 0);
    }
    for (int pass = 0; pass < 3; ++pass) {
      for (std::size_t i = 0; i < order.size(); ++i) {
        if (ranks[i] != pass) continue;
        ReplayJob* job = order[i];
        while (job->Waiting() > 0 && active.size() < slots) {
          const double ms = job->steps[job->step].task_ms[job->started++];
          active.push_back({job, now, now + static_cast<int>(ms), ms});
          job->changed = true;
        }
      }
    }
  }
  return static_cast<int>(
      std::count_if(jobs.begin(), jobs.end(), [](const ReplayJob& job) {
        return job.done_ms >= 0 &&
               job.done_ms - job.arrived_ms <= ObjectiveMs(job);
      }));
}

/// Sum over the seeds and the pool's shares.
int InTime(double spread, bool defer, EstimatorKind kind, bool trained) {
  int in_time = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    for (const double share : {0.8, 0.5}) {
      std::mt19937 random(seed);
      const std::unique_ptr<Estimator> estimator = MakeEstimator(kind);
      Train(BurstLaw(spread), trained ? kTrainedSteps : 0, &random,
            estimator.get());
      // The same burst for all estimators, trained or not.
      std::mt19937 burst(seed + 100);
      in_time +=
          ReplayBurst(MakeBurst(spread, &burst), share, defer, estimator.get());
    }
  }
  return in_time;
}

/// Guards against an order or an in-time decision that serves fewer jobs by
/// learned durations than by declared or scaled ones.
void CompareBursts(bool defer) {
  std::printf(
      "| spread | declared | scaled | learned | learned, untrained | true |\n");
  int sums[3] = {0, 0, 0};
  for (const double spread : kSpreads) {
    int in_time[3];
    for (const EstimatorKind kind : kKinds) {
      in_time[static_cast<int>(kind)] = InTime(spread, defer, kind, true);
      sums[static_cast<int>(kind)] += in_time[static_cast<int>(kind)];
    }
    std::printf("| %.1f | %d | %d | %d | %d | %d |\n", spread, in_time[0],
                in_time[1], in_time[2],
                InTime(spread, defer, EstimatorKind::kLearned, false),
                InTime(spread, defer, EstimatorKind::kTrue, true));
  }
  EXPECT_GT(sums[2], sums[0]);
  EXPECT_GT(sums[2], sums[1]);
}

TEST(DurationReplayTest, OrderByLearnedSlackServesMoreJobsInTime) {
  CompareBursts(/*defer=*/false);
}

TEST(DurationReplayTest, InTimeDecisionByLearnedWorkServesMoreJobsInTime) {
  CompareBursts(/*defer=*/true);
}

/// Guards against a wrong expectation of when a pool's runs end. 40 steps run
/// on a pool at a time, each begun at a random time, some of their tasks
/// ended.
TEST(DurationReplayTest, LearnedRemainingWorkOfAPoolErrsLess) {
  std::printf("| spread | declared | scaled | learned |\n");
  for (const double spread : kSpreads) {
    double errors[3] = {0, 0, 0};
    constexpr int kSnapshots = 100;
    for (const EstimatorKind kind : kKinds) {
      std::mt19937 random(7);
      std::uniform_real_distribution<double> unit(0, 1);
      const std::unique_ptr<Estimator> estimator = MakeEstimator(kind);
      const StepLaw law = BurstLaw(spread);
      Train(law, kTrainedSteps, &random, estimator.get());
      for (int n = 0; n < kSnapshots; ++n) {
        double expected = 0;
        double actual = 0;
        for (int i = 0; i < 40; ++i) {
          DrawnStep step = DrawStep(law, &random);
          const double elapsed = unit(random) * 2 * law.median_ms;
          for (const double ms : step.task_ms) {
            if (ms <= elapsed) estimator->OnTaskDone(&step, ms);
          }
          for (const double ms : step.task_ms) {
            if (ms > elapsed) step.running_ms.push_back(elapsed);
          }
          for (const double ms : step.task_ms) {
            if (ms <= elapsed) continue;
            expected += estimator->LeftMs(step, elapsed);
            actual += ms - elapsed;
          }
          // Elsewhere, as many runs end that had begun before.
          for (const double ms : step.task_ms) {
            if (ms > elapsed) estimator->OnTaskDone(&step, ms);
          }
        }
        errors[static_cast<int>(kind)] +=
            std::abs(expected - actual) / actual / kSnapshots;
      }
    }
    std::printf("| %.1f | %.2f | %.2f | %.2f |\n", spread, errors[0], errors[1],
                errors[2]);
    EXPECT_LT(errors[2], errors[0]) << spread;
    EXPECT_LT(errors[2], errors[1]) << spread;
  }
}

struct StragglerCounts {
  int healthy_suspected = 0;
  int slow_missed = 0;
};

/// 200 workers of 8 runs each, of which each tenth is five times slower.
StragglerCounts SuspectWorkers(double spread, EstimatorKind kind) {
  std::mt19937 random(11);
  std::uniform_real_distribution<double> unit(0, 1);
  const std::unique_ptr<Estimator> estimator = MakeEstimator(kind);
  const StepLaw law = BurstLaw(spread);
  Train(law, kTrainedSteps, &random, estimator.get());
  StragglerCounts counts;
  for (int worker = 0; worker < 200; ++worker) {
    const bool slow = worker % 10 == 0;
    OutlierDetector detector;
    bool suspected = false;
    for (int run = 0; run < 8; ++run) {
      DrawnStep step = DrawStep(law, &random);
      // Half of its siblings have ended on other workers.
      for (std::size_t i = 4; i < step.task_ms.size(); ++i) {
        estimator->OnTaskDone(&step, step.task_ms[i]);
      }
      const double ms = step.task_ms[0] * (slow ? 5 : 1);
      const double elapsed = 300 + 200 * unit(random);
      if (ms <= elapsed) continue;
      detector.RecordProgress(Millis(static_cast<std::int64_t>(elapsed)),
                              static_cast<int>(100 * elapsed / ms),
                              estimator->StepMs(step));
      suspected = suspected || detector.OutlierScore(TimePoint{}) > 0;
    }
    if (suspected && !slow) ++counts.healthy_suspected;
    if (!suspected && slow) ++counts.slow_missed;
  }
  return counts;
}

/// Guards against healthy workers that are suspected since their runs were
/// declared too short, and slow ones that are missed.
TEST(DurationReplayTest, LearnedExpectationsTellSlowWorkersFromHealthyOnes) {
  std::printf("| spread | declared: suspected, missed | scaled | learned |\n");
  for (const double spread : kSpreads) {
    StragglerCounts counts[3];
    for (const EstimatorKind kind : kKinds) {
      counts[static_cast<int>(kind)] = SuspectWorkers(spread, kind);
    }
    std::printf("| %.1f | %d, %d | %d, %d | %d, %d |\n", spread,
                counts[0].healthy_suspected, counts[0].slow_missed,
                counts[1].healthy_suspected, counts[1].slow_missed,
                counts[2].healthy_suspected, counts[2].slow_missed);
    for (int i = 0; i < 2; ++i) {
      EXPECT_LE(counts[2].healthy_suspected + counts[2].slow_missed,
                counts[i].healthy_suspected + counts[i].slow_missed)
          << spread;
    }
  }
}

/// Guards against a pool that is sized by declared work. Jobs of 8 tasks arrive
/// for two seconds at 20 a second.
TEST(DurationReplayTest, LearnedArrivalsSizeThePoolByTheWorkThatThereIs) {
  std::printf("| spread | bias | declared | scaled | learned |\n");
  for (const double bias : {1.0, 3.0}) {
    for (const double spread : kSpreads) {
      double errors[3] = {0, 0, 0};
      constexpr int kWindows = 50;
      for (const EstimatorKind kind : kKinds) {
        std::mt19937 random(13);
        const std::unique_ptr<Estimator> estimator = MakeEstimator(kind);
        StepLaw law = BurstLaw(spread);
        law.declared_bias = bias;
        Train(law, kTrainedSteps, &random, estimator.get());
        for (int n = 0; n < kWindows; ++n) {
          ArrivalWindow expected;
          ArrivalWindow actual;
          TimePoint now{Millis(1000000)};
          std::vector<DrawnStep> steps;
          for (int i = 0; i < 40; ++i, now += Millis(50)) {
            DrawnStep step = DrawStep(law, &random);
            expected.Add(now, 8 * kTaskCores * estimator->MeanMs(step));
            double work = 0;
            for (const double ms : step.task_ms) work += kTaskCores * ms;
            actual.Add(now, work);
            steps.push_back(step);
          }
          for (DrawnStep& step : steps) {
            for (const double ms : step.task_ms) {
              estimator->OnTaskDone(&step, ms);
            }
          }
          errors[static_cast<int>(kind)] +=
              std::abs(expected.ArrivingCores(now) / actual.ArrivingCores(now) -
                       1) /
              kWindows;
        }
      }
      std::printf("| %.1f | %.0f | %.2f | %.2f | %.2f |\n", spread, bias,
                  errors[0], errors[1], errors[2]);
      EXPECT_LT(errors[2], 0.25) << spread;
      if (bias > 1 || spread > 0.8) {
        EXPECT_LT(errors[2], errors[0]) << spread;
      }
    }
  }
}

}  // namespace
}  // namespace basilusher
