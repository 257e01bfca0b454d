// Guards against tasks that last and are not started again after a disruption:
// a task given up on evidence that may be false, or held back by a worker on
// which it does not run.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
const TaskId kTask{.job = kJob, .occurrence = 0, .step = 0, .index = 0};
/// A lasting task runs again within 9 s of its last run (6 s and 3 s), and
/// within 7 s of the end of the disruption (4 s and 3 s).
constexpr Millis kAfterLastRun{9000};
constexpr Millis kAfterDisruption{7000};
/// Outage of the store in which all leases of runs end, of at most 4.2 s.
constexpr Millis kOutage{5000};
/// A directory entry expires after this much silence.
constexpr Millis kEntryExpiry{4500};
/// A cut lasts for longer than an owner waits for the entry's return.
constexpr Millis kCut{8000};
/// Latest end of a lease of an owner that ended without a word, after the next
/// term's begin: its grace of 8 s, and the longest lease by the owner's clock.
constexpr Millis kEarlierLeases{18300};
/// Time for a start that nothing holds back.
constexpr Millis kPlacement{1000};

class LastingTaskTest : public ::testing::Test {
 protected:
  LastingTaskTest() {
    sim.fleet.ends_on_time = true;
    // Idle workers stay in the pool.
    sim.catalog.pools.erase("spare");
  }

  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  void SubmitLasting(int tasks) {
    JobSpec job = FleetSim::MakeJob(kJob, tasks, 0);
    job.steps[0].lasting = true;
    job.steps[0].max_per_worker = 1;
    sim.Submit(job);
  }

  /// The worker that runs the task; empty if none does.
  std::string WorkerOf(const TaskId& task) {
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (sim.fleet.Find(id)->running.contains(task)) return id;
    }
    return {};
  }

  /// Waits for a start of the task. The owner has seen the run when it returns,
  /// and the run is in its startup phase.
  std::string AwaitStart() {
    for (int i = 0; i < 30000 && WorkerOf(kTask).empty(); ++i) {
      sim.Run(Millis(1));
    }
    EXPECT_NE(WorkerOf(kTask), "") << "the task does not start";
    sim.Run(Millis(20));
    return WorkerOf(kTask);
  }

  /// The worker reaches neither the store nor the owner for a while, and works
  /// on until its leases end. Returns when it is back.
  void CutOff(const std::string& id) {
    const std::string key = "workers/" + id;
    const std::string entry = sim.store.Value(key);
    sim.fleet.Find(id)->fault = SimFault::kRequestLost;
    sim.Run(kEntryExpiry);
    sim.store.Remove(key);
    sim.Run(kCut - kEntryExpiry);
    sim.store.Put(key, entry);
    sim.fleet.Find(id)->fault = SimFault::kNone;
  }

  /// One worker crashes by itself in the task's startup phase, the next one is
  /// cut off in it.
  void CrashAndCutOff() {
    sim.fleet.CrashAndRestart(AwaitStart());
    CutOff(AwaitStart());
  }

  FleetSim sim;
};

TEST_F(LastingTaskTest, ATaskLostInACrashAndInACutRunsAgain) {
  SetUpFleet(4);
  SubmitLasting(1);
  CrashAndCutOff();
  sim.Run(kAfterDisruption);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(LastingTaskTest, ATaskLostInACrashAndInACutRunsAgainUnderALaterOwner) {
  SetUpFleet(4);
  SubmitLasting(1);
  CrashAndCutOff();
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(kAfterDisruption);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Nothing tells this from a task that crashes its workers, and no caller hears
// that such a task was given up.
TEST_F(LastingTaskTest, ATaskWhoseWorkersCrashTwiceInItsStartupRunsAgain) {
  SetUpFleet(4);
  SubmitLasting(1);
  for (int i = 0; i < 2; ++i) {
    sim.fleet.CrashAndRestart(AwaitStart());
  }
  sim.Run(std::max(kAfterLastRun, sim.fleet.restart_delay + kAfterDisruption));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// The owner counts with the longest lease of a worker that has just restarted,
// though its runs have only ever had the usual one.
TEST_F(LastingTaskTest, ATaskOfAWorkerThatDiesSoonAfterItsRestartRunsAgain) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  sim.fleet.restart_delay = Millis(0);
  SetUpFleet(1);
  SubmitLasting(1);
  const std::string worker = AwaitStart();
  sim.Run(Millis(6000));
  sim.fleet.CrashAndRestart(worker);
  sim.Run(Millis(100));
  EXPECT_EQ(AwaitStart(), worker);
  sim.Run(Millis(400));
  sim.fleet.AddWorker("pool");
  sim.fleet.Crash(worker);
  sim.Run(kAfterLastRun);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// A run that has proven harmless takes back what was held against its task,
// however it ends.
TEST_F(LastingTaskTest, CrashesBeforeALongRunThatWasDrainedHoldNoTaskBack) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  sim.fleet.restart_delay = Millis(500);
  SetUpFleet(6);
  SubmitLasting(1);
  for (int i = 0; i < 2; ++i) {
    sim.fleet.CrashAndRestart(AwaitStart());
  }
  const std::string drained = AwaitStart();
  sim.Run(Millis(60000));
  ASSERT_EQ(WorkerOf(kTask), drained);
  sim.fleet.Drain(drained);
  for (int i = 0;
       i < 3000 && (WorkerOf(kTask).empty() || WorkerOf(kTask) == drained);
       ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_NE(WorkerOf(kTask), drained);
  sim.fleet.CrashAndRestart(AwaitStart());
  sim.Run(kAfterLastRun);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Workers that a lasting task crashes return late, and the list of instances
/// does not show the crashes.
class LateReturnTest : public LastingTaskTest {
 protected:
  void ExpectFewStarts(SimFleet::RestartMode mode) {
    sim.fleet.restart_mode = mode;
    sim.fleet.restart_delay = Millis(12000);
    sim.fleet.list_shows_crashes = false;
    sim.fleet.crashing_tasks = {kTask};
    SetUpFleet(6);
    SubmitLasting(1);
    sim.Run(Millis(120000));
    // Two after three crashes.
    EXPECT_LE(sim.fleet.StartsOf(kTask), 5);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }
};

TEST_F(LateReturnTest, ATaskThatCrashesWorkersIsStartedFewTimes) {
  ExpectFewStarts(SimFleet::RestartMode::kSameId);
}

TEST_F(LateReturnTest, ATaskThatCrashesWorkersUnderNewIdsIsStartedFewTimes) {
  ExpectFewStarts(SimFleet::RestartMode::kNewIdNewAddress);
}

/// Tasks on several workers. The owner is killed as an outage of the store
/// begins, and the next one cannot read one of the workers.
class HeldByUnreadWorkerTest : public LastingTaskTest {
 protected:
  static constexpr int kTasks = 3;

  HeldByUnreadWorkerTest() {
    SetUpFleet(kTasks + 1);
    SubmitLasting(kTasks);
    sim.Run(Millis(6000));
    silent = WorkerOf(kTask);
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  }

  /// Returns at the store's return, as the next owner begins.
  void ReplaceKilledOwner() {
    sim.store.fault = SimFault::kRequestLost;
    sim.owner->Close();
    sim.fleet.Find(silent)->fault = SimFault::kRequestLost;
    sim.Run(kOutage);
    sim.store.Remove("workers/" + silent);
    sim.store.fault = SimFault::kNone;
    sim.BeginTerm();
  }

  /// Runs on workers that answer.
  int ReadRuns() {
    int runs = 0;
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (id != silent) {
        runs += static_cast<int>(sim.fleet.Find(id)->running.size());
      }
    }
    return runs;
  }

  std::string silent;
};

TEST_F(HeldByUnreadWorkerTest, ItHoldsNoTaskOfAnotherWorker) {
  ReplaceKilledOwner();
  sim.Run(kAfterDisruption);
  EXPECT_EQ(ReadRuns(), kTasks - 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(HeldByUnreadWorkerTest, ItHoldsItsOwnTaskUntilEarlierLeasesAreOver) {
  SimWorker* worker = sim.fleet.Find(silent);
  // An owner that nobody heard of has renewed its leases.
  worker->lease_ms = (sim.timers.Now() + kOutage + kEarlierLeases -
                      Millis(100) - worker->born_at)
                         .count();
  ReplaceKilledOwner();
  for (int i = 0; i < (kEarlierLeases - Millis(100)) / Millis(100); ++i) {
    sim.Run(Millis(100));
    ASSERT_LE(ReadRuns(), kTasks - 1);
  }
  sim.Run(Millis(100) + kPlacement);
  EXPECT_EQ(ReadRuns(), kTasks);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
