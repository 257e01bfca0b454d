// An owner whose view of the store is old although the store answers it, since
// its node has more work than it carries.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kRunning = "00000000000000a1";
constexpr const char* kWaiting = "00000000000000a2";
/// As seen on a node of 0.12 core.
constexpr Millis kWatchDelay{9000};

/// One worker that `kRunning` fills for 4 s, and `kWaiting` behind it. From now
/// on each answer of a watch takes `kWatchDelay`.
void SetUpSlowWatch(FleetSim* sim) {
  sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
  sim->Submit(FleetSim::MakeJob(kRunning, 16, 4000));
  sim->Run(Millis(100));
  sim->Submit(FleetSim::MakeJob(kWaiting, 4, 1000));
  sim->Run(Millis(400));
  ASSERT_EQ(sim->fleet.RunningTasks(kRunning), 16);
  sim->store.watch_delay = kWatchDelay;
}

TEST(InboxBehindTest, ACancelledJobIsNotStartedByAnOwnerBehindItsInbox) {
  FleetSim sim;
  SetUpSlowWatch(&sim);
  sim.Cancel(kWaiting, /*owner_told=*/false);
  sim.Run(Millis(14000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.fleet.DoneTasks(kWaiting), 0);
}

/// A job may be offered to the owner long after it was accepted and cancelled.
TEST(InboxBehindTest, AJobOfferedLateIsNotStartedBeforeItsCancellationIsKnown) {
  FleetSim sim;
  SetUpSlowWatch(&sim);
  const std::string late = "00000000000000a3";
  JobSpec job = FleetSim::MakeJob(late, 2, 500);
  sim.Submit(job);
  sim.Cancel(late, /*owner_told=*/false);
  sim.Run(Millis(4500));
  job.offered_term = 1;
  sim.owner->OfferJob(late, 1, EncodeJobSpec(job));
  sim.Run(Millis(12000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.fleet.DoneTasks(late), 0);
}

TEST(InboxBehindTest, ADrainingWorkerGetsNoTaskFromAnOwnerBehindTheDirectory) {
  FleetSim sim;
  sim.store.delayed_prefix = sim.formats.WorkerPrefix();
  SetUpSlowWatch(&sim);
  sim.fleet.Drain("w0");
  sim.Run(Millis(14000));
  EXPECT_EQ(sim.fleet.DoneTasks(kRunning), 16);
  EXPECT_EQ(sim.fleet.DoneTasks(kWaiting), 0);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(InboxBehindTest, WorkGoesOnOnceTheInboxIsRead) {
  FleetSim sim;
  SetUpSlowWatch(&sim);
  sim.Run(Millis(6000));
  EXPECT_EQ(sim.fleet.DoneTasks(kWaiting), 0);
  sim.store.watch_delay = Millis(0);
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.StateOf(kWaiting), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
