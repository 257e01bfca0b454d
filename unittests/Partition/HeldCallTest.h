// Fixtures of tests in which a call to a worker's process is executed by its
// next one.
#ifndef BASILUSHER_UNITTESTS_PARTITION_HELDCALLTEST_H_
#define BASILUSHER_UNITTESTS_PARTITION_HELDCALLTEST_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

#include "FleetSim.h"

namespace basilusher {

inline constexpr const char* kJob = "00000000000000a1";
inline const TaskId kTask{.job = kJob, .occurrence = 0, .step = 0, .index = 0};
/// Longer than any lease: how far the former incarnation's clock is ahead.
inline constexpr Millis kFormerLife{12000};
/// A worker is read, and a task is placed and started.
inline constexpr Millis kBriefly{300};
inline constexpr Millis kDowntime{20};
/// Shorter than the limit of the worker, 10 s, by what precedes the silence.
inline constexpr Millis kLongSilence{9000};
/// How late a call may be executed.
inline constexpr Millis kLate{2500};

/// One worker, calls to which can be held back and executed later, and one
/// task.
class HeldCallTest : public ::testing::Test {
 protected:
  /// `every_bound` is longer than every bound that an owner assumes.
  explicit HeldCallTest(Millis every_bound) : every_bound(every_bound) {
    // No instance is moved away.
    sim.catalog.pools.erase("spare");
    sim.fleet.ends_on_time = true;
    worker = sim.fleet.AddWorker("pool");
  }

  void TearDown() override {
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  SimWorker& Worker() { return *sim.fleet.Find(worker); }
  bool RunsTask(const std::string& id) {
    return sim.fleet.Find(id)->running.contains(kTask);
  }
  void SubmitLongTask() { sim.Submit(FleetSim::MakeJob(kJob, 1, 100000)); }
  void Silence() { Worker().fault = SimFault::kRequestLost; }
  void EndSilence() { Worker().fault = SimFault::kNone; }

  /// Holds the next poll back; later ones reach the worker.
  void HoldBackPoll() {
    Worker().holds_back_polls = true;
    AwaitHeldCall();
    Worker().holds_back_polls = false;
  }

  /// Submits the task and holds its start back.
  void HoldBackStart() {
    Worker().holds_back_starts = true;
    SubmitLongTask();
    AwaitHeldCall();
    Worker().holds_back_starts = false;
  }

  void AwaitHeldCall() {
    for (int i = 0; i < 1500 && sim.fleet.HeldCalls(worker) == 0; ++i) {
      sim.Run(Millis(1));
    }
    ASSERT_EQ(sim.fleet.HeldCalls(worker), 1U);
  }

  /// The present incarnation executes the call that is held back, and its lease
  /// becomes the longest.
  void Execute() {
    sim.fleet.ReleaseHeldCalls(worker);
    ASSERT_GT(LeaseEndOf(Worker()) - sim.timers.Now(), Millis(9900));
  }

  void StartTaskOnWorker() {
    sim.Run(kBriefly);
    SubmitLongTask();
    sim.Run(kBriefly);
    ASSERT_TRUE(RunsTask(worker));
  }

  void AddOther() {
    other = sim.fleet.AddWorker("pool");
    sim.Run(kBriefly);
  }

  /// The worker is silent for good from now on; the task may not start
  /// elsewhere before the worker has ended it, and starts there some time.
  void ExpectOneRunInSilence() {
    ASSERT_TRUE(RunsTask(worker));
    AddOther();
    Silence();
    sim.Run(kLongSilence);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
    sim.Run(every_bound);
    EXPECT_TRUE(RunsTask(other));
  }

  FleetSim sim;
  std::string worker;
  std::string other;
  Millis every_bound;
};

/// An owner has read the worker's first incarnation, long ago.
class RestartedWorkerLeaseTest : public HeldCallTest {
 protected:
  /// Longer than 8 s of an earlier owner that gave no word, and a lease of
  /// 10.2 s, from a time up to 6 s before.
  RestartedWorkerLeaseTest() : HeldCallTest(Millis(20000)) {
    sim.BeginTerm();
    sim.Run(kFormerLife);
  }

  /// The call that is held back is executed by the next incarnation, of which
  /// the owner has not learnt, before the owner's call times out.
  void RestartAndExecute() {
    sim.Restart(worker, kDowntime);
    Execute();
  }

  void ReplaceStoppedOwner() {
    sim.owner->Close();
    const EndedTerm ended = sim.owner->DescribeEnd();
    sim.fleet.ListIncarnation(worker);
    sim.BeginTerm();
    sim.owner->NotePreviousTermEnded(ended);
  }

  /// Nobody tells the next owner anything.
  void ReplaceKilledOwner() {
    sim.owner->Close();
    sim.fleet.ListIncarnation(worker);
    sim.BeginTerm();
  }

  /// Adds a worker, after the task has got its place.
  void AddOther() {
    ASSERT_TRUE(RunsTask(worker));
    HeldCallTest::AddOther();
  }
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_PARTITION_HELDCALLTEST_H_
