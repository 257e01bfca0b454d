// Guards against commands that carry what is known of a worker's earlier
// incarnation to the next one: a lease by its clock, the number of its ends.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000b2";
/// Longer than the time-out of a call and than the delay before the next poll.
constexpr Millis kNoticed{700};
/// Longer than the lease that owners give, by the worker's clock.
constexpr std::int64_t kUsualLeaseMs = 4100;

/// One worker whose clock is ahead of a new one by more than any lease.
class UnnoticedRestartTest : public ::testing::Test {
 protected:
  UnnoticedRestartTest() {
    sim.catalog.pools.erase("spare");
    worker = sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(12000));
  }

  void TearDown() override {
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  std::int64_t LeaseLeftMs() {
    const SimWorker& state = *sim.fleet.Find(worker);
    return state.lease_ms - (sim.timers.Now() - state.born_at).count();
  }

  FleetSim sim;
  std::string worker;
};

// The worker held a lease of up to its limit, as the start's end was computed
// from the clock of the incarnation before.
TEST_F(UnnoticedRestartTest, NoTaskStartsBetweenAFailedPollAndTheNextOne) {
  // The poll in flight has failed when the worker is back.
  sim.Restart(worker, Millis(460));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 3000));
  for (int i = 0; i < 100; ++i) {
    sim.Run(Millis(10));
    ASSERT_LE(LeaseLeftMs(), kUsualLeaseMs);
  }
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// Until its next poll the owner went on by the earlier clock, and did not count
// with the long lease.
TEST_F(UnnoticedRestartTest, TheClockInAStartsAnswerShowsTheRestart) {
  sim.Restart(worker, Millis(20));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 3000));
  sim.Run(Millis(20));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  ASSERT_GT(LeaseLeftMs(), 2 * kUsualLeaseMs);
  EXPECT_EQ(sim.owner->FindLongLeases().count(worker), 1U);
}

// The owner ordered the run of the new incarnation to stop, and started its
// task elsewhere before that run had ended.
TEST_F(UnnoticedRestartTest, ARunThatReachedTheNewIncarnationIsTheTasksOwn) {
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 20000));
  // So long that the restart is no evidence against the task, whose next start
  // would wait for a write.
  sim.Run(Millis(6000));
  const TaskId task{.job = kJob, .occurrence = 0, .step = 0, .index = 0};
  std::string first;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (sim.fleet.Find(id)->running.contains(task)) first = id;
  }
  SimWorker* state = sim.fleet.Find(first);
  SimWorker::Run late = state->running.at(task);
  sim.Restart(first, Millis(20));
  // A start of a former owner, carried out late.
  ++late.run;
  state->running[task] = late;
  state->lease_ms = kUsualLeaseMs;
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
}

// review/1: the first poll of the new incarnation acknowledged as many ends as
// the one before had reported; the tasks were run again.
TEST_F(UnnoticedRestartTest, EndsThatWereNeverReportedAreNotAcknowledged) {
  sim.Submit(FleetSim::MakeJob(kOther, 8, 100));
  sim.Run(Millis(500));
  ASSERT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  sim.Restart(worker, Millis(20));
  sim.Submit(FleetSim::MakeJob(kJob, 4, 100));
  sim.Run(kNoticed);
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
}

// The same where nothing but the failed poll tells of the restart.
TEST_F(UnnoticedRestartTest, APollAfterAFailedOneAcknowledgesNothing) {
  sim.Submit(FleetSim::MakeJob(kOther, 8, 100));
  sim.Run(Millis(500));
  // Starts reach the new incarnation, and nothing comes back.
  sim.Restart(worker, Millis(20));
  sim.fleet.Find(worker)->fault = SimFault::kAnswerLost;
  sim.Submit(FleetSim::MakeJob(kJob, 4, 100));
  sim.Run(Millis(200));
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(kNoticed);
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
}

// The next incarnation may run on other hardware: tasks were started there by
// the labels of the one before.
TEST_F(UnnoticedRestartTest, ARequiredLabelIsThatOfThePresentIncarnation) {
  const std::string key = "workers/" + worker;
  Json entry = Json::parse(sim.store.Value(key));
  entry["labels"] = {"fast"};
  sim.store.Put(key, entry.dump());
  sim.Run(Millis(500));
  sim.Restart(worker, Millis(460));
  sim.Run(kNoticed);
  JobSpec job = FleetSim::MakeJob(kJob, 1, 300);
  job.steps[0].required_label = "fast";
  sim.Submit(job);
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
  // An old entry that is written again says nothing new.
  sim.store.Put(key, entry.dump());
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
  entry["born"] = sim.fleet.Find(worker)->born_at.time_since_epoch().count();
  sim.store.Put(key, entry.dump());
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

}  // namespace
}  // namespace basilusher
