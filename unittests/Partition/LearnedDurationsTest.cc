// An owner that learns how long tasks run, beside one that scales what was
// declared.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "../Support/LogCapture.h"
#include "FleetSim.h"
#include "basilusher/Partition/DurationLearner.h"

namespace basilusher {
namespace {

constexpr const char* kFiller = "00000000000000a0";
constexpr const char* kLong = "00000000000000a1";
constexpr const char* kShort = "00000000000000a2";

/// Submits a job of 16 tasks, which fill one worker, of an image whose tasks
/// run for `actual`; all are declared to take 400 ms. They end
/// before the owner takes runs without progress for stuck.
void SubmitJob(FleetSim* sim, const std::string& id, const std::string& image,
               Millis actual) {
  JobSpec job = FleetSim::MakeJob(id, 16, 400);
  job.steps[0].image = image;
  sim->fleet.actual_durations[id] = actual;
  sim->Submit(job);
}

/// Lets jobs of both images end, one after the other.
void TrainOwner(FleetSim* sim) {
  sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
  for (int i = 0; i < 10; ++i) {
    const std::string suffix = std::to_string(10 + i);
    SubmitJob(sim, "00000000000000b" + suffix.substr(1), "long", Millis(700));
    sim->Run(Millis(1000));
    SubmitJob(sim, "00000000000000c" + suffix.substr(1), "short", Millis(100));
    sim->Run(Millis(400));
  }
}

/// A long job and then a short one wait for a full worker. Returns true if the
/// short one starts first.
bool ShortJobIsFirst(FleetSim* sim) {
  SubmitJob(sim, kFiller, "short", Millis(300));
  sim->Run(Millis(100));
  SubmitJob(sim, kLong, "long", Millis(700));
  sim->Run(Millis(100));
  SubmitJob(sim, kShort, "short", Millis(100));
  sim->Run(Millis(400));
  return sim->fleet.StartsOf({.job = kShort}) > 0;
}

/// A short job has less slack than a long one, by 0.6 of the difference: its
/// objective is shorter, too.
TEST(LearnedDurationsTest, TheOrderIsByLearnedDurations) {
  FleetSim sim;
  sim.learned_durations = true;
  TrainOwner(&sim);
  EXPECT_TRUE(ShortJobIsFirst(&sim));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// With the switch off, both jobs are as long as declared and the older one
/// goes first.
TEST(LearnedDurationsTest, WithoutTheSwitchTheOrderIsByDeclaredDurations) {
  FleetSim sim;
  TrainOwner(&sim);
  EXPECT_FALSE(ShortJobIsFirst(&sim));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// A later owner has no learned state: it starts from declared estimates.
TEST(LearnedDurationsTest, ATakeOverStartsFromDeclaredDurations) {
  FleetSim sim;
  sim.learned_durations = true;
  TrainOwner(&sim);
  sim.BeginTerm();
  sim.Run(Millis(8000));
  EXPECT_FALSE(ShortJobIsFirst(&sim));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Guards against a log line or a counter that does not show how far the
/// estimates may be trusted.
TEST(LearnedDurationsTest, TheErrorOfExpectationsIsReported) {
  Counters counters;
  FleetSim sim;
  sim.counters = &counters;
  sim.learned_durations = true;
  LogCapture log;
  TrainOwner(&sim);
  sim.Run(Millis(11000));
  EXPECT_EQ(counters.Value("durations_observed_total"), 20 * 16);
  EXPECT_EQ(counters.Value("durations_censored_total"), 0);
  EXPECT_GT(counters.Value("duration_declared_error_permille{queue=\"queue\"}"),
            1000);
  EXPECT_LT(counters.Value("duration_error_permille{queue=\"queue\"}"), 600);
  const std::vector<Json> lines = log.Lines("durations");
  ASSERT_FALSE(lines.empty());
  EXPECT_LE(lines.size(), 4U);
  EXPECT_EQ(lines.back().at("queue"), "queue");
  EXPECT_EQ(lines.back().at("runs"), 20 * 16);
}

/// Failed runs are cut short: they count as at least as long, not as whole.
TEST(LearnedDurationsTest, FailedRunsAreCensored) {
  Counters counters;
  FleetSim sim;
  sim.counters = &counters;
  sim.learned_durations = true;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.fleet.Find(worker)->fails_all_tasks = true;
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kLong, 1, 500));
  sim.Run(Millis(5000));
  EXPECT_EQ(counters.Value("durations_observed_total"), 0);
  EXPECT_GT(counters.Value("durations_censored_total"), 0);
}

/// The end of a run is never reported: it is a run without an observation.
TEST(LearnedDurationsTest, ARunThatIsLostWithItsWorkerIsNoObservation) {
  Counters counters;
  FleetSim sim;
  sim.counters = &counters;
  sim.learned_durations = true;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kLong, 4, 800));
  sim.Run(Millis(300));
  sim.fleet.Remove(worker);
  sim.Run(Millis(3000));
  EXPECT_EQ(counters.Value("durations_observed_total"), 0);
  EXPECT_EQ(counters.Value("durations_censored_total"), 0);
}

/// A run far from its data is slowed down: it counts as at most as long.
TEST(LearnedDurationsTest, RunsFarFromTheirDataAreCensored) {
  Counters counters;
  FleetSim sim;
  sim.counters = &counters;
  sim.learned_durations = true;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  JobSpec job = FleetSim::MakeJob(kLong, 4, 300);
  job.steps[0].preferred_rack = "elsewhere";
  sim.Submit(job);
  sim.Run(Millis(3000));
  EXPECT_EQ(counters.Value("durations_observed_total"), 0);
  EXPECT_EQ(counters.Value("durations_censored_total"), 4);
}

/// Guards against a change of what an owner decides without the switch.
TEST(LearnedDurationsTest, WithoutTheSwitchEstimatesAreScaledByQueue) {
  DurationLearner learner(/*learned=*/false, nullptr);
  DurationEstimate scale;
  JobTable jobs;
  JobRecord* job = jobs.Add(FleetSim::MakeJob(kLong, 4, 500), TimePoint{});
  OpenDueOccurrences(job, 0);
  for (int i = 1; i <= 20; ++i) {
    learner.AddRun(job, {.job = kLong}, EndKind::kDone, Millis(100 * i),
                   {.slowed = i % 2 == 0});
    learner.AddRun(job, {.job = kLong}, EndKind::kFailed, Millis(1), {});
    scale.AddSample(100.0 * i, 500);
  }
  EXPECT_EQ(learner.Ratio("queue"), scale.ratio);
  EXPECT_EQ(learner.ArrivingCoreMs(job->spec), 2.0 * 500 * scale.ratio * 4);
  EXPECT_EQ(learner.Ratio("other"), 1);
}

TEST(LearnedDurationsTest, BoundsFollowFromCircumstances) {
  EXPECT_EQ(BoundOf(EndKind::kDone, {}), DurationBound::kExact);
  EXPECT_EQ(BoundOf(EndKind::kDone, {.partly_seen = true}),
            DurationBound::kAtLeast);
  EXPECT_EQ(BoundOf(EndKind::kStopped, {}), DurationBound::kAtLeast);
  EXPECT_EQ(BoundOf(EndKind::kDone, {.slowed = true}), DurationBound::kAtMost);
  EXPECT_EQ(BoundOf(EndKind::kFailed, {.slowed = true}), std::nullopt);
}

}  // namespace
}  // namespace basilusher
