// Tasks under which fewer than two workers have crashed are not given up,
// whatever their workers went through, and innocent suspects hold up no others.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
const TaskId kTask{.job = kJob, .occurrence = 0, .step = 0, .index = 0};
/// Two polls of a silent worker have failed after this time.
constexpr Millis kSilence{1300};
constexpr Resources kFull{.cpu_millis = 32000, .memory_mb = 65536};

class FalseCrashEvidenceTest : public ::testing::Test {
 protected:
  void SetUpFleet(int workers) {
    // Idle workers stay in the pool.
    sim.catalog.pools.erase("spare");
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  /// Waits until a worker with a working path runs the task.
  std::string AwaitStart() {
    for (int i = 0; i < 2000; ++i) {
      for (const std::string& id : sim.fleet.AliveWorkerIds()) {
        SimWorker* worker = sim.fleet.Find(id);
        if (worker->fault == SimFault::kNone &&
            worker->running.contains(kTask)) {
          return id;
        }
      }
      sim.Run(Millis(10));
    }
    ADD_FAILURE() << "the task does not start";
    return {};
  }

  /// No call reaches the worker for a while. It lives on, and the store hears
  /// of it.
  void CutOffBriefly(const std::string& id) {
    sim.Run(Millis(10));
    sim.fleet.Find(id)->fault = SimFault::kRequestLost;
    sim.Run(kSilence);
  }

  void Reconnect() {
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      sim.fleet.Find(id)->fault = SimFault::kNone;
    }
  }

  /// No worker but one has room.
  void LeaveRoomOnlyOn(const std::string& id) {
    for (const std::string& other : sim.fleet.AliveWorkerIds()) {
      sim.fleet.SetRoom(other, other == id ? kFull : Resources{});
    }
    sim.Run(Millis(300));
  }

  FleetSim sim;
};

TEST_F(FalseCrashEvidenceTest, CopiesOnWorkersThatAnswerAgainAreNoEvidence) {
  SetUpFleet(4);
  JobSpec job = FleetSim::MakeJob(kJob, 1, 8000);
  job.steps[0].speculative = true;
  sim.Submit(job);
  CutOffBriefly(AwaitStart());
  CutOffBriefly(AwaitStart());
  AwaitStart();
  Reconnect();
  sim.Run(Millis(1500));
  sim.BeginTerm();
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(FalseCrashEvidenceTest,
       RunsThatEndWhileTheirWorkerIsSilentAreNoEvidence) {
  SetUpFleet(4);
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    sim.fleet.Find(id)->fails_all_tasks = true;
  }
  sim.Submit(FleetSim::MakeJob(kJob, 1, 600));
  CutOffBriefly(AwaitStart());
  Reconnect();
  sim.Run(Millis(800));
  CutOffBriefly(AwaitStart());
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    sim.fleet.Find(id)->fails_all_tasks = false;
  }
  Reconnect();
  sim.Run(Millis(800));
  AwaitStart();
  sim.BeginTerm();
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(FalseCrashEvidenceTest, ManySuspectsDoNotHoldUpOtherJobs) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  SetUpFleet(3);
  sim.Submit(FleetSim::MakeJob(kJob, 30, 4000));
  for (int i = 0; i < 2; ++i) {
    AwaitStart();
    sim.Run(Millis(2500));
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      sim.fleet.CrashAndRestart(id);
    }
    sim.Run(Millis(100));
  }
  sim.Run(Millis(3200));
  const std::string other = "00000000000000b1";
  sim.Submit(FleetSim::MakeJob(other, 12, 600));
  sim.Run(Millis(6000));
  EXPECT_EQ(sim.StateOf(other), JobState::kSucceeded);
  sim.Run(Millis(30000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(FalseCrashEvidenceTest, AGangOfSuspectsStartsOnFewWorkers) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  SetUpFleet(2);
  JobSpec job = FleetSim::MakeJob(kJob, 3, 4000);
  job.steps[0].gang = true;
  sim.Submit(job);
  for (const Millis worked_for : {Millis(100), Millis(2500)}) {
    const std::string id = AwaitStart();
    sim.Run(worked_for);
    sim.fleet.CrashAndRestart(id);
    sim.Run(Millis(100));
  }
  sim.Run(Millis(15000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

TEST_F(FalseCrashEvidenceTest, StartsThatNeverReachedDeadWorkersAreNoEvidence) {
  SetUpFleet(3);
  const std::vector<std::string> ids = sim.fleet.AliveWorkerIds();
  LeaveRoomOnlyOn(ids[0]);
  sim.fleet.CrashAndRestart(ids[0]);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 1000));
  sim.Run(Millis(2700));
  LeaveRoomOnlyOn(ids[1]);
  sim.Run(Millis(190));
  sim.fleet.CrashAndRestart(ids[1]);
  // The worker that replaces the first one has no room either.
  for (int i = 0; i < 60; ++i) {
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (sim.fleet.Find(id)->room.cpu_millis > 0) sim.fleet.SetRoom(id, {});
    }
    sim.Run(Millis(5));
  }
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.fleet.StartsOf(kTask), 1);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// A fault restarts several workers one after the other, and each time the start
// of the task is on its way: it has run nowhere.
TEST_F(FalseCrashEvidenceTest,
       StartsOnTheirWayToRestartedWorkersAreNoEvidence) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  SetUpFleet(3);
  const std::vector<std::string> ids = sim.fleet.AliveWorkerIds();
  for (const std::string& id : ids) sim.fleet.SetRoom(id, {});
  sim.Submit(FleetSim::MakeJob(kJob, 1, 1000));
  for (const std::string& id : ids) {
    sim.fleet.Find(id)->fault = SimFault::kRequestLost;
    LeaveRoomOnlyOn(id);
    sim.fleet.SetRoom(id, {});
    sim.fleet.CrashAndRestart(id);
    sim.Run(sim.fleet.restart_delay + Millis(500));
  }
  for (const std::string& id : ids) sim.fleet.SetRoom(id, kFull);
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.fleet.StartsOf(kTask), 1);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(FalseCrashEvidenceTest,
       CrashesThatTasksBesideItExplainDoNotEndALastingJob) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  SetUpFleet(1);
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  for (int i = 0; i < 4; ++i) {
    AwaitStart();
    sim.Run(Millis(3000));
    const std::string other = "00000000000000b" + std::to_string(i);
    sim.fleet.crashing_tasks = {
        {.job = other, .occurrence = 0, .step = 0, .index = 0}};
    sim.Submit(FleetSim::MakeJob(other, 1, 600));
    sim.Run(Millis(500));
    sim.Cancel(other);
    sim.Run(Millis(200));
  }
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(FalseCrashEvidenceTest,
       AWorkerThatIsCutOffForEightSecondsHasNotCrashed) {
  SetUpFleet(4);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 8000));
  for (int i = 0; i < 2; ++i) {
    const std::string id = AwaitStart();
    const std::string key = "workers/" + id;
    const std::string entry = sim.store.Value(key);
    sim.fleet.Find(id)->fault = SimFault::kRequestLost;
    sim.timers.After(Millis(4500), [this, key] { sim.store.Remove(key); });
    sim.timers.After(Millis(8000), [this, id, key, entry] {
      sim.store.Put(key, entry);
      sim.fleet.Find(id)->fault = SimFault::kNone;
    });
    sim.Run(Millis(4000));
  }
  sim.Run(Millis(30000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(FalseCrashEvidenceTest, AWorkerThatDrainsAndLeavesHasNotCrashed) {
  SetUpFleet(5);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 20000));
  for (int i = 0; i < 2; ++i) {
    const std::string id = AwaitStart();
    CutOffBriefly(id);
    sim.fleet.Drain(id);
    sim.timers.After(Millis(1500), [this, id] { sim.fleet.Remove(id); });
    sim.Run(Millis(3000));
  }
  AwaitStart();
  sim.Run(Millis(300));
  sim.BeginTerm();
  sim.Run(Millis(40000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
