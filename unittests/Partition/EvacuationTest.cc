// Guards against starts in a data centre whose evacuation was acknowledged, and
// against jobs that an evacuation loses.
#include "EvacuationFixture.h"

namespace basilusher::evacuation_test {
namespace {

constexpr Millis kBound{5000};
constexpr Millis kOutage{6000};
/// The watch of the keys notices the store's return within two probes.
constexpr Millis kBackInTouch{700};

using EvacuationTest = EvacuationFixture;

TEST_F(EvacuationTest, NothingStartsThereAndWorkGoesOnElsewhere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  ASSERT_GT(sim.fleet.StartsIn("a"), 0);
  ASSERT_GT(sim.fleet.StartsIn("b"), 0);
  Evacuate("a");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_EQ(sim.fleet.RunningIn("a"), 0);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere + 100);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Deployments that do not ask for it behave as before.
TEST_F(EvacuationTest, WithoutABoundTheRequestHasNoEffect) {
  view.SetMaxAge(std::nullopt);
  AddWorkers({"a"});
  watcher->Begin();
  sim.store.Put(std::string(kPrefix) + "a", "{}");
  BeginTerm();
  sim.Submit(FleetSim::MakeJob(kJob, 2, 1000));
  sim.Run(Millis(300));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 2);
}

TEST_F(EvacuationTest, AStartThatWasHeldIsNotSentThereOnceItIsStored) {
  AddWorkers({"a"});
  BeginTerm();
  sim.store.refused_prefixes = {RecordKeys().progress_prefix};
  sim.Submit(Lasting(1, 1));
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.StartedRuns(), 0);
  Evacuate("a");
  sim.Run(Millis(100));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kQueued);
  Cancel("a");
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 1);
}

TEST_F(EvacuationTest, AnOwnerThatHasNotReadTheKeysStartsNothing) {
  AddWorkers({"a", "b"});
  sim.store.Put(std::string(kPrefix) + "a", "{}");
  sim.fleet.RecordEvacuation("a");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 4, 1000));
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
  watcher->Begin();
  sim.Run(Millis(300));
  EXPECT_EQ(sim.fleet.RunningIn("b"), 4);
  EXPECT_EQ(sim.fleet.StartsIn("a"), 0);
}

/// The watch of the keys is silent while the store answers all other calls.
TEST_F(EvacuationTest, NothingStartsByAnOldViewOfTheKeys) {
  sim.fleet.evacuation_bound = kBound;
  AddWorkers({"a", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  sim.store.delayed_prefix = kPrefix;
  sim.store.watch_delay = Millis(12000);
  sim.Run(Millis(400));
  Evacuate("a");
  sim.Run(Millis(3500));
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.StartedRuns(), starts);
  sim.store.watch_delay = Millis(0);
  sim.Run(Millis(8000));
  EXPECT_GT(sim.fleet.StartedRuns(), starts);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AnOwnerThatTakesOverMidwayKnowsOfIt) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  // The former owner goes on until it learns of the new term.
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AnOwnerThatTakesOverMidwayGoesOnMovingRuns) {
  AddWorkers({"a"});
  BeginTerm();
  sim.Submit(Lasting(6, 1));
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.RunningIn("a"), 6);
  AddWorkers({"b"});
  sim.Run(Millis(500));
  Evacuate("a");
  // A stop has been sent, or a start waits for the store.
  sim.Run(Millis(600));
  ASSERT_GT(sim.fleet.RunningIn("a"), 0);
  sim.BeginTerm();
  sim.Run(Millis(15000));
  EXPECT_EQ(sim.fleet.RunningIn("a"), 0);
  EXPECT_EQ(sim.fleet.RunningIn("b"), 6);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Nothing is acknowledged in the outage, so starts go on in it. The write that
/// the store acknowledges when it is back is heard of before any further start.
TEST_F(EvacuationTest, AStoreThatWasDownBeforeTheAcknowledgement) {
  AddWorkers({"a", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(1000));
  const int there = sim.fleet.StartsIn("a");
  sim.Run(kOutage - Millis(1000));
  EXPECT_GT(sim.fleet.StartsIn("a"), there);
  sim.store.fault = SimFault::kNone;
  Evacuate("a");
  const int at_return = sim.fleet.StartsIn("a");
  sim.Run(kBackInTouch);
  EXPECT_EQ(sim.fleet.StartsIn("a"), at_return);
  const int elsewhere = sim.fleet.StartsIn("b");
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), at_return);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AStoreThatIsDownAfterTheAcknowledgement) {
  AddWorkers({"a", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  sim.Run(kTold);
  sim.store.fault = SimFault::kRequestLost;
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  sim.Run(kOutage);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AWaveGoesOnThere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-w2", "m-w0", "m-w1"},
                      .ramp_s = 30,
                      .max_at_once = 1});
  sim.Run(Millis(2000));
  // An instance that takes no tasks is the best one to maintain.
  EXPECT_FALSE(sim.fleet.Find("w0")->alive && sim.fleet.Find("w1")->alive);
  EXPECT_TRUE(sim.fleet.Find("w2")->alive);
  sim.Run(Millis(28000));
  EXPECT_EQ(sim.store.Value("status/1"), "finished");
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Their maintenance takes no capacity away, unlike that of other empty ones.
TEST_F(EvacuationTest, AWaveBeginsWithEmptyInstancesThere) {
  AddWorkers({"a", "a", "b", "b"});
  BeginTerm();
  Evacuate("a");
  sim.Run(kTold);
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-w2", "m-w3", "m-w0", "m-w1"},
                      .ramp_s = 60,
                      .max_at_once = 2});
  sim.Run(Millis(1500));
  EXPECT_FALSE(sim.fleet.Find("w0")->alive);
  EXPECT_FALSE(sim.fleet.Find("w1")->alive);
  EXPECT_TRUE(sim.fleet.Find("w2")->alive);
  EXPECT_TRUE(sim.fleet.Find("w3")->alive);
}

TEST_F(EvacuationTest, TwoDataCentres) {
  AddWorkers({"a", "b", "c"});
  BeginTerm();
  SubmitSteadyWork();
  sim.Run(Millis(2000));
  Evacuate("a");
  Evacuate("b");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a") + sim.fleet.StartsIn("b");
  const int elsewhere = sim.fleet.StartsIn("c");
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.StartsIn("a") + sim.fleet.StartsIn("b"), there);
  EXPECT_GT(sim.fleet.StartsIn("c"), elsewhere);
  Cancel("a");
  const int in_b = sim.fleet.StartsIn("b");
  const int in_a = sim.fleet.StartsIn("a");
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.StartsIn("b"), in_b);
  EXPECT_GT(sim.fleet.StartsIn("a"), in_a);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, AllDataCentresJobsWaitAndAreDoneAfterwards) {
  AddWorkers({"a", "b"});
  BeginTerm();
  sim.Submit(FleetSim::MakeJob(kJob, 8, 30000));
  sim.Run(Millis(500));
  Evacuate("a");
  Evacuate("b");
  sim.Run(kTold);
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Submit(FleetSim::MakeJob(kOther, 8, 500));
  sim.Run(Millis(60000));
  EXPECT_EQ(sim.fleet.StartedRuns(), starts);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.StateOf(kOther), JobState::kQueued);
  Cancel("a");
  Cancel("b");
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(EvacuationTest, ACancellationMidwayMovesNothingBack) {
  AddWorkers({"a"});
  BeginTerm();
  sim.Submit(Lasting(8, 1));
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.RunningIn("a"), 8);
  AddWorkers({"b"});
  sim.Run(Millis(500));
  Evacuate("a");
  // Some tasks have moved, one at a time.
  sim.Run(Millis(1500));
  Cancel("a");
  sim.Run(Millis(1000));
  const int stay = sim.fleet.RunningIn("a");
  EXPECT_GT(stay, 0);
  EXPECT_LT(stay, 8);
  EXPECT_EQ(stay + sim.fleet.RunningIn("b"), 8);
  const std::int64_t starts = sim.fleet.StartedRuns();
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.StartedRuns(), starts);
  // The data centre is used again.
  sim.Submit(FleetSim::MakeJob(kOther, 20, 500));
  sim.Run(Millis(200));
  EXPECT_GT(sim.fleet.RunningIn("a"), stay);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher::evacuation_test
