// Tests of one owner's work on jobs and workers, and of what the next owner
// takes over.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";

/// Adds `workers` workers and begins a term.
void SetUpFleet(FleetSim* sim, int workers) {
  for (int i = 0; i < workers; ++i) sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
}

JobSpec LastingJob(int tasks, int per_worker) {
  JobSpec job = FleetSim::MakeJob(kJob, tasks, 0);
  job.steps[0].lasting = true;
  job.steps[0].max_per_worker = per_worker;
  job.steps[0].max_unavailable = 1;
  return job;
}

TEST(OwnerTest, RunsStepsInOrderAndRecordsTheEnd) {
  FleetSim sim;
  SetUpFleet(&sim, 3);
  JobSpec job = FleetSim::MakeJob(kJob, 5, 400);
  job.steps.push_back(job.steps[0]);
  job.steps[1].after = {0};
  sim.Submit(job);
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.DoneTasks(kJob), 10);
  EXPECT_TRUE(sim.store.Has(RecordKeys().final_prefix + kJob));
  EXPECT_FALSE(sim.store.Has(RecordKeys().job_prefix + kJob));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, TasksOfALostWorkerStartElsewhereOnceItsLeaseIsOver) {
  FleetSim sim;
  SetUpFleet(&sim, 3);
  sim.Submit(LastingJob(3, 1));
  sim.Run(Millis(1000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 3);
  for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
  sim.fleet.Crash(sim.fleet.AliveWorkerIds().front());
  sim.Run(Millis(7500));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 3);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, ACancellationListedBeforeItsJobCountsAfterATakeOver) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  sim.Submit(LastingJob(2, 0));
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 2);
  sim.owner->Close();
  sim.Cancel(kJob, /*owner_told=*/false);
  sim.BeginTerm();
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 0);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kCancelled);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, ATakeOverAdoptsWhatRuns) {
  FleetSim sim;
  SetUpFleet(&sim, 3);
  sim.Submit(FleetSim::MakeJob(kJob, 8, 3000));
  sim.Run(Millis(1000));
  sim.BeginTerm();
  sim.Run(Millis(3500));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 8);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, AnUnansweredStartIsSettledBeforeTheTaskStartsElsewhere) {
  for (const SimFault fault :
       {SimFault::kAnswerLost, SimFault::kDelayed, SimFault::kRequestLost}) {
    FleetSim sim;
    SetUpFleet(&sim, 2);
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      sim.fleet.Find(id)->fault = fault;
    }
    sim.Submit(FleetSim::MakeJob(kJob, 6, 2000));
    sim.Run(Millis(300));
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      sim.fleet.Find(id)->fault = SimFault::kNone;
    }
    // A next incarnation of the workers could execute the starts until then.
    sim.Run(kMaxCallDelay - Millis(400));
    EXPECT_EQ(sim.fleet.StartsOf({.job = kJob}),
              fault == SimFault::kAnswerLost ? 1 : 0);
    sim.Run(Millis(3000));
    EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }
}

TEST(OwnerTest, FailuresAreCountedOnceAcrossATakeOver) {
  FleetSim sim;
  SetUpFleet(&sim, 1);
  sim.fleet.Find(sim.fleet.AliveWorkerIds().front())->fails_all_tasks = true;
  sim.Submit(FleetSim::MakeJob(kJob, 1, 100));
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(150));
  sim.BeginTerm();
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_EQ(sim.fleet.StartedRuns(), 3);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, AnEndIsAcknowledgedOnlyAfterAllEndsBeforeItAreStored) {
  FleetSim sim;
  SetUpFleet(&sim, 1);
  const std::string other = "00000000000000b2";
  JobSpec lasting = LastingJob(1, 0);
  lasting.id = other;
  sim.Submit(lasting);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 500));
  sim.Run(Millis(440));
  sim.Cancel(other, /*owner_told=*/false);
  sim.Run(Millis(40));
  ASSERT_TRUE(sim.store.Has(RecordKeys().final_prefix + other));
  // While the store does not answer, the worker reports the task's end and
  // after it the end of the cancelled job's task, which needs no record.
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(400));
  sim.owner->Close();
  sim.store.fault = SimFault::kNone;
  sim.BeginTerm();
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 2);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, AnOldEndDoesNotRestartATaskThatMayRunOnAnUnreadWorker) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  JobSpec job = FleetSim::MakeJob(kJob, 1, 6000);
  // The first run is stopped when its worker drains, and the worker does not
  // learn that its end is stored. The second one runs on the other worker while
  // the store does not answer.
  job.steps[0].lasting = true;
  sim.Submit(job);
  sim.Run(Millis(200));
  std::string first;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) first = id;
  }
  sim.fleet.Drain(first);
  for (int i = 0; i < 1000 && sim.fleet.Find(first)->ended.empty(); ++i) {
    sim.Run(Millis(1));
  }
  // The owner has heard of the end, and has not stored it yet.
  sim.Run(Millis(10));
  sim.fleet.Find(first)->fault = SimFault::kRequestLost;
  sim.Run(Millis(200));
  std::string second;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) second = id;
  }
  ASSERT_FALSE(second.empty());
  ASSERT_NE(first, second);
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(600));
  ASSERT_FALSE(sim.fleet.Find(first)->ended.empty());
  sim.fleet.Find(first)->fault = SimFault::kNone;
  sim.store.fault = SimFault::kNone;
  sim.owner->Close();
  sim.fleet.AddWorker("pool");
  sim.fleet.Find(second)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(1500));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, TasksOnAnUnresponsiveWorkerCountAsUnavailable) {
  FleetSim sim;
  SetUpFleet(&sim, 4);
  sim.Submit(LastingJob(4, 1));
  sim.Run(Millis(1500));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 4);
  const std::vector<std::string> ids = sim.fleet.AliveWorkerIds();
  sim.fleet.Crash(ids[0]);
  sim.Run(Millis(3200));
  for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + ids[1]},
                      .ramp_s = 60,
                      .max_at_once = 2});
  // The step allows one unavailable task, and the crashed worker's is
  // unavailable.
  sim.Run(Millis(700));
  EXPECT_EQ(sim.fleet.Find(ids[1])->running.size(), 1U);
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 4);
  EXPECT_FALSE(sim.fleet.Find(ids[1])->alive);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, AWorkerThatFailsAllTasksDoesNotFailJobs) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  const std::string bad = sim.fleet.AliveWorkerIds().front();
  sim.fleet.Find(bad)->fails_all_tasks = true;
  for (int i = 0; i < 12; ++i) {
    sim.Submit(
        FleetSim::MakeJob("00000000000000c" + std::to_string(i), 4, 200));
    sim.Run(Millis(100));
  }
  sim.Run(Millis(8000));
  int succeeded = 0;
  for (int i = 0; i < 12; ++i) {
    const JobState state = sim.StateOf("00000000000000c" + std::to_string(i));
    EXPECT_TRUE(IsFinal(state));
    succeeded += state == JobState::kSucceeded ? 1 : 0;
  }
  EXPECT_EQ(succeeded, 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, AWaveKeepsItsBoundAcrossATakeOver) {
  FleetSim sim;
  for (int i = 0; i < 12; ++i) sim.fleet.AddWorker("pool");
  MaintenanceWave wave = {.number = 1, .ramp_s = 20, .max_at_once = 3};
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    wave.instances.push_back("m-" + id);
  }
  sim.BeginTerm();
  sim.owner->SetWave(wave);
  sim.Run(Millis(700));
  ASSERT_EQ(sim.fleet.peak_in_maintenance, 3);
  sim.BeginTerm();
  sim.owner->SetWave(wave);
  sim.Run(Millis(19000));
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 3);
  EXPECT_EQ(sim.store.Value("status/1"), "finished");
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Both tasks were stopped in one round once there was room: that of the wave
// first, within its step's limit, and that of the draining worker regardless of
// it.
TEST(OwnerTest, AWaveWaitsForTheTasksOfADrainingWorker) {
  FleetSim sim;
  SetUpFleet(&sim, 4);
  sim.Submit(LastingJob(4, 1));
  sim.Run(Millis(1000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 4);
  const std::vector<std::string> ids = sim.fleet.AliveWorkerIds();
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + ids[0]},
                      .ramp_s = 60,
                      .max_at_once = 1});
  sim.fleet.Drain(ids[1]);
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 4);
  for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
  int fewest = 4;
  for (int i = 0; i < 300; ++i) {
    sim.Run(Millis(10));
    fewest = std::min(fewest, sim.fleet.RunningTasks(kJob));
  }
  EXPECT_EQ(fewest, 3);
  EXPECT_TRUE(sim.fleet.Find(ids[0])->running.empty());
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 4);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, WorkersWithoutAnInstanceDoNotDelayTasksAfterATakeOver) {
  FleetSim sim;
  SetUpFleet(&sim, 3);
  sim.Submit(LastingJob(2, 1));
  sim.Run(Millis(300));
  const std::vector<std::string> ids = sim.fleet.AliveWorkerIds();
  sim.owner->Close();
  for (const std::string& id : ids) {
    if (!sim.fleet.Find(id)->running.empty()) {
      sim.fleet.Remove(id);
      break;
    }
  }
  sim.BeginTerm();
  sim.Run(Millis(3500));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, JobsFoundByATakeOverDoNotCountAsNewArrivals) {
  FleetSim sim;
  for (int i = 0; i < 6; ++i) sim.fleet.AddWorker("spare");
  SetUpFleet(&sim, 1);
  // Accepted 5 s ago. What is left of their work needs no further instance;
  // all of it, counted as arrivals of the takeover's first second, would.
  for (int i = 0; i < 4; ++i) {
    JobSpec job =
        FleetSim::MakeJob("00000000000000b" + std::to_string(i), 1, 20000);
    job.accepted_unix_ms -= 5000;
    sim.Submit(job);
  }
  sim.Run(Millis(3000));
  const int moves = sim.fleet.moves;
  sim.BeginTerm();
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.moves, moves);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, EndsOfABurstShareTransactions) {
  FleetSim sim;
  SetUpFleet(&sim, 8);
  for (int i = 0; i < 60; ++i) {
    const std::string id = "00000000000000" + std::to_string(10 + i);
    sim.Submit(FleetSim::MakeJob(id, 1, 600 + 3 * i));
  }
  sim.Run(Millis(600));
  const std::int64_t before = sim.store.commits;
  // All jobs end within this time: ten group commits of 20 ms, each of which
  // needs two transactions at most.
  sim.Run(Millis(200));
  EXPECT_LE(sim.store.commits - before, 2 * 10);
  sim.Run(Millis(300));
  EXPECT_EQ(sim.StateOf("0000000000000069"), JobState::kSucceeded);
}

TEST(OwnerTest, AJobOfferedToAnEarlierOwnerWaitsUntilAllWorkersAreRead) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  JobSpec lasting = LastingJob(2, 1);
  sim.Submit(lasting);
  sim.Run(Millis(300));
  const std::string unresponsive = sim.fleet.AliveWorkerIds().front();
  sim.fleet.Find(unresponsive)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(500));
  // Both are stored after the new owner has loaded its records.
  JobSpec stale = FleetSim::MakeJob("00000000000000b1", 1, 400);
  stale.offered_term = 1;
  sim.Submit(stale);
  sim.Submit(FleetSim::MakeJob("00000000000000b2", 1, 400));
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf("00000000000000b1"), JobState::kQueued);
  EXPECT_EQ(sim.StateOf("00000000000000b2"), JobState::kSucceeded);
  sim.fleet.Find(unresponsive)->fault = SimFault::kNone;
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.StateOf("00000000000000b1"), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(OwnerTest, AnEndReportedAgainIsNotAcknowledgedBeforeItIsStored) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(200));
  std::string worker;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) worker = id;
  }
  // The owner reads the end, and the write of its record takes seconds.
  sim.store.fault = SimFault::kDelayed;
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  // The worker's directory entry expires and returns, so the owner reads the
  // worker again.
  const std::string key = "workers/" + worker;
  const std::string entry = sim.store.Value(key);
  sim.store.Remove(key);
  sim.Run(Millis(200));
  sim.store.Put(key, entry);
  sim.Run(Millis(400));
  // The next owner can learn of the end only from the worker's report.
  sim.store.fault = SimFault::kNone;
  sim.BeginTerm();
  sim.Run(Millis(2000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST(OwnerTest, AWorkspaceNeverRunsMoreThanItsUpperLimit) {
  FleetSim sim;
  sim.catalog.workspaces["team"].cap = {.cpu_millis = 6000};
  SetUpFleet(&sim, 3);
  sim.Submit(FleetSim::MakeJob(kJob, 9, 300));
  for (int i = 0; i < 30; ++i) {
    sim.Run(Millis(50));
    EXPECT_LE(sim.fleet.RunningTasks(kJob), 3);
  }
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

/// A lasting task runs on a worker that does not answer the next owner's first
/// poll and whose directory entry then expires.
class ExpiredEntryTest : public ::testing::Test {
 protected:
  ExpiredEntryTest() {
    SetUpFleet(&sim, 3);
    sim.Submit(LastingJob(1, 1));
    sim.Run(Millis(300));
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (!sim.fleet.Find(id)->running.empty()) worker = id;
    }
    sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
    sim.BeginTerm();
    sim.Run(Millis(100));
    entry = sim.store.Value("workers/" + worker);
    sim.store.Remove("workers/" + worker);
  }

  FleetSim sim;
  std::string worker;
  std::string entry;
};

TEST_F(ExpiredEntryTest, AnUnreadWorkerWhoseEntryExpiresMayStillRunItsTasks) {
  sim.Run(Millis(1500));
  sim.store.Put("workers/" + worker, entry);
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_EQ(sim.fleet.Find(worker)->running.size(), 1U);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(ExpiredEntryTest, AWorkerWhoseEntryStaysAwayIsTakenForGone) {
  sim.fleet.Crash(worker);
  sim.Run(Millis(5500));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// A burst leaves no room in the pool for the whole of the wave's time.
TEST(OwnerTest, AWaveTakesALastingTasksInstanceInTimeUnderABurst) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  sim.Submit(LastingJob(1, 1));
  sim.Run(Millis(1000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  std::string worker;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) worker = id;
  }
  int number = 0;
  const auto burst = [&sim, &number](Millis duration) {
    for (Millis spent{0}; spent < duration; spent += Millis(500)) {
      sim.Submit(FleetSim::MakeJob(
          "00000000000001" + std::to_string(10 + number++), 40, 1000));
      sim.Run(Millis(500));
    }
  };
  burst(Millis(2000));
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + worker},
                      .ramp_s = 10,
                      .max_at_once = 1});
  burst(Millis(10000));
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 1);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// One task of the step may be away at a time, so each eviction waits until the
/// last evicted task is known to be at work.
TEST(OwnerTest, LastingTasksOfAWaveAreEvictedOneSoonAfterTheOther) {
  FleetSim sim;
  sim.fleet.startup = Millis(1100);
  SetUpFleet(&sim, 8);
  sim.Submit(LastingJob(6, 1));
  sim.Run(Millis(3000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 6);
  MaintenanceWave wave = {.number = 1, .ramp_s = 30, .max_at_once = 6};
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) {
      wave.instances.push_back("m-" + id);
    }
  }
  ASSERT_EQ(wave.instances.size(), 6U);
  sim.owner->SetWave(wave);
  Millis spent{0};
  while (sim.store.Value("status/1") != "finished" && spent < Millis(30000)) {
    sim.Run(Millis(100));
    spent += Millis(100);
  }
  // Each eviction may take the stop, the start-up, one short poll and two ticks
  // of the fleet.
  const Millis bound =
      6 * (Millis(100) + sim.fleet.startup + Millis(250) + Millis(200));
  EXPECT_LE(spent, bound);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// A poll may overtake the start and the stop of a run. While ends are not
/// stored, polls are answered at once.
TEST(OwnerTest, ARunCancelledBeforeItsStartIsAnsweredKeepsItsRoom) {
  for (int phase_ms = 300; phase_ms < 600; phase_ms += 5) {
    FleetSim sim;
    sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    sim.Submit(FleetSim::MakeJob("00000000000000c0", 1, 200));
    sim.store.refused_prefixes = {RecordKeys().progress_prefix,
                                  RecordKeys().final_prefix};
    sim.Run(Millis(phase_ms));
    sim.fleet.command_delay = Millis(40);
    const std::string cancelled = "00000000000000c1";
    const std::string waiting = "00000000000000c2";
    sim.Submit(FleetSim::MakeJob(cancelled, 16, 5000));
    sim.Run(Millis(5));
    sim.Submit(FleetSim::MakeJob(waiting, 16, 500));
    sim.Cancel(cancelled);
    sim.Run(Millis(500));
    sim.store.refused_prefixes.clear();
    sim.Run(Millis(4000));
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty()) << phase_ms;
    EXPECT_EQ(sim.StateOf(waiting), JobState::kSucceeded) << phase_ms;
  }
}

}  // namespace
}  // namespace basilusher
