// An owner whose event loop has been late, since its process was paused or has
// more work than its node carries.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kRunning = "00000000000000a1";
constexpr const char* kWaiting = "00000000000000a2";

/// One worker that `kRunning` fills, and `kWaiting` behind it.
void SetUpBacklog(FleetSim* sim) {
  sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
  sim->Submit(FleetSim::MakeJob(kRunning, 16, 1000));
  sim->Run(Millis(100));
  sim->Submit(FleetSim::MakeJob(kWaiting, 4, 1000));
  sim->Run(Millis(400));
  ASSERT_EQ(sim->fleet.RunningTasks(kRunning), 16);
}

/// After a pause, reports of workers come before the answer of the store that
/// brings a cancellation of seconds ago.
TEST(LateLoopTest, NothingStartsBeforeCancellationsOfThePauseAreKnown) {
  FleetSim sim;
  SetUpBacklog(&sim);
  sim.store.watch_delay = Millis(300);
  sim.Cancel(kWaiting, /*owner_told=*/false);
  sim.timers.Stall(Millis(4000));
  sim.Run(Millis(3000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.StateOf(kWaiting), JobState::kCancelled);
}

/// The same while the renewal of the term has not been answered either: the
/// store then looks silent.
TEST(LateLoopTest, NothingStartsAfterAPauseBeforeTheTermIsConfirmed) {
  FleetSim sim;
  SetUpBacklog(&sim);
  sim.store.watch_delay = Millis(300);
  sim.Cancel(kWaiting, /*owner_told=*/false);
  sim.can_confirm_term = false;
  sim.timers.Stall(Millis(4000));
  sim.Run(Millis(500));
  sim.can_confirm_term = true;
  sim.Run(Millis(2500));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.StateOf(kWaiting), JobState::kCancelled);
}

TEST(LateLoopTest, WorkGoesOnAfterAPause) {
  FleetSim sim;
  SetUpBacklog(&sim);
  sim.timers.Stall(Millis(2000));
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kWaiting), JobState::kSucceeded);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// The store does not answer this node: the owner goes on, as without a pause.
TEST(LateLoopTest, ASilentStoreHoldsStartsBackForAShortTimeOnly) {
  FleetSim sim;
  SetUpBacklog(&sim);
  sim.store.fault = SimFault::kRequestLost;
  sim.timers.Stall(Millis(2000));
  sim.Run(Millis(2500));
  EXPECT_GT(sim.fleet.RunningTasks(kWaiting) + sim.fleet.DoneTasks(kWaiting),
            0);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
