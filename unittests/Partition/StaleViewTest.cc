// What an owner does by knowledge of the store that is old, and when it must
// not take its knowledge for old.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kRunning = "00000000000000a1";
constexpr const char* kWaiting = "00000000000000a2";
constexpr Millis kWatchDelay{9000};
/// cancel_ms and the longest StopTimeoutMs of deployments that have it.
constexpr Millis kGoneAfterCancel{3000 + 900};

/// Nothing changes in the directory and the store answers at once: there is no
/// reason to hold a start back.
TEST(StaleViewTest, AQuietDirectoryHoldsNoStartsBack) {
  for (int phase_ms = 0; phase_ms < 2000; phase_ms += 100) {
    FleetSim sim;
    sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(3000 + phase_ms));
    sim.Submit(FleetSim::MakeJob(kRunning, 1, 1000));
    sim.Run(Millis(150));
    EXPECT_EQ(sim.fleet.RunningTasks(kRunning), 1) << phase_ms;
  }
}

/// A store that is slow, but answers each call within its timeout.
TEST(StaleViewTest, ASlowStoreDoesNotHoldStartsBackForEver) {
  FleetSim sim;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(3000));
  sim.store.watch_delay = Millis(720);
  sim.Run(Millis(4000));
  sim.Submit(FleetSim::MakeJob(kRunning, 1, 10000));
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.fleet.RunningTasks(kRunning), 1);
}

/// An owner that is behind its work also renews its lease late now and then.
TEST(StaleViewTest, ALateRenewalDoesNotReleaseStartsByAnOldView) {
  FleetSim sim;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kRunning, 16, 4000));
  sim.Run(Millis(100));
  sim.Submit(FleetSim::MakeJob(kWaiting, 4, 1000));
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.RunningTasks(kRunning), 16);
  sim.store.watch_delay = kWatchDelay;
  sim.Cancel(kWaiting, /*owner_told=*/false);
  sim.Run(Millis(4500));
  sim.can_confirm_term = false;
  sim.Run(Millis(1700));
  sim.can_confirm_term = true;
  sim.Run(Millis(6000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.fleet.DoneTasks(kWaiting), 0);
}

/// The bound for runs of a cancelled job holds for those that run already.
TEST(StaleViewTest, ARunOfACancelledJobEndsInTimeAtAnOwnerBehindItsInbox) {
  FleetSim sim;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kRunning, 1, 30000));
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.RunningTasks(kRunning), 1);
  sim.store.watch_delay = kWatchDelay;
  sim.Cancel(kRunning, /*owner_told=*/false);
  sim.Run(kGoneAfterCancel);
  EXPECT_EQ(sim.fleet.RunningTasks(kRunning), 0);
}

/// A list may show a cancellation before the job itself is known.
TEST(StaleViewTest, AListedCancellationIsKeptUntilItsJobIsKnown) {
  FleetSim sim;
  sim.store.delayed_prefix = RecordKeys().inbox_prefix;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.store.watch_delay = kWatchDelay;
  JobSpec job = FleetSim::MakeJob(kWaiting, 1, 500);
  sim.Submit(job);
  sim.Cancel(kWaiting, /*owner_told=*/false);
  sim.Run(Millis(2500));
  job.offered_term = 1;
  sim.owner->OfferJob(kWaiting, 1, EncodeJobSpec(job));
  EXPECT_EQ(sim.StateOf(kWaiting), JobState::kCancelled);
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.StateOf(kWaiting), JobState::kCancelled);
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
}

/// Calls to the store have a price, and all nodes share its rate.
TEST(StaleViewTest, CancellationsAreListedOnlyWhileTheInboxIsBehind) {
  FleetSim sim;
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(10000));
  for (int i = 0; i < 100; ++i) {
    const std::string id = "00000000000" + std::to_string(10000 + i);
    sim.Submit(FleetSim::MakeJob(id, 1, 500));
    sim.Run(Millis(30));
    sim.Cancel(id, /*owner_told=*/false);
    sim.Run(Millis(70));
  }
  const int& lists = sim.store.lists[RecordKeys().cancel_prefix];
  EXPECT_EQ(lists, 0);
  sim.store.watch_delay = kWatchDelay;
  sim.Run(Millis(8000));
  EXPECT_GT(lists, 0);
  // Two a second.
  EXPECT_LE(lists, 16);
  sim.store.watch_delay = Millis(0);
  sim.Run(Millis(10000));
  const int before = lists;
  sim.Run(Millis(10000));
  EXPECT_EQ(lists, before);
}

/// Clients are told how many of the queue's accepted jobs have not begun; the
/// number may be 2 s old.
TEST(StaleViewTest, PendingJobsAreNotCountedByAnOldView) {
  FleetSim sim;
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.store.watch_delay = kWatchDelay;
  for (int i = 0; i < 10; ++i) {
    sim.Submit(
        FleetSim::MakeJob("00000000000000b" + std::to_string(i), 1, 500));
  }
  // visible_ms and 2 s.
  sim.Run(Millis(5200));
  const std::optional<int> pending = sim.owner->Pending("queue");
  EXPECT_TRUE(!pending || *pending >= 5);
}

}  // namespace
}  // namespace basilusher
