// Guards against bounds of a worker's lease that delay tasks though no order to
// an earlier incarnation can have reached the present one, and against
// conclusions from an incarnation's clock.
#include "HeldCallTest.h"

namespace basilusher {
namespace {

constexpr std::int64_t kHourMs = 3600000;

// Guards against tasks that wait for the longest lease on a worker on which
// none can be longer than usual.
class SettledWorkerTest : public RestartedWorkerLeaseTest {
 protected:
  void RestartLongAgo() {
    sim.Restart(worker, kDowntime);
    sim.fleet.ListIncarnation(worker);
    sim.Run(Millis(12000));
  }

  void RunTaskOnWorker() {
    StartTaskOnWorker();
    AddOther();
  }

  /// The worker falls silent 1 s after the take-over.
  void ExpectRunElsewhereSoon() {
    sim.Run(Millis(1000));
    ASSERT_TRUE(RunsTask(worker));
    Silence();
    sim.Run(Millis(6000));
    EXPECT_TRUE(RunsTask(other));
  }

  void ReplaceOwnerKilledLongAgo() {
    sim.owner->Close();
    sim.Run(Millis(2000));
    sim.BeginTerm();
    sim.owner->NoteEarlierOwnerStopped(std::nullopt);
  }
};

TEST_F(SettledWorkerTest, TheFirstIncarnationAfterAPlannedStop) {
  RunTaskOnWorker();
  ReplaceStoppedOwner();
  ExpectRunElsewhereSoon();
}

TEST_F(SettledWorkerTest, TheFirstIncarnationAfterAKill) {
  RunTaskOnWorker();
  ReplaceOwnerKilledLongAgo();
  ExpectRunElsewhereSoon();
}

TEST_F(SettledWorkerTest, ARestartLongBeforeAPlannedStop) {
  RestartLongAgo();
  RunTaskOnWorker();
  ReplaceStoppedOwner();
  ExpectRunElsewhereSoon();
}

TEST_F(SettledWorkerTest, ARestartLongBeforeAKill) {
  RestartLongAgo();
  RunTaskOnWorker();
  ReplaceOwnerKilledLongAgo();
  ExpectRunElsewhereSoon();
}

// The same if nobody tells that the killed owner gives no leases any more.
TEST_F(SettledWorkerTest, ARestartLongBeforeAKillOfWhichNobodyTells) {
  RestartLongAgo();
  RunTaskOnWorker();
  ReplaceKilledOwner();
  ExpectRunElsewhereSoon();
}

// Guards against conclusions from an incarnation's clock about its age or its
// place among the incarnations: a clock may begin at any reading.
class ClockOfNextIncarnationTest : public RestartedWorkerLeaseTest {
 protected:
  /// The start that is held back is executed by an incarnation whose clock is
  /// ahead of the former one's.
  void RestartAheadAndExecute(std::int64_t ahead_ms) {
    HoldBackStart();
    sim.Restart(worker, kDowntime, kFormerLife.count() + ahead_ms);
    sim.fleet.ReleaseHeldCalls(worker);
  }
};

// The start is late by the new clock: it has no effect, and the task starts
// once.
TEST_F(ClockOfNextIncarnationTest, AStartByAClockThatIsHoursBehindIsRefused) {
  RestartAheadAndExecute(kHourMs);
  EXPECT_EQ(sim.fleet.StartedRuns(), 0);
  ReplaceKilledOwner();
  sim.owner->NoteEarlierOwnerStopped(std::nullopt);
  sim.Run(Millis(2000));
  ExpectOneRunInSilence();
}

// The lease is shorter than the owners count with.
TEST_F(ClockOfNextIncarnationTest, AStartByAClockThatIsBehindHasAShorterLease) {
  RestartAheadAndExecute(2000);
  ASSERT_EQ(sim.fleet.StartedRuns(), 1);
  EXPECT_LT(LeaseEndOf(Worker()) - sim.timers.Now(), Millis(2100));
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  ExpectOneRunInSilence();
}

// The same if the owner goes on: it takes the answer for that of the former
// incarnation, whose clock is earlier.
TEST_F(ClockOfNextIncarnationTest, AStartAnsweredByAClockThatIsAhead) {
  sim.Restart(worker, kDowntime, kFormerLife.count() + 2000);
  SubmitLongTask();
  sim.Run(Millis(20));
  ASSERT_TRUE(RunsTask(worker));
  ExpectOneRunInSilence();
}

// The lease is longer by as much as the new clock is behind, here 3 s of 12 s.
TEST_F(ClockOfNextIncarnationTest, AStartByAClockThatIsAheadHasALongerLease) {
  RestartAheadAndExecute(-3000);
  ASSERT_EQ(sim.fleet.StartedRuns(), 1);
  EXPECT_GT(LeaseEndOf(Worker()) - sim.timers.Now(), Millis(6500));
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  ExpectOneRunInSilence();
}

// The same if the former incarnation's clock began hours ahead, so that its
// reading does not tell how long that incarnation has lived.
TEST_F(ClockOfNextIncarnationTest, APollByAClockThatIsHoursAhead) {
  sim.Restart(worker, kDowntime, kHourMs);
  sim.fleet.ListIncarnation(worker);
  sim.Run(kFormerLife);
  HoldBackPoll();
  RestartAndExecute();
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

}  // namespace
}  // namespace basilusher
