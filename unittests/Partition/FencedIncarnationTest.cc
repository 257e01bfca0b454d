// Guards against duplicate executions where an owner takes an incarnation of a
// worker for one that executes no order to an earlier incarnation, or holds no
// lease from one, though the evidence for that is missing or stale.
#include "HeldCallTest.h"
#include "basilusher/Partition/WorkerRecord.h"

namespace basilusher {
namespace {

/// The first incarnation's clock is ahead of later ones by more than any lease.
constexpr std::int64_t kFirstClockMs = 1000000;
/// A silent worker is lost after 4.1 s, and its entry stayed away for 2.3 s.
constexpr Millis kDropped{8000};

class FencedIncarnationTest : public HeldCallTest {
 protected:
  FencedIncarnationTest() : HeldCallTest(Millis(30000)) {}

  void BeginFirstTerm() {
    Worker().clock_offset_ms = kFirstClockMs;
    sim.BeginTerm();
    sim.Run(kFormerLife);
  }

  void ReplaceStoppedOwner() {
    sim.owner->Close();
    const EndedTerm ended = sim.owner->DescribeEnd();
    sim.BeginTerm();
    sim.owner->NotePreviousTermEnded(ended);
  }

  /// The next owner learns that the killed one gives no leases any more.
  void ReplaceKilledOwner() {
    sim.owner->Close();
    sim.BeginTerm();
    sim.owner->NoteEarlierOwnerStopped(std::nullopt);
  }
};

// Guards against an owner that takes the second incarnation for the first one:
// the owner before polled the first one with a lease, but its record of workers
// was never stored.
TEST_F(FencedIncarnationTest, AWorkerThatTheLastOwnerCouldNotRecord) {
  Worker().clock_offset_ms = kFirstClockMs;
  sim.store.refused_prefixes = {RecordKeys().workers};
  sim.BeginTerm();
  sim.Run(Millis(100));
  HoldBackPoll();
  sim.Restart(worker, kDowntime);
  // Without a lease in the poll, the call has no effect.
  sim.fleet.ReleaseHeldCalls(worker);
  sim.store.refused_prefixes.clear();
  sim.fleet.ListIncarnation(worker);
  ReplaceKilledOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same if the owner before dropped the worker from the record because its
// entry stayed away. The next incarnation executes a poll 9 s late.
TEST_F(FencedIncarnationTest, AWorkerThatTheLastOwnerDropped) {
  BeginFirstTerm();
  HoldBackPoll();
  Silence();
  sim.store.Remove("workers/" + worker);
  sim.Run(kDropped);
  // Nobody reads the worker any more.
  ASSERT_FALSE(DecodeWorkerRecord(sim.store.Value(RecordKeys().workers))
                   .workers.contains(worker));
  sim.Restart(worker, kDowntime);
  sim.Run(Millis(1000));
  Execute();
  EndSilence();
  sim.fleet.ListIncarnation(worker);
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same under one owner, which remembers the link that it has closed.
TEST_F(FencedIncarnationTest, AWorkerThatTheOwnerDroppedItself) {
  BeginFirstTerm();
  HoldBackPoll();
  Silence();
  sim.store.Remove("workers/" + worker);
  sim.Run(kDropped);
  sim.Restart(worker, kDowntime);
  sim.Run(Millis(1000));
  Execute();
  EndSilence();
  sim.fleet.ListIncarnation(worker);
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// Guards against a bound that counts from a killed owner's end, though a
// restarted worker, which the next owner does not reach, executes the killed
// owner's start later. The directory shows the restart.
TEST_F(FencedIncarnationTest, ALateStartOnAWorkerThatTheNextOwnerDoesNotRead) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  ReplaceKilledOwner();
  AddOther();
  sim.Run(kLate);
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The same where nothing shows the restart: the next owner neither reads the
// worker, nor does the directory list the new incarnation.
TEST_F(FencedIncarnationTest, ALateStartAfterAnUnseenRestartAndAKill) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  ReplaceKilledOwner();
  AddOther();
  sim.Run(kLate);
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The same where nobody tells the next owner that the killed one has ended. It
// counts with leases for 18.2 s.
TEST_F(FencedIncarnationTest, ALateStartAfterAnUnseenRestartAndASilentEnd) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.BeginTerm();
  AddOther();
  sim.Run(Millis(10000));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The same after a planned stop while the task waits for its late start.
TEST_F(FencedIncarnationTest, ALateStartAfterAnUnseenRestartAndAPlannedStop) {
  BeginFirstTerm();
  HoldBackStart();
  AddOther();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.Run(Millis(6000));
  ReplaceStoppedOwner();
  sim.Run(Millis(5000));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(Millis(40000));
  EXPECT_TRUE(RunsTask(other));
}

// The same after a kill while the task waits for its late start.
TEST_F(FencedIncarnationTest, ALateStartThatAKilledOwnerWaitedFor) {
  BeginFirstTerm();
  HoldBackStart();
  AddOther();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.Run(Millis(6000));
  ReplaceKilledOwner();
  sim.Run(Millis(5000));
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(Millis(40000));
  EXPECT_TRUE(RunsTask(other));
}

// The same after a planned stop, of which the next owner is told.
TEST_F(FencedIncarnationTest, ALateStartThatTheNextOwnerIsToldOf) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  ReplaceStoppedOwner();
  AddOther();
  sim.Run(kLate);
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// Guards against an owner that tells the bound of the last restart it noticed,
// though the one noticed before allowed for a late start: that call has timed
// out, and its effect is still possible.
TEST_F(FencedIncarnationTest, ALateStartAfterTwoRestartsAndAPlannedStop) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(1000));
  sim.Restart(worker, kDowntime);
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(500));
  ReplaceStoppedOwner();
  AddOther();
  sim.Run(kLate);
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// The same if the owner ends after the start has timed out, a single restart
// having been noticed before that.
TEST_F(FencedIncarnationTest, ATimedOutStartAfterARestartAndAPlannedStop) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(1000));
  ReplaceStoppedOwner();
  AddOther();
  sim.Run(kLate);
  Execute();
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// Guards against an owner that takes an unread worker for read once the bound
// of a restart that the directory showed is over, though an earlier owner, in
// doubt of its term, goes on to renew the lease of a late start there.
TEST_F(FencedIncarnationTest, ARestartWhileAnEarlierOwnerIsInDoubt) {
  BeginFirstTerm();
  HoldBackStart();
  sim.connections[1]->cut = true;
  sim.BeginTerm(false);
  Worker().unreachable_from_fence = 2000000;
  sim.Run(kBriefly);
  sim.Restart(worker, kDowntime);
  Execute();
  sim.fleet.ListIncarnation(worker);
  AddOther();
  sim.Run(Millis(3000));
  ASSERT_TRUE(RunsTask(worker));
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// Guards against a link that no longer polls: an answer of an incarnation that
// began, by a stepped clock, before the former one is passed over.
TEST_F(FencedIncarnationTest, AnIncarnationWithAnEarlierStartIsRead) {
  BeginFirstTerm();
  sim.Restart(worker, kDowntime);
  Worker().born_at -= Millis(20000);
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(15000));
  SubmitLongTask();
  sim.Run(Millis(3000));
  EXPECT_TRUE(RunsTask(worker));
}

// Guards against a settled clock that is stored for one incarnation and used
// for a later one, which begins after the record was written.
TEST_F(FencedIncarnationTest, ARecordOfTheIncarnationBeforeSettlesNothing) {
  BeginFirstTerm();
  sim.Restart(worker, kDowntime);
  sim.fleet.ListIncarnation(worker);
  sim.Run(kFormerLife);
  HoldBackPoll();
  sim.Restart(worker, kDowntime, 1000000);
  sim.Restart(worker, kDowntime);
  Execute();
  sim.fleet.ListIncarnation(worker);
  ReplaceKilledOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// Guards against an owner that counts with its own lease on a worker that holds
// a longer one of the owner before, whose settings had longer leases.
TEST_F(FencedIncarnationTest, ATermWithShorterLeasesThanTheOneBefore) {
  sim.task_lease = Millis(4000);
  BeginFirstTerm();
  StartTaskOnWorker();
  AddOther();
  sim.task_lease = Millis(2000);
  ReplaceStoppedOwner();
  sim.Run(kBriefly);
  Silence();
  sim.Run(every_bound);
  EXPECT_TRUE(RunsTask(other));
}

// Guards against a loss that is noticed only when an earlier, later bound ends:
// the restarted worker was silent with an unanswered start, has answered since,
// and holds no lease from an earlier clock any more when it falls silent again.
TEST_F(FencedIncarnationTest, AWorkerThatReturnedAfterARestartIsLostInTime) {
  BeginFirstTerm();
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(5000));
  EndSilence();
  sim.Run(Millis(11000));
  ASSERT_TRUE(RunsTask(worker));
  // Otherwise the task waits 5 s for evidence that it has crashed the worker.
  sim.fleet.Drain(worker);
  AddOther();
  Silence();
  sim.Run(Millis(5500));
  EXPECT_TRUE(RunsTask(other));
}

// Guards against a bound that begins anew, without the time for a late start,
// with the second restart: the owner goes on and notices both.
class TwoRestartsTest : public FencedIncarnationTest {
 protected:
  /// Both restarts are noticed; the start times out between them.
  void RestartTwice(bool draining) {
    BeginFirstTerm();
    HoldBackStart();
    AddOther();
    sim.Restart(worker, kDowntime);
    Silence();
    sim.fleet.ListIncarnation(worker);
    sim.Run(Millis(1000));
    sim.Restart(worker, kDowntime);
    if (draining) {
      sim.fleet.Drain(worker);
    } else {
      sim.fleet.ListIncarnation(worker);
    }
  }

  void ExpectOneRunAfter(Millis delay) {
    sim.Run(delay);
    Execute();
    ASSERT_TRUE(RunsTask(worker));
    sim.Run(every_bound);
    EXPECT_TRUE(RunsTask(other));
  }
};

TEST_F(TwoRestartsTest, AStartExecutedLate) {
  RestartTwice(false);
  ExpectOneRunAfter(kLate);
}

TEST_F(TwoRestartsTest, AStartExecutedLateByADrainingWorker) {
  RestartTwice(true);
  ExpectOneRunAfter(kLate);
}

// The same if the start is executed just within the longest delay of a call.
TEST_F(TwoRestartsTest, AStartExecutedVeryLateByADrainingWorker) {
  RestartTwice(true);
  ExpectOneRunAfter(Millis(9500));
}

}  // namespace
}  // namespace basilusher
