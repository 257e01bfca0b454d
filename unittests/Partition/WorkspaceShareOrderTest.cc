// Order of an owner's jobs while one workspace sends more than its share.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kCalmJob = "00000000000000c1";
/// Jobs of the hot workspace. With a weight of one job a second, the first two
/// are within its share.
constexpr int kHotJobs = 12;
constexpr int kHotJobsWithinShare = 2;
constexpr std::int64_t kTaskMs = 300;

std::string HotJob(int i) {
  const std::string digits = std::to_string(100 + i);
  return "0000000000000" + digits;
}

/// A fleet of one worker that runs one task at a time.
void SetUpFullPool(FleetSim* sim) {
  sim->catalog.workspaces["hot"] = {.name = "hot", .weight = 1.0};
  sim->catalog.workspaces["calm"] = {.name = "calm", .weight = 1.0};
  sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
}

/// A job of one task that fills a worker.
JobSpec WholeWorkerJob(const std::string& id, const std::string& workspace) {
  JobSpec job = FleetSim::MakeJob(id, 1, kTaskMs);
  job.workspace = workspace;
  job.steps[0].need = SimWorker().room;
  return job;
}

void SubmitHotJobs(FleetSim* sim) {
  for (int i = 0; i < kHotJobs; ++i) {
    sim->Submit(WholeWorkerJob(HotJob(i), "hot"));
  }
  sim->Run(Millis(100));
}

/// Hot jobs that are done when the calm job, sent after all of them, is done.
int HotJobsDoneBeforeCalm(FleetSim* sim) {
  for (int i = 0; i < 200 && sim->StateOf(kCalmJob) != JobState::kSucceeded;
       ++i) {
    sim->Run(Millis(50));
  }
  int done = 0;
  for (int i = 0; i < kHotJobs; ++i) {
    done += sim->StateOf(HotJob(i)) == JobState::kSucceeded ? 1 : 0;
  }
  return done;
}

TEST(WorkspaceShareOrderTest, AJobWithinItsShareGoesBeforeTheExcessOfAnother) {
  FleetSim sim;
  sim.workspace_shares = true;
  SetUpFullPool(&sim);
  SubmitHotJobs(&sim);
  sim.Submit(WholeWorkerJob(kCalmJob, "calm"));
  EXPECT_LE(HotJobsDoneBeforeCalm(&sim), kHotJobsWithinShare + 1);
  sim.Run(Millis(8000));
  // The excess is served after the rest; nothing is dropped.
  EXPECT_EQ(HotJobsDoneBeforeCalm(&sim), kHotJobs);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(WorkspaceShareOrderTest, TheOrderIsUnchangedWhileTheSettingIsOff) {
  FleetSim sim;
  SetUpFullPool(&sim);
  SubmitHotJobs(&sim);
  sim.Submit(WholeWorkerJob(kCalmJob, "calm"));
  EXPECT_GT(HotJobsDoneBeforeCalm(&sim), kHotJobsWithinShare + 1);
}

// A new owner knows the jobs only by their records.
TEST(WorkspaceShareOrderTest, TheShareHoldsAfterATakeOver) {
  FleetSim sim;
  sim.workspace_shares = true;
  SetUpFullPool(&sim);
  SubmitHotJobs(&sim);
  sim.Submit(WholeWorkerJob(kCalmJob, "calm"));
  sim.BeginTerm();
  sim.Run(Millis(100));
  EXPECT_LE(HotJobsDoneBeforeCalm(&sim), kHotJobsWithinShare + 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
