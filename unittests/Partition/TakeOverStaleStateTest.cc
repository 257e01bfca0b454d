// Guards against owners that conclude from missing or stale state, or from that
// of another incarnation, that nothing runs or has ended on a worker or an
// instance.
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

/// A job with at most one task on each worker, which runs until it is
/// cancelled.
JobSpec LastingJob(const std::string& id, int tasks) {
  JobSpec job = FleetSim::MakeJob(id, tasks, 0);
  job.steps[0].lasting = true;
  job.steps[0].max_per_worker = 1;
  return job;
}

std::string WorkerRunning(FleetSim* sim, const std::string& job) {
  for (const std::string& id : sim->fleet.AliveWorkerIds()) {
    for (const auto& [task, run] : sim->fleet.Find(id)->running) {
      if (task.job == job) return id;
    }
  }
  return {};
}

/// A worker was restarted and its directory entry still shows the first
/// incarnation. The second incarnation runs a task; two other workers are idle.
class RestartedWorkerTest : public ::testing::Test {
 protected:
  RestartedWorkerTest() {
    SetUpFleet(&sim, 1);
    worker = sim.fleet.AliveWorkerIds().front();
    sim.Restart(worker, Millis(1000));
    sim.Run(Millis(1500));
    // The owner learns of the new incarnation from its answers.
    sim.Submit(FleetSim::MakeJob(kJob, 1, 6000));
    sim.Run(Millis(500));
    for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
    sim.Run(Millis(300));
  }

  void SetUp() override { ASSERT_EQ(WorkerRunning(&sim, kJob), worker); }
  void TearDown() override {
    EXPECT_EQ(sim.fleet.StartedRuns(), 1);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  FleetSim sim;
  std::string worker;
};

TEST_F(RestartedWorkerTest, AnIncarnationThatTheDirectoryDoesNotShowYetIsRead) {
  sim.BeginTerm();
  sim.Run(Millis(2000));
}

TEST_F(RestartedWorkerTest, AnIncarnationThatOnlyTheDirectoryShowsIsRead) {
  // The next owner lists the entry of the first incarnation; that of the second
  // one is written while the worker does not answer.
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

TEST(TakeOverStaleStateTest,
     ANewIncarnationMayRunTasksStartedBeforeItWasKnown) {
  FleetSim sim;
  SetUpFleet(&sim, 2);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  // The poll in flight fails only when it times out.
  sim.Restart(worker, Millis(20));
  sim.Submit(LastingJob(kJob, 2));
  sim.Run(Millis(100));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 2);
  // The next poll waits for an end and shows the new incarnation a second
  // later.
  sim.Run(Millis(1300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 2);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// A worker's process was restarted at once under its id and has taken a task
/// whose lease was computed from the clock of the incarnation before, so that
/// it lasts as long as the worker allows. The owner has noticed the restart,
/// and the directory shows it.
class LongLeaseTest : public ::testing::Test {
 protected:
  /// Between the limit of the worker and the lease that owners give.
  static constexpr Millis kOwnersLeaseIsOver{6000};

  LongLeaseTest() {
    SetUpFleet(&sim, 1);
    worker = sim.fleet.AliveWorkerIds().front();
    // The clock of the first incarnation is ahead by more than the limit.
    sim.Run(Millis(12000));
    sim.Restart(worker, Millis(20));
    sim.Submit(FleetSim::MakeJob(kJob, 1, 20000));
    sim.Run(Millis(100));
    sim.Run(Millis(1300));
    Json entry = Json::parse(sim.store.Value("workers/" + worker));
    entry["born"] = sim.fleet.Find(worker)->born_at.time_since_epoch().count();
    sim.store.Put("workers/" + worker, entry.dump());
    for (int i = 0; i < 2; ++i) sim.fleet.AddWorker("pool");
    sim.Run(Millis(300));
  }

  void SetUp() override { ASSERT_EQ(WorkerRunning(&sim, kJob), worker); }
  void TearDown() override {
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
    // The worker's limit is over.
    sim.Run(Millis(6000));
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  FleetSim sim;
  std::string worker;
};

// Guards against a duplicate execution: the next owner waited only for the
// lease that owners give.
TEST_F(LongLeaseTest, TheNextOwnerWaitsForTheLongLeaseOfASilentWorker) {
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(kOwnersLeaseIsOver);
}

// The same if the owner before does not say which leases it gave.
TEST_F(LongLeaseTest, TheNextOwnerWaitsForLongLeasesThatItIsNotToldOf) {
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(std::nullopt);
  sim.Run(kOwnersLeaseIsOver);
}

// The same if the worker was read before it fell silent: the lease of the next
// owner does not shorten the earlier one.
TEST_F(LongLeaseTest, ALongLeaseOutlastsThatOfTheNextOwner) {
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(500));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.Run(kOwnersLeaseIsOver);
}

// The same if no earlier owner says which leases it gave.
TEST_F(LongLeaseTest, ALongLeaseThatNobodyToldOfOutlastsThatOfTheNextOwner) {
  sim.BeginTerm();
  sim.Run(Millis(500));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.Run(kOwnersLeaseIsOver);
}

// The same over two changes of the owner.
TEST_F(LongLeaseTest, AnOwnerThatDidNotReadTheWorkerPassesItsLongLeaseOn) {
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  for (int i = 0; i < 2; ++i) {
    sim.BeginTerm();
    sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
    sim.Run(Millis(500));
  }
  sim.store.Remove("workers/" + worker);
  sim.Run(kOwnersLeaseIsOver - Millis(1000));
}

// The same if the worker's directory entry has expired meanwhile.
TEST_F(LongLeaseTest, AWorkerWithALongLeaseAndNoEntryIsNotTakenForGone) {
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.store.Remove("workers/" + worker);
  sim.Run(kOwnersLeaseIsOver);
}

// Guards against a duplicate execution: a call to an earlier incarnation, by an
// owner that is gone, is carried out by the next one. Its lease, computed from
// the earlier clock, outlasts that of the present owner.
TEST(TakeOverStaleStateTest, ALateCallLengthensTheLeaseOfTheNextIncarnation) {
  FleetSim sim;
  sim.fleet.ends_on_time = true;
  SetUpFleet(&sim, 1);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.Run(Millis(12000));
  sim.fleet.Find(worker)->delays_holds = true;
  sim.Run(Millis(1100));
  sim.Restart(worker, Millis(20));
  SimWorker* reborn = sim.fleet.Find(worker);
  reborn->delays_holds = false;
  Json entry = Json::parse(sim.store.Value("workers/" + worker));
  entry["born"] = reborn->born_at.time_since_epoch().count();
  sim.store.Put("workers/" + worker, entry.dump());
  // The next owner reaches the worker after the late call.
  reborn->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(3000));
  reborn->fault = SimFault::kNone;
  sim.Run(Millis(1000));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 20000));
  sim.Run(Millis(300));
  ASSERT_EQ(WorkerRunning(&sim, kJob), worker);
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  reborn->fault = SimFault::kRequestLost;
  sim.Run(Millis(5000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(TakeOverStaleStateTest,
     AStoredEndOfAnEarlierIncarnationAcknowledgesNoLaterEnd) {
  FleetSim sim;
  SetUpFleet(&sim, 1);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.Submit(FleetSim::MakeJob(kJob, 1, 300));
  sim.Run(Millis(100));
  JobSpec wide = FleetSim::MakeJob(kOther, 1, 300);
  wide.steps[0].need.cpu_millis = 32000;
  sim.Submit(wide);
  sim.Run(Millis(150));
  ASSERT_EQ(WorkerRunning(&sim, kJob), worker);
  // The first job's end is number 1 of the worker's first incarnation, and the
  // other job's end is number 1 of its second incarnation. Neither is stored.
  sim.store.refused_prefixes = {RecordKeys().progress_prefix,
                                RecordKeys().final_prefix};
  sim.Run(Millis(200));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  sim.Restart(worker, Millis(600));
  for (int i = 0; i < 3000 && sim.fleet.DoneTasks(kOther) == 0; ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_EQ(sim.fleet.DoneTasks(kOther), 1);
  sim.Run(Millis(50));
  const std::string final_prefix = RecordKeys().final_prefix;
  sim.store.refused_prefixes = {final_prefix + kOther};
  for (int i = 0; i < 2000 && !sim.store.Has(final_prefix + kJob); ++i) {
    sim.Run(Millis(1));
  }
  sim.Run(Millis(10));
  ASSERT_FALSE(sim.store.Has(final_prefix + kOther));
  // The next owner has to learn of the other job's end from the worker.
  sim.BeginTerm();
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Two owners ordered one instance within the time for which an order holds.
TEST(TakeOverStaleStateTest, AnInstanceWithTasksIsNotOrderedRightAfterAnOrder) {
  FleetSim sim;
  sim.catalog.pools["other"] = {.name = "other"};
  sim.catalog.queues["other"] = sim.catalog.queues.at("queue");
  sim.catalog.queues["other"].pool = "other";
  for (int i = 0; i < 4; ++i) sim.fleet.AddWorker("pool");
  Json orders = Json::object();
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    orders["m-" + id] = WallMicros() / 1000;
  }
  sim.store.Put(RecordKeys().orders, orders.dump());
  sim.BeginTerm();
  sim.Run(Millis(300));
  // Short tasks run on each instance, and another pool has none.
  JobSpec job = FleetSim::MakeJob(kJob, 4, 500);
  job.steps[0].max_per_worker = 1;
  sim.Submit(job);
  JobSpec elsewhere = FleetSim::MakeJob(kOther, 32, 4000);
  elsewhere.queue = "other";
  sim.Submit(elsewhere);
  sim.Run(Millis(2500));
  EXPECT_EQ(sim.fleet.moves, 0);
  sim.Run(Millis(3000));
  EXPECT_GT(sim.fleet.moves, 0);
}

TEST(TakeOverStaleStateTest,
     AnInstanceMaintainedBeforeATakeOverIsNotAwaitedTwice) {
  FleetSim sim;
  // Without a spare pool no instance is switched off, so the wave begins with
  // the same instance again.
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
  // The instance is down for maintenance, and this is not stored.
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(2600));
  sim.owner->Close();
  sim.store.fault = SimFault::kNone;
  sim.BeginTerm();
  sim.owner->SetWave(wave);
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.store.Value("status/1"), "finished");
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 1);
  // All four workers take new tasks.
  sim.Submit(LastingJob(kJob, 4));
  sim.Run(Millis(6000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 4);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
