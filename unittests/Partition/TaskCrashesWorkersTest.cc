// Guards against a task that crashes each worker that starts it: it must not
// take the fleet down, and the tasks beside it must end.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
const TaskId kCrashing{.job = kJob, .occurrence = 0, .step = 0, .index = 0};
/// A room that has shrunk counts `StableWindowMs` and one heartbeat later.
constexpr Millis kRoomCounts{4500};
/// Workers that one task may crash.
constexpr int kMaxStarts = 3;

std::string InnocentJob(int number) {
  return "00000000000000b" + std::to_string(number);
}

class TaskCrashesWorkersTest : public ::testing::Test {
 protected:
  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    sim.fleet.crashing_tasks = {kCrashing};
  }

  void AwaitStart() {
    for (int i = 0; i < 3000 && sim.fleet.StartsOf(kCrashing) == 0; ++i) {
      sim.Run(Millis(10));
    }
    ASSERT_EQ(sim.fleet.StartsOf(kCrashing), 1);
  }

  void ExpectGivenUp() {
    EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
    EXPECT_GE(sim.fleet.StartsOf(kCrashing), 2);
    EXPECT_LE(sim.fleet.StartsOf(kCrashing), kMaxStarts);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  /// Runs until the store knows of a start of the task after `run` and returns
  /// that run, with its worker; zero if that takes over ten seconds. The owner
  /// has not sent the start then, as the store has not answered it yet.
  std::pair<std::int64_t, std::string> RunToStoredStart(const JobSpec& spec,
                                                        std::int64_t run) {
    for (int i = 0; i < 10000; ++i) {
      sim.Run(Millis(1));
      const std::string bytes =
          sim.store.Value(RecordKeys().progress_prefix + spec.id);
      if (bytes.empty()) continue;
      JobTable stored;
      DecodeProgress(bytes, stored.Add(spec, TimePoint{}));
      const CrashEvidence& crashes = stored.FindTask(kCrashing)->crashes;
      if (crashes.unconfirmed.empty()) continue;
      const auto& [last, row] = *crashes.unconfirmed.rbegin();
      if (last > run) return {last, row.worker};
    }
    return {};
  }

  FleetSim sim;
};

TEST_F(TaskCrashesWorkersTest, ATaskThatCrashesEachWorkerIsGivenUp) {
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(60000));
  ExpectGivenUp();
}

TEST_F(TaskCrashesWorkersTest, WorkersThatReturnUnderTheirIdsCountAsCrashed) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(60000));
  ExpectGivenUp();
}

TEST_F(TaskCrashesWorkersTest, WorkersThatReturnElsewhereCountAsCrashed) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kNewIdNewAddress;
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(90000));
  ExpectGivenUp();
}

TEST_F(TaskCrashesWorkersTest, ATakeOverBetweenCrashesKeepsTheCount) {
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 3, 400));
  while (sim.fleet.StartsOf(kCrashing) < 2) sim.Run(Millis(10));
  sim.Run(Millis(100));
  sim.BeginTerm();
  sim.Run(Millis(60000));
  ExpectGivenUp();
}

TEST_F(TaskCrashesWorkersTest, OwnersReplacedAsTheyStartASuspectKeepTheCount) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 3, 400));
  for (int starts = 2; starts < 12; ++starts) {
    for (int i = 0; i < 2000 && sim.fleet.StartsOf(kCrashing) < starts; ++i) {
      sim.Run(Millis(10));
    }
    sim.BeginTerm();
  }
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, AStartThatWasNotSentIsNoCrashOfALivingWorker) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  sim.fleet.restart_delay = Millis(20);
  SetUpFleet(1);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(50));
  sim.fleet.CrashAndRestart(sim.fleet.AliveWorkerIds().front());
  const auto [run, worker] = RunToStoredStart(lasting, 0);
  ASSERT_GT(run, 0);
  ASSERT_EQ(sim.fleet.StartsOf(kCrashing), 1);
  sim.BeginTerm();
  // Without the wait for a confirmation of a crash.
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.fleet.StartsOf(kCrashing), 2);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, StartsThatWereNotSentFailNoJob) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  sim.fleet.restart_delay = Millis(20);
  SetUpFleet(3);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(50));
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) sim.fleet.CrashAndRestart(id);
  }
  std::int64_t last_run = 0;
  for (int i = 0; i < 2; ++i) {
    const auto [run, worker] = RunToStoredStart(lasting, last_run);
    ASSERT_GT(run, last_run);
    last_run = run;
    sim.BeginTerm();
    sim.fleet.CrashAndRestart(worker);
  }
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.StartsOf(kCrashing), 2);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, ATaskThatCrashesLateIsGivenUp) {
  sim.fleet.crash_delay = Millis(3000);
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 5000));
  sim.Run(Millis(90000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, ATaskThatCrashesWorkersAfterSecondsIsGivenUp) {
  sim.fleet.crash_delay = Millis(6500);
  SetUpFleet(3);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 9000));
  sim.Run(Millis(120000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, ThreeCrashesOfAgedRunsDoNotGiveATaskUp) {
  sim.fleet.crash_delay = Millis(6500);
  SetUpFleet(6);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 9000));
  for (int i = 0; i < 9000 && sim.fleet.StartsOf(kCrashing) < 4; ++i) {
    sim.Run(Millis(10));
  }
  ASSERT_EQ(sim.fleet.StartsOf(kCrashing), 4);
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, AMemberOfAGangThatCrashesWorkersIsGivenUp) {
  SetUpFleet(6);
  JobSpec job = FleetSim::MakeJob(kJob, 3, 400);
  job.steps[0].gang = true;
  job.steps[0].max_per_worker = 1;
  sim.Submit(job);
  sim.Run(Millis(60000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_LE(sim.fleet.StartsOf(kCrashing), kMaxStarts);
}

TEST_F(TaskCrashesWorkersTest, ALastingTaskThatCrashesWorkersIsGivenUp) {
  SetUpFleet(6);
  JobSpec job = FleetSim::MakeJob(kJob, 3, 0);
  job.steps[0].lasting = true;
  job.steps[0].max_per_worker = 1;
  sim.Submit(job);
  sim.Run(Millis(60000));
  EXPECT_GE(sim.fleet.StartsOf(kCrashing), 2);
  EXPECT_LE(sim.fleet.StartsOf(kCrashing), kMaxStarts);
  // The step's availability limit holds for the other two.
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
  sim.BeginTerm();
  sim.Run(Millis(20000));
  EXPECT_LE(sim.fleet.StartsOf(kCrashing), kMaxStarts);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
  sim.Cancel(kJob);
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kCancelled);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 0);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, ASpeculativeTaskThatCrashesWorkersIsGivenUp) {
  SetUpFleet(6);
  JobSpec job = FleetSim::MakeJob(kJob, 4, 400);
  job.steps[0].speculative = true;
  sim.Submit(job);
  sim.Run(Millis(60000));
  ExpectGivenUp();
}

TEST_F(TaskCrashesWorkersTest, AStartWhoseAnswerIsLostCounts) {
  SetUpFleet(6);
  sim.fleet.crash_delay = Millis(0);
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    sim.fleet.Find(id)->fault = SimFault::kAnswerLost;
  }
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(60000));
  ExpectGivenUp();
}

TEST_F(TaskCrashesWorkersTest, TasksBesideItEndInTime) {
  SetUpFleet(5);
  sim.Submit(FleetSim::MakeJob(kJob, 3, 400));
  for (int i = 0; i < 6; ++i) {
    sim.Submit(FleetSim::MakeJob(InnocentJob(i), 8, 1000));
  }
  sim.Run(Millis(15000));
  ExpectGivenUp();
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(sim.StateOf(InnocentJob(i)), JobState::kSucceeded) << i;
  }
}

TEST_F(TaskCrashesWorkersTest, TwoOfThemDoNotFailTheJobsBesideThem) {
  SetUpFleet(6);
  const std::string second = "00000000000000a2";
  sim.fleet.crashing_tasks.insert(
      {.job = second, .occurrence = 0, .step = 0, .index = 1});
  JobSpec lasting = FleetSim::MakeJob("00000000000000c1", 6, 0);
  lasting.steps[0].lasting = true;
  lasting.steps[0].max_per_worker = 1;
  sim.Submit(lasting);
  sim.Run(Millis(3000));
  sim.Submit(FleetSim::MakeJob(kJob, 3, 400));
  sim.Submit(FleetSim::MakeJob(second, 3, 400));
  for (int i = 0; i < 8; ++i) {
    sim.Submit(FleetSim::MakeJob(InnocentJob(i), 8, 600));
    sim.Run(Millis(250));
  }
  sim.Run(Millis(30000));
  ExpectGivenUp();
  EXPECT_EQ(sim.StateOf(second), JobState::kFailed);
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(sim.StateOf(InnocentJob(i)), JobState::kSucceeded) << i;
  }
  EXPECT_EQ(sim.fleet.RunningTasks("00000000000000c1"), 6);
}

TEST_F(TaskCrashesWorkersTest, ALastingTaskBesideThemIsNotGivenUp) {
  SetUpFleet(6);
  sim.fleet.crashing_tasks.clear();
  const std::string lasting_id = "00000000000000c1";
  JobSpec lasting = FleetSim::MakeJob(lasting_id, 6, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(2000));
  for (int i = 0; i < 12; ++i) {
    const std::string job = "0000000000000" + std::to_string(100 + i);
    sim.fleet.crashing_tasks.insert(
        {.job = job, .occurrence = 0, .step = 0, .index = 0});
    sim.Submit(FleetSim::MakeJob(job, 3, 400));
    sim.Run(Millis(1500));
  }
  sim.Run(Millis(30000));
  EXPECT_EQ(sim.fleet.RunningTasks(lasting_id), 6);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, TwoCrashesStopNoTasksThatMustStayAvailable) {
  SetUpFleet(6);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 3, 0);
  lasting.steps[0].lasting = true;
  lasting.steps[0].max_per_worker = 1;
  lasting.steps[0].max_unavailable = 1;
  sim.Submit(lasting);
  sim.Run(Millis(6000));
  for (int crashes = 0; crashes < 3; ++crashes) {
    for (int i = 0; i < 3000 && sim.fleet.RunningTasks(kJob) < 3; ++i) {
      sim.Run(Millis(10));
    }
    ASSERT_EQ(sim.fleet.RunningTasks(kJob), 3);
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (sim.fleet.Find(id)->running.contains(kCrashing)) {
        sim.fleet.CrashAndRestart(id);
      }
    }
  }
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 3);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, AStartThatFindsItsWorkerCrashedIsNoCrash) {
  SetUpFleet(1);
  sim.fleet.crashing_tasks.clear();
  sim.fleet.CrashAndRestart(sim.fleet.AliveWorkerIds().front());
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  AwaitStart();
  sim.fleet.CrashAndRestart(sim.fleet.AliveWorkerIds().front());
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest,
       AStartThatNobodyAnsweredIsNoCrashForALaterOwner) {
  SetUpFleet(1);
  sim.fleet.crashing_tasks.clear();
  sim.fleet.CrashAndRestart(sim.fleet.AliveWorkerIds().front());
  sim.Submit(FleetSim::MakeJob(kJob, 1, 400));
  sim.Run(Millis(1500));
  sim.BeginTerm();
  AwaitStart();
  sim.fleet.CrashAndRestart(sim.fleet.AliveWorkerIds().front());
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, WorkersThatCrashByThemselvesFailNoJob) {
  SetUpFleet(6);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 4, 0);
  lasting.steps[0].lasting = true;
  lasting.steps[0].max_per_worker = 1;
  sim.Submit(lasting);
  for (int i = 0; i < 6; ++i) {
    sim.Run(Millis(10000));
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (!sim.fleet.Find(id)->running.empty()) sim.fleet.CrashAndRestart(id);
    }
  }
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 4);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, ARunAtFullSpeedIsNotStartingUpForANewOwner) {
  SetUpFleet(6);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  for (int i = 0; i < 2; ++i) {
    sim.Run(Millis(10000));
    ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
    sim.BeginTerm();
    sim.Run(Millis(20));
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (!sim.fleet.Find(id)->running.empty()) sim.fleet.CrashAndRestart(id);
    }
  }
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, OneWorkerThatRestartsTwiceFailsNoJob) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  sim.fleet.restart_delay = Millis(20);
  SetUpFleet(1);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  for (int crashes = 0; crashes < 2; ++crashes) {
    for (int i = 0; i < 3000 && sim.fleet.RunningTasks(kJob) == 0; ++i) {
      sim.Run(Millis(10));
    }
    ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
    sim.fleet.CrashAndRestart(sim.fleet.AliveWorkerIds().front());
  }
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, ASuspectAvoidsTheWorkerOfItsLastCrash) {
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  sim.fleet.restart_delay = Millis(20);
  SetUpFleet(2);
  sim.fleet.crashing_tasks.clear();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  // Late in the startup phase, so that the start is no longer a recent one.
  sim.Run(Millis(280));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  std::string crashed;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) crashed = id;
  }
  sim.fleet.CrashAndRestart(crashed);
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_TRUE(sim.fleet.Find(crashed)->running.empty());
}

TEST_F(TaskCrashesWorkersTest, AWorkerWhoseRoomHasShrunkGetsNoStartOverIt) {
  SetUpFleet(1);
  sim.fleet.crashing_tasks.clear();
  sim.Submit(FleetSim::MakeJob(kJob, 6, 1000));
  sim.Run(Millis(300));
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.fleet.SetRoom(worker, {.cpu_millis = 8000, .memory_mb = 65536});
  sim.Run(Millis(500));
  for (int i = 0; i < 3; ++i) {
    sim.Submit(FleetSim::MakeJob(InnocentJob(i), 4, 600));
  }
  sim.Run(Millis(6000));
  sim.fleet.SetRoom(worker, {.cpu_millis = 32000, .memory_mb = 65536});
  sim.Submit(FleetSim::MakeJob(InnocentJob(3), 12, 600));
  sim.Run(Millis(3000));
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(sim.StateOf(InnocentJob(i)), JobState::kSucceeded) << i;
  }
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskCrashesWorkersTest, AnOwnerCutOffFromTheStoreKeepsToAShrunkRoom) {
  SetUpFleet(1);
  sim.fleet.crashing_tasks.clear();
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  for (int i = 0; i < 10; ++i) {
    sim.Submit(FleetSim::MakeJob(InnocentJob(i), 24, 900));
  }
  sim.Run(Millis(100));
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(50));
  sim.fleet.SetRoom(worker, {.cpu_millis = 8000, .memory_mb = 65536});
  const std::int64_t counts_from_ms =
      (sim.timers.Now() + kRoomCounts).time_since_epoch().count();
  sim.Run(Millis(7000));
  for (const std::string& violation : sim.fleet.Violations()) {
    EXPECT_LT(std::stoll(violation), counts_from_ms) << violation;
  }
}

}  // namespace
}  // namespace basilusher
