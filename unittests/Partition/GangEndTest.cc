// Room of a gang's members once the end of one of them has ended the gang.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kGang = "00000000000000a1";
constexpr const char* kWaiting = "00000000000000a2";
constexpr const char* kOther = "00000000000000a3";
/// Number of tasks of MakeJob() that one worker has room for.
constexpr int kTasksPerWorker = 16;

class GangEndTest : public ::testing::Test {
 protected:
  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  void SubmitGang(int tasks, std::int64_t ms) {
    JobSpec job = FleetSim::MakeJob(kGang, tasks, ms);
    job.steps[0].gang = true;
    sim.Submit(job);
    sim.Run(Millis(100));
    ASSERT_EQ(sim.fleet.RunningTasks(kGang), tasks);
  }

  /// The worker's answers are lost until its leases have nearly expired.
  SimWorker* FallSilent(const std::string& id) {
    SimWorker* worker = sim.fleet.Find(id);
    worker->fault = SimFault::kAnswerLost;
    sim.Run(Millis(4000));
    return worker;
  }

  void AwaitGang() {
    for (int i = 0; i < 20 && sim.fleet.RunningTasks(kGang) == 0; ++i) {
      sim.Run(Millis(100));
    }
  }

  FleetSim sim;
};

/// A worker falls silent, and its gang starts again on two others once the
/// leases have expired. Then the worker is back and lists that the first run
/// was done.
TEST_F(GangEndTest, ALateEndOfAnEarlierRunDoesNotFreeTheRoomOfThePresentRun) {
  SetUpFleet(1);
  SubmitGang(8, 3000);
  SimWorker* silent = FallSilent("w0");
  const SimWorker* first = sim.fleet.Find(sim.fleet.AddWorker("pool"));
  const SimWorker* second = sim.fleet.Find(sim.fleet.AddWorker("pool"));
  JobSpec other = FleetSim::MakeJob(kOther, 2 * (kTasksPerWorker - 4), 9000);
  other.steps[0].max_per_worker = kTasksPerWorker - 4;
  sim.Submit(other);
  AwaitGang();
  ASSERT_EQ(first->running.size(), kTasksPerWorker);
  ASSERT_EQ(second->running.size(), kTasksPerWorker);
  sim.Submit(FleetSim::MakeJob(kWaiting, 2 * kTasksPerWorker, 9000));
  sim.Run(Millis(100));
  silent->fault = SimFault::kNone;
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kGang), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.RunningTasks(kWaiting), kTasksPerWorker + 8);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(GangEndTest, TheRoomOfAMemberIsNotFreeBeforeItsWorkerListsItsEnd) {
  SetUpFleet(2);
  SubmitGang(kTasksPerWorker + 4, 500);
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    SimWorker* worker = sim.fleet.Find(id);
    worker->hangs = worker->running.size() == 4;
  }
  sim.Submit(FleetSim::MakeJob(kWaiting, 3 * kTasksPerWorker, 5000));
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kGang), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.RunningTasks(kWaiting), 2 * kTasksPerWorker);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// The runs that are being stopped still count towards the workspace's limit.
TEST_F(GangEndTest, ALateEndOfAnEarlierRunDoesNotFreeTheWorkspacesShare) {
  constexpr int kMaxTasks = 3;
  sim.catalog.workspaces["team"].cap = {.cpu_millis =
                                            std::int64_t{2000} * kMaxTasks};
  SetUpFleet(1);
  SubmitGang(2, 3000);
  SimWorker* silent = FallSilent("w0");
  sim.fleet.AddWorker("pool");
  AwaitGang();
  ASSERT_EQ(sim.fleet.RunningTasks(kGang), 2);
  sim.Submit(FleetSim::MakeJob(kWaiting, kMaxTasks, 9000));
  sim.Run(Millis(100));
  silent->fault = SimFault::kNone;
  int most = 0;
  for (int i = 0; i < 2000; ++i) {
    sim.Run(Millis(1));
    most = std::max(
        most, sim.fleet.RunningTasks(kGang) + sim.fleet.RunningTasks(kWaiting));
  }
  EXPECT_EQ(most, kMaxTasks);
  EXPECT_EQ(sim.fleet.RunningTasks(kWaiting), kMaxTasks);
}

/// After a crash each member has the checkpoint that its worker last reported.
TEST_F(GangEndTest, AllMembersResumeFromOneCheckpoint) {
  SetUpFleet(2);
  SubmitGang(kTasksPerWorker + 4, 3000);
  int number = 0;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    for (auto& [task, run] : sim.fleet.Find(id)->running) {
      run.checkpoint = "checkpoint-" + std::to_string(++number);
    }
  }
  sim.Run(Millis(1200));
  sim.fleet.restart_mode = SimFleet::RestartMode::kSameId;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    sim.fleet.CrashAndRestart(id);
  }
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.StateOf(kGang), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
