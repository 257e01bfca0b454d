// Guards against conclusions of an owner whose store does not answer, so that
// another owner may have begun: what it finds out about a worker that is silent
// to it alone holds no longer.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFull = "00000000000000a2";
constexpr int kTasks = 4;
constexpr int kTasksOfAWorker = 16;
/// Term of the owner in doubt, and the first fencing token of the next one.
constexpr std::int64_t kFormer = 1;
constexpr std::int64_t kFirstFenceOfSuccessor = 2000000;
/// An owner is replaced about this long after its last answer of the store.
constexpr Millis kElection{2000};

/// An owner is cut off from the store while it runs tasks on a worker, and
/// another one is elected. Each of them reaches one worker only.
class DoubtfulOwnerTest : public ::testing::Test {
 protected:
  DoubtfulOwnerTest() {
    sim.fleet.ends_on_time = true;
    // No instance is moved away.
    sim.catalog.pools.erase("spare");
    busy = sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    JobSpec job = FleetSim::MakeJob(kJob, kTasks, 0);
    job.steps[0].lasting = true;
    sim.Submit(job);
    sim.Run(Millis(300));
    idle = sim.fleet.AddWorker("pool");
    sim.Run(Millis(300));
  }

  void SetUp() override {
    ASSERT_EQ(sim.fleet.Find(busy)->running.size(),
              static_cast<std::size_t>(kTasks));
  }

  void TearDown() override {
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  /// The former owner no longer reaches the busy worker, nor its successor the
  /// idle one.
  void SplitWorkers() {
    sim.fleet.Find(busy)->unreachable_below_fence = kFirstFenceOfSuccessor;
    sim.fleet.Find(idle)->unreachable_from_fence = kFirstFenceOfSuccessor;
  }

  FleetSim sim;
  std::string busy;
  std::string idle;
};

TEST_F(DoubtfulOwnerTest, AWorkerThatIsSilentToItAloneRunsOnForItsSuccessor) {
  sim.connections[kFormer]->cut = true;
  SplitWorkers();
  sim.Run(kElection);
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(10000));
}

TEST_F(DoubtfulOwnerTest, AWorkerThatAnswersLateRunsOnForItsSuccessor) {
  sim.connections[kFormer]->cut = true;
  SplitWorkers();
  sim.Run(kElection);
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(2500));
  // The former owner learns of its successor now.
  sim.fleet.Find(busy)->unreachable_below_fence.reset();
  sim.Run(Millis(6000));
}

TEST_F(DoubtfulOwnerTest, AWorkerThatFallsSilentLateRunsOnForItsSuccessor) {
  sim.connections[kFormer]->cut = true;
  SplitWorkers();
  sim.fleet.Find(busy)->unreachable_below_fence.reset();
  sim.fleet.Find(busy)->unreachable_from_fence = kFirstFenceOfSuccessor;
  sim.Run(kElection);
  sim.BeginTerm(/*close_former=*/false);
  // The former owner starts tasks until 8 s after its term was confirmed.
  sim.Run(Millis(3000));
  SplitWorkers();
  sim.fleet.Find(busy)->unreachable_from_fence.reset();
  sim.Run(Millis(12000));
}

// The former owner does not reach the busy worker while its successor reads it.
// Then the worker's process starts again, so that it has seen no fencing token.
TEST_F(DoubtfulOwnerTest, ARestartedWorkerKnowsNothingOfItsSuccessor) {
  sim.connections[kFormer]->cut = true;
  sim.Run(kElection);
  sim.fleet.Find(busy)->unreachable_below_fence = kFirstFenceOfSuccessor;
  sim.fleet.Find(idle)->unreachable_below_fence = kFirstFenceOfSuccessor;
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(100));
  sim.Restart(busy, Millis(300));
  sim.fleet.Find(busy)->unreachable_below_fence.reset();
  sim.Run(Millis(10000));
}

// The owner in doubt has not heard that the worker's entry is away, and starts
// a task there when it has room. Its successor, which does not reach the
// worker, knows nothing of that.
TEST(DoubtfulOwnerStartsTest,
     ItStartsTasksOnAWorkerThatTheNextOneTakesForGone) {
  FleetSim sim;
  sim.catalog.pools.erase("spare");
  const std::string absent = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kFull, kTasksOfAWorker, 4500));
  sim.Run(Millis(100));
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(200));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 0);
  sim.connections[kFormer]->cut = true;
  sim.fleet.Find(absent)->unreachable_from_fence = kFirstFenceOfSuccessor;
  sim.store.Remove("workers/" + absent);
  sim.fleet.AddWorker("pool");
  sim.Run(kElection);
  sim.BeginTerm(/*close_former=*/false);
  sim.Run(Millis(25000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
