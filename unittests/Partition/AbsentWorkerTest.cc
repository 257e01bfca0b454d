// Guards against owners that take a worker without a directory entry for one
// that no longer runs anything. A worker that does not reach the store works
// on, and its runs hold the leases that an owner gave them.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr int kTasks = 4;
constexpr std::int64_t kFencesPerTerm = 1000000;
/// An owner is replaced about this long after its last answer of the store.
constexpr Millis kElection{2000};
/// The entries of workers that reach the store are back this long after an
/// outage.
constexpr Millis kEntryReturnTime{1500};
/// The entry is away for longer than an owner waits for its return.
constexpr Millis kEntryAway{4000};
/// Every lease has ended by then, also one that an owner in doubt of its term
/// gave last.
constexpr Millis kAllLeasesOver{25000};

/// A worker runs the tasks of a job that lasts; another one is idle.
class AbsentWorkerTest : public ::testing::Test {
 protected:
  AbsentWorkerTest() {
    sim.fleet.ends_on_time = true;
    // No instance is moved away.
    sim.catalog.pools.erase("spare");
    absent = sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    JobSpec job = FleetSim::MakeJob(kJob, kTasks, 0);
    job.steps[0].lasting = true;
    sim.Submit(job);
    sim.Run(Millis(300));
    other = sim.fleet.AddWorker("pool");
    sim.Run(Millis(300));
    entry = sim.store.Value("workers/" + absent);
  }

  void TearDown() override {
    sim.Run(kAllLeasesOver);
    Reconnect();
    sim.store.Put("workers/" + absent, entry);
    sim.Run(Millis(1000));
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  /// The entry goes away. The worker and its owner go on.
  void LoseEntry() {
    sim.store.Remove("workers/" + absent);
    sim.Run(kEntryAway);
    ASSERT_EQ(sim.fleet.Find(absent)->running.size(),
              static_cast<std::size_t>(kTasks));
  }

  /// No owner reaches the worker from now on.
  void CutOff() { sim.fleet.Find(absent)->fault = SimFault::kRequestLost; }
  void Reconnect() {
    sim.fleet.Find(absent)->fault = SimFault::kNone;
    sim.fleet.Find(absent)->unreachable_from_fence.reset();
  }

  void BeginTermAfterPlannedStop() {
    sim.BeginTerm();
    sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  }

  FleetSim sim;
  std::string absent;
  std::string other;
  std::string entry;
};

TEST_F(AbsentWorkerTest, ASilentWorkerWithoutAnEntryRunsOnUntilItsLeasesEnd) {
  LoseEntry();
  CutOff();
  BeginTermAfterPlannedStop();
}

TEST_F(AbsentWorkerTest, AnOwnerInDoubtRenewsTheLeasesOfASilentWorker) {
  LoseEntry();
  sim.connections[1]->cut = true;
  sim.fleet.Find(absent)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.Run(kElection);
  sim.BeginTerm(/*close_former=*/false);
}

TEST_F(AbsentWorkerTest, ASecondOwnerReadOnlySomeWorkers) {
  LoseEntry();
  CutOff();
  BeginTermAfterPlannedStop();
  sim.Run(Millis(500));
  BeginTermAfterPlannedStop();
}

TEST_F(AbsentWorkerTest, ASecondOwnerThatReadOnlySomeIsReplacedWithoutAWord) {
  LoseEntry();
  CutOff();
  BeginTermAfterPlannedStop();
  sim.Run(Millis(500));
  sim.BeginTerm();
}

// The second owner forgets the worker and leaves it out of its record, so that
// the third one does not know of it.
TEST_F(AbsentWorkerTest, ASecondOwnerForgetsTheWorker) {
  LoseEntry();
  // A poll renews the leases just before the worker is cut off.
  sim.Run(Millis(300));
  CutOff();
  sim.fleet.Find(other)->fault = SimFault::kRequestLost;
  BeginTermAfterPlannedStop();
  sim.Run(Millis(3300));
  sim.fleet.Find(other)->fault = SimFault::kNone;
  BeginTermAfterPlannedStop();
}

// A start that was computed from the clock of an earlier incarnation has a
// lease of the longest duration.
TEST_F(AbsentWorkerTest, NobodyKnowsTheLongLeasesOfTheEarlierOwner) {
  LoseEntry();
  SimWorker* worker = sim.fleet.Find(absent);
  worker->lease_ms = (sim.timers.Now() - worker->born_at).count() + 10000;
  CutOff();
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(std::nullopt);
}

TEST_F(AbsentWorkerTest, ItReturnsWithoutItsEntryWhileItsLeasesLast) {
  LoseEntry();
  CutOff();
  BeginTermAfterPlannedStop();
  sim.Run(Millis(3500));
  Reconnect();
}

TEST_F(AbsentWorkerTest, ItReturnsWithItsEntryWhileItsLeasesLast) {
  LoseEntry();
  CutOff();
  BeginTermAfterPlannedStop();
  sim.Run(Millis(3500));
  sim.store.Put("workers/" + absent, entry);
  Reconnect();
}

// The store is silent for all until the worker's entry has lapsed like all
// others. The worker is cut off then, and the others' entries return.
TEST_F(AbsentWorkerTest, AllEntriesAreAwayAfterAnOutage) {
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(8000));
  const std::string entry_of_other = sim.store.Value("workers/" + other);
  for (const std::string& id : {absent, other}) {
    sim.store.Remove("workers/" + id);
  }
  CutOff();
  sim.store.fault = SimFault::kNone;
  // The node's lease has ended, and it is elected again.
  BeginTermAfterPlannedStop();
  sim.Run(kEntryReturnTime);
  sim.store.Put("workers/" + other, entry_of_other);
}

/// As in IncompleteStateTest: less than the leases that an owner without a word
/// may give.
constexpr Millis kBriefly{4500};

/// A worker has died and does not return. What it had waits briefly.
class DeadWorkerTest : public AbsentWorkerTest {
 protected:
  void TearDown() override {
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }
};

// Its leases and its entry have lapsed while the earlier owner still worked.
TEST_F(DeadWorkerTest, ItsTasksWaitBrieflyIfItDiedLongBefore) {
  sim.fleet.SetRoom(other, {.cpu_millis = 1000, .memory_mb = 1000});
  sim.fleet.Crash(absent);
  sim.Run(Millis(8000));
  sim.fleet.SetRoom(other, {.cpu_millis = 32000, .memory_mb = 65536});
  sim.BeginTerm();
  sim.Run(kBriefly);
}

// The earlier owner has stopped as planned: its leases last for 4.1 s.
TEST_F(DeadWorkerTest, ItsTasksWaitForItsLeasesAfterAPlannedStop) {
  sim.fleet.Crash(absent);
  BeginTermAfterPlannedStop();
  sim.Run(kBriefly);
}

// The same without an entry.
TEST_F(DeadWorkerTest, ItsTasksWaitForItsLeasesIfItHadNoEntry) {
  LoseEntry();
  sim.fleet.Crash(absent);
  BeginTermAfterPlannedStop();
  sim.Run(kBriefly);
}

}  // namespace
}  // namespace basilusher
