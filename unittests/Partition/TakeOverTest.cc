// Guards against a new owner that restarts tasks or takes instances before it
// has read all ends of their workers.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";

class TakeOverTest : public ::testing::Test {
 protected:
  /// Adds `workers` workers and begins the first term.
  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  /// The worker that the job's tasks run on.
  std::string WorkerRunning() {
    std::string worker;
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (!sim.fleet.Find(id)->running.empty()) worker = id;
    }
    return worker;
  }

  /// Removes the worker's directory entry, as after missed heartbeats, and
  /// returns it.
  std::string ExpireEntry(const std::string& worker) {
    const std::string key = "workers/" + worker;
    std::string entry = sim.store.Value(key);
    sim.store.Remove(key);
    return entry;
  }

  /// The store refuses to write the jobs' records.
  void RefuseJobRecords() {
    sim.store.refused_prefixes = {RecordKeys().progress_prefix,
                                  RecordKeys().final_prefix};
  }

  FleetSim sim;
};

TEST_F(TakeOverTest,
       AnEntryThatExpiresAfterItWasListedStillDelaysItsWorkersTasks) {
  SetUpFleet(2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(200));
  const std::string worker = WorkerRunning();
  RefuseJobRecords();
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  sim.store.refused_prefixes.clear();
  sim.fleet.AddWorker("pool");
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  while (!sim.owner->Loaded()) sim.Run(Millis(1));
  const std::string entry = ExpireEntry(worker);
  sim.Run(Millis(300));
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest,
       AWorkerWithoutAnEntryAndWithUnstoredEndsIsReadByTheNextOwner) {
  SetUpFleet(2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(200));
  const std::string worker = WorkerRunning();
  const std::string entry = ExpireEntry(worker);
  RefuseJobRecords();
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  sim.store.refused_prefixes.clear();
  sim.BeginTerm();
  sim.Run(Millis(1500));
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest,
       AnIdleWorkerWhoseEntryExpiresWithUnstoredEndsIsReadByTheNext) {
  SetUpFleet(2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(200));
  const std::string worker = WorkerRunning();
  RefuseJobRecords();
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  const std::string entry = ExpireEntry(worker);
  sim.Run(Millis(300));
  sim.store.refused_prefixes.clear();
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(1500));
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest, AnInstanceIsNotTakenBeforeItsWorkersEndsAreStored) {
  SetUpFleet(2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(200));
  const std::string worker = WorkerRunning();
  RefuseJobRecords();
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + worker},
                      .ramp_s = 10,
                      .max_at_once = 1});
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  EXPECT_TRUE(sim.fleet.Find(worker)->alive);
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_FALSE(sim.fleet.Find(worker)->alive);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest, AWorkerWithMoreEndsThanOnePollReturnsIsNotReadByOnePoll) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kJob, 12, 400));
  sim.Run(Millis(200));
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 12);
  sim.store.fault = SimFault::kNone;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest, AnInstanceIsNotTakenWhileItsWorkerHasUnreportedEnds) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kJob, 12, 400));
  sim.Run(Millis(200));
  const std::string worker = WorkerRunning();
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 12);
  sim.store.fault = SimFault::kNone;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  // The worker stops answering once the first ends are acknowledged.
  while (sim.fleet.Find(worker)->ended.size() == 12) sim.Run(Millis(1));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + worker},
                      .ramp_s = 10,
                      .max_at_once = 1});
  sim.Run(Millis(2000));
  EXPECT_TRUE(sim.fleet.Find(worker)->alive);
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_FALSE(sim.fleet.Find(worker)->alive);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest, EndsBeyondOnePollAreNotVanishedRuns) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(2);
  RefuseJobRecords();
  sim.Submit(FleetSim::MakeJob(kJob, 12, 400));
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest, AnEntryThatExpiresAndReturnsAtOnceKeepsItsWorkerInUse) {
  SetUpFleet(1);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  const std::string entry = ExpireEntry(worker);
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 4, 400));
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// A job was cancelled while nobody owned the work; its runs, which were being
// stopped, did not count towards the workspace's limit.
TEST_F(TakeOverTest,
       RunsOfAJobCancelledBeforeATakeOverCountUntilTheyHaveEnded) {
  constexpr const char* kNext = "00000000000000b2";
  sim.catalog.workspaces["team"].cap = {.cpu_millis = 4000};
  SetUpFleet(2);
  JobSpec job = FleetSim::MakeJob(kJob, 2, 9000);
  job.steps[0].max_per_worker = 1;
  sim.Submit(job);
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 2);
  sim.owner->Close();
  sim.Cancel(kJob, /*owner_told=*/false);
  sim.Submit(FleetSim::MakeJob(kNext, 4, 300));
  // One of the workers is read later than the other.
  const std::string late = sim.fleet.AliveWorkerIds().back();
  sim.fleet.Find(late)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  for (int i = 0; i < 4000; ++i) {
    sim.Run(Millis(1));
    if (i == 500) sim.fleet.Find(late)->fault = SimFault::kNone;
    ASSERT_LE(sim.fleet.RunningTasks(kJob) + sim.fleet.RunningTasks(kNext), 2);
  }
  EXPECT_EQ(sim.StateOf(kJob), JobState::kCancelled);
  EXPECT_EQ(sim.StateOf(kNext), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TakeOverTest, EntriesAreNotExpectedBackDuringAnOutageOfTheStore) {
  SetUpFleet(3);
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(300));
  const std::string worker = WorkerRunning();
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(100));
  const std::string entry = ExpireEntry(worker);
  sim.Run(Millis(500));
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(2600));
  // The run's lease has not expired.
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  sim.store.fault = SimFault::kNone;
  sim.store.Put("workers/" + worker, entry);
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
