// What an owner must not conclude from information that is missing, old or of
// another life: that nothing runs, or has ended, at a worker or an instance.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000b2";

void SetUpFleet(FleetSim* sim, int workers) {
  for (int i = 0; i < workers; ++i) sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
}

/// One task on each worker, for as long as the job is not cancelled.
JobSpec LastingJob(const std::string& id, int tasks) {
  JobSpec job = FleetSim::MakeJob(id, tasks, 0);
  job.steps[0].lasting = true;
  job.steps[0].max_per_worker = 1;
  return job;
}

/// The worker's process ends and begins again under its id after `away`. Its
/// entry in the directory stays as it is.
void Restart(FleetSim* sim, const std::string& id, Millis away) {
  SimWorker* worker = sim->fleet.Find(id);
  worker->alive = false;
  worker->running.clear();
  worker->ended.clear();
  worker->highest_run.clear();
  sim->Run(away);
  worker->alive = true;
  worker->fence = 0;
  worker->lease_ms = 0;
  worker->last_end_number = 0;
  worker->born_at = sim->timers.Now();
}

std::string HolderOf(FleetSim* sim, const std::string& job) {
  for (const std::string& id : sim->fleet.AliveWorkerIds()) {
    for (const auto& [task, run] : sim->fleet.Find(id)->running) {
      if (task.job == job) return id;
    }
  }
  return {};
}

/// A worker whose process has begun again while its entry in the directory
/// shows the first life. The second life has a task, and two others have none.
class RestartedWorkerTest : public ::testing::Test {
 protected:
  RestartedWorkerTest() {
    SetUpFleet(&sim, 1);
    worker = sim.fleet.AliveWorkerIds().front();
    Restart(&sim, worker, Millis(1000));
    sim.Run(Millis(1500));
    // The owner knows of the new life by its answers.
    sim.Submit(FleetSim::MakeJob(kJob, 1, 6000));
    sim.Run(Millis(500));
    for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
    sim.Run(Millis(300));
  }

  void SetUp() override { ASSERT_EQ(HolderOf(&sim, kJob), worker); }
  void TearDown() override {
    EXPECT_EQ(sim.fleet.StartedRuns(), 1);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  FleetSim sim;
  std::string worker;
};

TEST_F(RestartedWorkerTest, ALifeThatTheDirectoryDoesNotShowYetIsRead) {
  sim.BeginTerm();
  sim.Run(Millis(2000));
}

TEST_F(RestartedWorkerTest, ALifeThatOnlyTheDirectoryShowsIsRead) {
  // The next owner lists the entry of the first life; the entry of the second
  // comes while the worker does not answer.
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(100));
  Json entry = Json::parse(sim.store.Value("workers/" + worker));
  entry["born"] = sim.fleet.Find(worker)->born_at.time_since_epoch().count();
  sim.store.Put("workers/" + worker, entry.dump());
  sim.Run(Millis(1000));
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(2000));
}

TEST(TakeOverStaleStateTest, ANewLifeMayRunWhatWasOrderedBeforeItWasKnown) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  // The look that is under way fails only with its timeout.
  Restart(&sim, worker, Millis(20));
  sim.Submit(LastingJob(kJob, 2));
  sim.Run(Millis(100));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 2);
  // The look after it waits for an end and shows the new life a second later.
  sim.Run(Millis(1300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(TakeOverStaleStateTest, AStoredEndOfAnEarlierLifeAcknowledgesNoLaterEnd) {
  FleetSim sim;
  SetUpFleet(&sim, 1);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.Submit(FleetSim::MakeJob(kJob, 1, 300));
  sim.Run(Millis(100));
  JobSpec wide = FleetSim::MakeJob(kOther, 1, 300);
  wide.steps[0].need.cpu_millis = 32000;
  sim.Submit(wide);
  sim.Run(Millis(150));
  ASSERT_EQ(HolderOf(&sim, kJob), worker);
  // The first job's end is the first of the worker's first life, and the other
  // job's end is the first of its second life. Neither is stored.
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(200));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  Restart(&sim, worker, Millis(600));
  for (int i = 0; i < 3000 && sim.fleet.DoneTasks(kOther) == 0; ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_EQ(sim.fleet.DoneTasks(kOther), 1);
  sim.Run(Millis(50));
  sim.store.fault = SimFault::kNone;
  const std::string final_prefix = RecordKeys().final_prefix;
  for (int i = 0; i < 2000 && !sim.store.Has(final_prefix + kJob); ++i) {
    sim.Run(Millis(1));
  }
  sim.Run(Millis(10));
  ASSERT_FALSE(sim.store.Has(final_prefix + kOther));
  // The next owner has to learn of the other job's end from the worker.
  sim.BeginTerm();
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(TakeOverStaleStateTest,
     AnInstanceMaintainedBeforeATakeOverIsNotWaitedForASecondTime) {
  FleetSim sim;
  // No instance sleeps meanwhile: the maintained one comes first again.
  sim.catalog.pools.erase("spare");
  for (int i = 0; i < 4; ++i) sim.fleet.AddWorker("pool");
  const std::vector<std::string> ids = sim.fleet.AliveWorkerIds();
  const MaintenanceWave wave = {
      .number = 1,
      .instances = {"m-" + ids[0], "m-" + ids[1], "m-" + ids[2]},
      .ramp_s = 30,
      .max_at_once = 1};
  sim.BeginTerm();
  sim.owner->SetWave(wave);
  for (int i = 0; i < 5000 && sim.fleet.peak_in_maintenance == 0; ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_EQ(sim.fleet.peak_in_maintenance, 1);
  // The instance is down for its maintenance, and that is not stored.
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(2600));
  sim.owner->Close();
  sim.store.fault = SimFault::kNone;
  sim.BeginTerm();
  sim.owner->SetWave(wave);
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.store.Value("status/1"), "finished");
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 1);
  // All four workers take work.
  sim.Submit(LastingJob(kJob, 4));
  sim.Run(Millis(6000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 4);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
