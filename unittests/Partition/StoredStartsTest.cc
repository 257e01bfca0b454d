// Guards against a killed owner whose successor holds every lasting task back
// for one silent worker, and against starts of lasting tasks that the store
// does not know of.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000a2";
/// Time without an owner in which every lease lapses.
constexpr Millis kLeasesLapse{6000};
/// A worker is read, and a start is stored and sent.
constexpr Millis kBriefly{1000};
/// An owner that gave no word may renew leases for 8 s, and the longest lasts
/// 10.2 s more.
constexpr Millis kEarlierLeases{18200};

class StoredStartsTest : public ::testing::Test {
 protected:
  StoredStartsTest() {
    sim.fleet.ends_on_time = true;
    // No instance is moved away.
    sim.catalog.pools.erase("spare");
  }

  void TearDown() override {
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  /// Begins the first term with `workers` workers and a lasting job of `tasks`
  /// tasks, at most one on each worker.
  void SetUpJob(int workers, int tasks) {
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    sim.Submit(LastingJob(tasks));
    sim.Run(kBriefly);
    ASSERT_EQ(Running(), tasks);
  }

  static JobSpec LastingJob(int tasks) {
    JobSpec job = FleetSim::MakeJob(kJob, tasks, 0);
    job.steps[0].lasting = true;
    job.steps[0].max_per_worker = 1;
    return job;
  }

  /// The owner is killed and all leases lapse before the next term.
  void ReplaceKilledOwner() {
    sim.owner->Close();
    sim.Run(kLeasesLapse);
    ASSERT_EQ(Running(), 0);
    sim.BeginTerm();
  }

  /// The worker that runs the first task of the job.
  std::string WorkerOfFirstTask() {
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (sim.fleet.Find(id)->running.contains({.job = kJob})) return id;
    }
    return "";
  }

  /// Runs of the job that have not lapsed. The fleet keeps those on a worker
  /// that nobody calls.
  int Running() {
    int count = 0;
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      const SimWorker& worker = *sim.fleet.Find(id);
      if (worker.born_at + Millis(worker.lease_ms) < sim.timers.Now()) continue;
      count += static_cast<int>(worker.running.size());
    }
    return count;
  }

  void Silence(const std::string& worker) {
    sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  }

  std::string ProgressKey() const {
    return RecordKeys().progress_prefix + kJob;
  }

  Json StoredProgress() const {
    return DecodeCbor(sim.store.Value(ProgressKey()));
  }

  void StoreProgress(const Json& progress) {
    std::string bytes;
    Json::to_cbor(progress, bytes);
    sim.store.Put(ProgressKey(), bytes);
  }

  /// Workers of the first task by the stored progress.
  std::vector<std::string> StoredWorkers() const {
    const Json progress = StoredProgress();
    for (const Json& row : progress.at("w").at(1)) {
      if (row.at(2) == 0) return row.at(3).get<std::vector<std::string>>();
    }
    return {};
  }

  /// No task starts until the leases of a killed owner are over; all do then.
  void ExpectWaitForBound(int tasks) {
    sim.Run(kEarlierLeases - kBriefly);
    EXPECT_EQ(Running(), 0);
    sim.Run(2 * kBriefly);
    EXPECT_EQ(Running(), tasks);
  }

  FleetSim sim;
};

TEST_F(StoredStartsTest, ASilentWorkerHoldsOnlyItsOwnTasksBack) {
  SetUpJob(/*workers=*/4, /*tasks=*/3);
  Silence(WorkerOfFirstTask());
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), 2);
  sim.Run(kEarlierLeases - 2 * kBriefly);
  EXPECT_EQ(Running(), 2);
  sim.Run(2 * kBriefly);
  EXPECT_EQ(Running(), 3);
}

// The silent worker still has its run when the owner is replaced at once.
TEST_F(StoredStartsTest, ATaskOfASilentWorkerRunsThereUntilItsLeaseEnds) {
  SetUpJob(/*workers=*/3, /*tasks=*/1);
  const std::string worker = WorkerOfFirstTask();
  Silence(worker);
  sim.BeginTerm();
  sim.Run(Millis(2000));
  EXPECT_EQ(sim.fleet.Find(worker)->running.size(), 1U);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
  sim.Run(kEarlierLeases);
  EXPECT_EQ(Running(), 1);
}

TEST_F(StoredStartsTest, AJobThatNeverStartedDoesNotWaitForASilentWorker) {
  sim.fleet.AddWorker("pool");
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.store.refused_prefixes = {RecordKeys().progress_prefix};
  sim.Submit(LastingJob(1));
  sim.Run(kBriefly);
  sim.store.refused_prefixes.clear();
  Silence("w0");
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), 1);
}

TEST_F(StoredStartsTest, AStartIsNotSentBeforeItIsStored) {
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.store.refused_prefixes = {RecordKeys().progress_prefix};
  sim.Submit(LastingJob(1));
  JobSpec other = FleetSim::MakeJob(kOther, 1, 100);
  other.steps[0].need = sim.fleet.Find("w0")->room;
  sim.Submit(other);
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.fleet.StartsOf({.job = kJob}), 0);
  // The task that waits does not keep the worker's room.
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  sim.store.refused_prefixes.clear();
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), 1);
}

TEST_F(StoredStartsTest, AnOwnerIsReplacedBetweenTheStoreAndTheStart) {
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(LastingJob(1));
  while (!sim.store.Has(ProgressKey())) sim.Run(Millis(1));
  ASSERT_EQ(sim.fleet.StartedRuns(), 0);
  sim.fleet.AddWorker("pool");
  // A call of the killed owner may be under way to the worker.
  Silence("w0");
  sim.owner->Close();
  sim.BeginTerm();
  ExpectWaitForBound(1);
}

TEST_F(StoredStartsTest, ARecordOfTheEarlierVersionNamesNoWorkers) {
  SetUpJob(/*workers=*/3, /*tasks=*/2);
  Silence(WorkerOfFirstTask());
  Json progress = StoredProgress();
  progress.erase("w");
  StoreProgress(progress);
  ReplaceKilledOwner();
  ExpectWaitForBound(2);
}

// An owner of the earlier version, which does not store starts, had the term
// between.
TEST_F(StoredStartsTest, ARecordFromBeforeAnEarlierVersionsTermIsIncomplete) {
  SetUpJob(/*workers=*/3, /*tasks=*/2);
  Silence(WorkerOfFirstTask());
  sim.starts_stored_since = 2;
  ReplaceKilledOwner();
  ExpectWaitForBound(2);
}

TEST_F(StoredStartsTest, ARecordOfTheEarlierVersionIsCompletedOnceAllAreRead) {
  SetUpJob(/*workers=*/4, /*tasks=*/2);
  const std::vector<std::string> workers = StoredWorkers();
  Json progress = StoredProgress();
  progress.erase("w");
  StoreProgress(progress);
  sim.starts_stored_since = 2;
  sim.BeginTerm();
  sim.Run(kBriefly);
  EXPECT_EQ(StoredWorkers(), workers);
  Silence(WorkerOfFirstTask());
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), 1);
}

TEST_F(StoredStartsTest, ARecordIsCompletedThoughASilentWorkerIsNeverRead) {
  SetUpJob(/*workers=*/3, /*tasks=*/2);
  const std::vector<std::string> workers = StoredWorkers();
  Json progress = StoredProgress();
  progress.erase("w");
  StoreProgress(progress);
  sim.starts_stored_since = 2;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (sim.fleet.Find(id)->running.empty()) Silence(id);
  }
  sim.BeginTerm();
  sim.Run(kEarlierLeases + kBriefly);
  ASSERT_TRUE(StoredProgress().contains("w"));
  EXPECT_EQ(StoredWorkers(), workers);
}

TEST_F(StoredStartsTest, AnAdoptedRunOnAnotherWorkerIsStored) {
  SetUpJob(/*workers=*/3, /*tasks=*/1);
  const std::string worker = WorkerOfFirstTask();
  Json progress = StoredProgress();
  progress["w"][1] = Json::array();
  StoreProgress(progress);
  sim.BeginTerm();
  sim.Run(kBriefly);
  ASSERT_EQ(WorkerOfFirstTask(), worker);
  EXPECT_THAT(StoredWorkers(), testing::ElementsAre(worker));
  Silence(worker);
  ReplaceKilledOwner();
  ExpectWaitForBound(1);
}

TEST_F(StoredStartsTest, ATaskDoesNotWaitForAWorkerThatItHasLeft) {
  SetUpJob(/*workers=*/3, /*tasks=*/1);
  const std::string left = WorkerOfFirstTask();
  sim.fleet.Drain(left);
  sim.Run(Millis(2000));
  ASSERT_NE(WorkerOfFirstTask(), left);
  EXPECT_THAT(StoredWorkers(), testing::ElementsAre(WorkerOfFirstTask()));
  Silence(left);
  ReplaceKilledOwner();
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), 1);
}

// The worker is lost to an owner in doubt of its term, and a successor may
// renew the lease of the run there.
TEST_F(StoredStartsTest, AWorkerThatIsLostInDoubtStaysStored) {
  SetUpJob(/*workers=*/3, /*tasks=*/1);
  const std::string worker = WorkerOfFirstTask();
  sim.connections[1]->cut = true;
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.Run(kLeasesLapse);
  EXPECT_THAT(StoredWorkers(), testing::ElementsAre(worker));
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
}

TEST_F(StoredStartsTest, ALastingTaskIsNotEvictedWhileNoStartCanBeStored) {
  SetUpJob(/*workers=*/1, /*tasks=*/1);
  const std::string worker = WorkerOfFirstTask();
  const std::string next = sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  // The other worker has no room until its task ends.
  JobSpec other = FleetSim::MakeJob(kOther, 1, 3000);
  other.steps[0].need = sim.fleet.Find(next)->room;
  sim.Submit(other);
  sim.Run(Millis(300));
  ASSERT_FALSE(sim.fleet.Find(next)->running.empty());
  sim.fleet.Drain(worker);
  sim.Run(Millis(300));
  sim.store.fault = SimFault::kRequestLost;
  sim.Run(Millis(6000));
  EXPECT_EQ(sim.fleet.DoneTasks(kOther), 1);
  EXPECT_EQ(Running(), 1);
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(2000));
  EXPECT_EQ(WorkerOfFirstTask(), next);
}

// A start of an owner that told how its term ended is carried out late by the
// worker's next incarnation, with a lease computed from the earlier clock.
TEST_F(StoredStartsTest, ALateStartOnTheNextIncarnationOutlastsAnEndedTerm) {
  const std::string late = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(12000));
  sim.fleet.Find(late)->fault = SimFault::kDelayed;
  sim.Submit(LastingJob(1));
  sim.Run(Millis(200));
  ASSERT_EQ(sim.fleet.StartedRuns(), 0);
  sim.Restart(late, Millis(20));
  sim.owner->Close();
  const EndedTerm ended = sim.owner->DescribeEnd();
  Silence(late);
  const std::string other = sim.fleet.AddWorker("pool");
  sim.Run(kLeasesLapse);
  ASSERT_EQ(sim.fleet.Find(late)->running.size(), 1U);
  sim.BeginTerm();
  sim.owner->NotePreviousTermEnded(Aged(ended, kLeasesLapse));
  sim.Run(kEarlierLeases + kBriefly);
  EXPECT_TRUE(sim.fleet.Find(other)->running.contains({.job = kJob}));
}

TEST_F(StoredStartsTest, StartsOfManyTasksShareWrites) {
  constexpr int kTasks = 100;
  for (int i = 0; i < 10; ++i) sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  JobSpec job = LastingJob(kTasks);
  job.steps[0].max_per_worker = 0;
  sim.Submit(job);
  const std::int64_t commits = sim.store.commits;
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), kTasks);
  RecordProperty("commits", static_cast<int>(sim.store.commits - commits));
  RecordProperty("record_bytes",
                 static_cast<int>(sim.store.Value(ProgressKey()).size()));
  EXPECT_LE(sim.store.commits - commits, kTasks / 10);
}

TEST_F(StoredStartsTest, StartsOfManyJobsShareWrites) {
  constexpr int kJobs = 100;
  for (int i = 0; i < 10; ++i) sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  JobSpec job = LastingJob(1);
  for (int i = 0; i < kJobs; ++i) {
    job.id = "000000000000b" + std::to_string(100 + i);
    sim.Submit(job);
  }
  const std::int64_t commits = sim.store.commits;
  sim.Run(kBriefly);
  EXPECT_EQ(Running(), kJobs);
  RecordProperty("commits", static_cast<int>(sim.store.commits - commits));
  EXPECT_LE(sim.store.commits - commits, kJobs / 10);
}

}  // namespace
}  // namespace basilusher
