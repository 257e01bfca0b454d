// Guards against duplicate executions after a worker's restart under its id: an
// order whose lease was computed from the clock of the former incarnation is
// executed by the present one, whose runs then hold a lease of up to the
// worker's limit, and an owner counts with a shorter one.
#include "HeldCallTest.h"

namespace basilusher {
namespace {

/// By then the owner has lost a silent worker to which it gave the usual lease.
constexpr Millis kUsualLeaseIsOver{5000};

// The previous owner stops as planned before it notices the restart.

// Guards against an owner that tells no long lease of an unanswered poll.
TEST_F(RestartedWorkerLeaseTest, APollBeforeAPlannedStop) {
  HoldBackPoll();
  RestartAndExecute();
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same if the worker comes back while both runs would last.
TEST_F(RestartedWorkerLeaseTest, APollBeforeAPlannedStopAndAShortSilence) {
  HoldBackPoll();
  RestartAndExecute();
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  AddOther();
  Silence();
  sim.Run(kUsualLeaseIsOver);
  EndSilence();
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.StartsOf(kTask), 1);
}

// Guards against an owner that tells no long lease of an unanswered start.
TEST_F(RestartedWorkerLeaseTest, AStartBeforeAPlannedStop) {
  HoldBackStart();
  RestartAndExecute();
  ReplaceStoppedOwner();
  sim.Run(kBriefly);
  ExpectOneRunInSilence();
}

// The previous owner is killed.

// Guards against an owner that counts with its own lease on a worker that it
// has read, though an earlier owner's, of which nobody told, is longer.
TEST_F(RestartedWorkerLeaseTest, APollBeforeAKill) {
  HoldBackPoll();
  RestartAndExecute();
  ReplaceKilledOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same for a start.
TEST_F(RestartedWorkerLeaseTest, AStartBeforeAKill) {
  HoldBackStart();
  RestartAndExecute();
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  ExpectOneRunInSilence();
}

// The same if the next owner learns, while the worker is silent, that the
// killed one gives no leases any more.
TEST_F(RestartedWorkerLeaseTest, APollBeforeAKillThatIsNoticedInTheSilence) {
  HoldBackPoll();
  RestartAndExecute();
  ReplaceKilledOwner();
  StartTaskOnWorker();
  AddOther();
  Silence();
  sim.Run(Millis(1500));
  sim.owner->NoteEarlierOwnerStopped(std::nullopt);
  sim.Run(kLongSilence - Millis(1500));
}

// The same for a start, and a kill that is noticed at once.
TEST_F(RestartedWorkerLeaseTest, AStartBeforeAKillThatIsNoticedAtOnce) {
  HoldBackStart();
  RestartAndExecute();
  ReplaceKilledOwner();
  sim.owner->NoteEarlierOwnerStopped(std::nullopt);
  sim.Run(kBriefly);
  ExpectOneRunInSilence();
}

// The owner itself goes on.

// Guards against a bound that counts from the notice of the new incarnation,
// though it executes a start by the former clock only later.
TEST_F(RestartedWorkerLeaseTest, AStartExecutedAfterTheRestartWasNoticed) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(kLate);
  Execute();
  ExpectOneRunInSilence();
}

// The same on a worker that drains. Elsewhere, a task that may have crashed a
// worker waits 5 s for evidence, and so for longer than the lease lasts.
TEST_F(RestartedWorkerLeaseTest,
       AStartExecutedAfterTheNoticeByADrainingWorker) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.Drain(worker);
  sim.Run(kLate);
  Execute();
  ExpectOneRunInSilence();
}

// The same if the directory does not show the new incarnation meanwhile.
TEST_F(RestartedWorkerLeaseTest, AStartExecutedBeforeTheRestartWasNoticed) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.Run(kLate);
  Execute();
  ExpectOneRunInSilence();
}

// Guards against a bound that ends with the first answer: the start is executed
// before it, and the worker falls silent after it.
TEST_F(RestartedWorkerLeaseTest, AStartExecutedBeforeTheFirstAnswer) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(kLate);
  Execute();
  EndSilence();
  sim.Run(Millis(1000));
  ExpectOneRunInSilence();
}

// Several owners or restarts within a second.

// Guards against an owner that tells no long lease of a worker that it has only
// just read.
TEST_F(RestartedWorkerLeaseTest, TwoPlannedStopsWithinASecond) {
  HoldBackPoll();
  RestartAndExecute();
  ReplaceStoppedOwner();
  sim.Run(kBriefly);
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same if the owner between did not reach the worker.
TEST_F(RestartedWorkerLeaseTest, AnOwnerBetweenThatDoesNotReadTheWorker) {
  HoldBackPoll();
  RestartAndExecute();
  Silence();
  ReplaceStoppedOwner();
  sim.Run(kBriefly);
  EndSilence();
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same after a kill and a planned stop: the owner between has taken the
// start for its own.
TEST_F(RestartedWorkerLeaseTest, AKillAndAPlannedStopWithinASecond) {
  HoldBackStart();
  RestartAndExecute();
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  ReplaceStoppedOwner();
  sim.Run(kBriefly);
  ExpectOneRunInSilence();
}

// Guards against a bound from the notice of the second incarnation that is told
// for the third one, which executes a call by the clock of the first one later.
TEST_F(RestartedWorkerLeaseTest, TwoRestartsWithinASecondBeforeAPlannedStop) {
  HoldBackPoll();
  sim.Restart(worker, kDowntime);
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(500));
  Silence();
  sim.Restart(worker, kDowntime);
  sim.Run(kLate);
  Execute();
  EndSilence();
  ReplaceStoppedOwner();
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same if the owner goes on and notices both restarts.
TEST_F(RestartedWorkerLeaseTest, TwoRestartsWithinASecond) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(500));
  sim.Restart(worker, kDowntime);
  sim.fleet.ListIncarnation(worker);
  sim.Run(kLate);
  Execute();
  ExpectOneRunInSilence();
}

// The same on a worker that drains, where no evidence is waited for.
TEST_F(RestartedWorkerLeaseTest, TwoRestartsOfADrainingWorkerWithinASecond) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(500));
  sim.Restart(worker, kDowntime);
  sim.fleet.Drain(worker);
  sim.Run(kLate);
  Execute();
  ExpectOneRunInSilence();
}

// Guards against a second restart that makes the owner forget the start that is
// unanswered since before the first one: the bound that it tells counts from
// the notice, and the next owner does not reach the worker.
TEST_F(RestartedWorkerLeaseTest, TwoNoticedRestartsBeforeAPlannedStop) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(500));
  sim.Restart(worker, kDowntime);
  sim.fleet.ListIncarnation(worker);
  sim.Run(Millis(100));
  ReplaceStoppedOwner();
  sim.Run(kLate);
  Execute();
  ExpectOneRunInSilence();
}

// The next owner reads the worker only after the late call.

// Guards against a bound that counts from the former owner's end.
TEST_F(RestartedWorkerLeaseTest, APollExecutedBeforeTheWorkerIsReadLate) {
  HoldBackPoll();
  sim.Restart(worker, kDowntime);
  Silence();
  ReplaceStoppedOwner();
  sim.Run(kLate);
  Execute();
  sim.Run(Millis(1000));
  EndSilence();
  sim.Run(Millis(500));
  StartTaskOnWorker();
  ExpectOneRunInSilence();
}

// The same for a start of an owner that is killed.
TEST_F(RestartedWorkerLeaseTest, AStartExecutedBeforeTheWorkerIsReadLate) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  ReplaceKilledOwner();
  sim.Run(kLate);
  Execute();
  sim.Run(Millis(1000));
  EndSilence();
  sim.Run(Millis(1000));
  ExpectOneRunInSilence();
}

// The same for a start of an owner that tells how its term ended.
TEST_F(RestartedWorkerLeaseTest, AToldStartExecutedBeforeTheWorkerIsReadLate) {
  HoldBackStart();
  sim.Restart(worker, kDowntime);
  Silence();
  ReplaceStoppedOwner();
  sim.Run(kLate);
  Execute();
  sim.Run(Millis(1000));
  EndSilence();
  sim.Run(Millis(1000));
  ExpectOneRunInSilence();
}

}  // namespace
}  // namespace basilusher
