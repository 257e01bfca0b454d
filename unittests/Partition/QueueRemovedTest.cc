// Guards against decisions about a job by a configuration that, for some time,
// does not have its queue.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr std::int64_t kTaskMs = 400;

/// A job runs when a configuration without its queue comes into force.
class QueueRemovedTest : public ::testing::Test {
 protected:
  void Begin(const JobSpec& job, int attempts) {
    sim.catalog.queues.at("queue").max_attempts = attempts;
    for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    sim.Submit(job);
    sim.Run(Millis(200));
    RemoveQueue();
  }

  void Apply() {
    ++sim.catalog.version;
    sim.owner->SetCatalog(std::make_shared<Catalog>(sim.catalog));
  }

  void RemoveQueue() {
    queue = sim.catalog.queues.at("queue");
    sim.catalog.queues.clear();
    Apply();
  }

  void RestoreQueue() {
    sim.catalog.queues["queue"] = queue;
    Apply();
  }

  /// Lets every run fail that starts from now on, or none.
  void FailRuns(bool fail) {
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      sim.fleet.Find(id)->fails_all_tasks = fail;
      for (auto& [task, run] : sim.fleet.Find(id)->running) {
        run.kind = fail ? EndKind::kFailed : EndKind::kDone;
      }
    }
  }

  void TearDown() override {
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  FleetSim sim;
  QueueConfig queue;
};

// The job was shown as failed after one of three attempts.
TEST_F(QueueRemovedTest, ARunThatFailsMeanwhileIsRetriedOnceTheQueueIsBack) {
  Begin(FleetSim::MakeJob(kJob, 1, kTaskMs), /*attempts=*/3);
  FailRuns(true);
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  FailRuns(false);
  RestoreQueue();
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 2);
}

TEST_F(QueueRemovedTest, ARunThatFailsMeanwhileCountsAsAnAttempt) {
  Begin(FleetSim::MakeJob(kJob, 1, kTaskMs), /*attempts=*/1);
  FailRuns(true);
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  RestoreQueue();
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
}

TEST_F(QueueRemovedTest, TheNextOwnerKnowsOfTheAttemptsThatFailedMeanwhile) {
  Begin(FleetSim::MakeJob(kJob, 1, kTaskMs), /*attempts=*/1);
  FailRuns(true);
  sim.Run(Millis(1000));
  sim.BeginTerm();
  sim.Run(Millis(500));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kRunning);
  sim.catalog.queues["queue"] = queue;
  sim.BeginTerm();
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kFailed);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
}

// A workspace without a configuration counted as one without a limit.
TEST_F(QueueRemovedTest, AWorkspaceKeepsItsLimitWhileItIsNotConfigured) {
  JobSpec job = FleetSim::MakeJob(kJob, 6, kTaskMs);
  sim.catalog.workspaces.at("team").cap = {.cpu_millis = 4000};
  Begin(job, /*attempts=*/3);
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 2);
  sim.catalog.workspaces.clear();
  RestoreQueue();
  for (int i = 0; i < 200; ++i) {
    sim.Run(Millis(10));
    ASSERT_LE(sim.fleet.RunningTasks(kJob), 2);
  }
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

// It was stopped to run elsewhere, and nothing starts without the queue.
TEST_F(QueueRemovedTest, ALastingTaskIsNotEvictedMeanwhile) {
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  Begin(job, /*attempts=*/3);
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) sim.fleet.Drain(id);
  }
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  RestoreQueue();
  sim.Run(Millis(1500));
  EXPECT_EQ(sim.fleet.StartedRuns(), 2);
}

}  // namespace
}  // namespace basilusher
