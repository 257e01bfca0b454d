// Guards against owners that act on incomplete or stale state as if it were
// complete: on jobs that they do not know yet, workers that they have not fully
// read, earlier incarnations of a worker, and owners before the previous one.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000a2";
constexpr std::int64_t kFencesPerTerm = 1000000;
/// cancel_ms and the longest StopTimeoutMs of deployments that have it.
constexpr Millis kGoneAfterCancel{3000 + 900};

class IncompleteStateTest : public ::testing::Test {
 protected:
  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) {
      sim.fleet.AddWorker("pool");
    }
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  std::string WorkerRunning(const std::string& job = kJob) {
    std::string worker;
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      for (const auto& [task, run] : sim.fleet.Find(id)->running) {
        if (task.job == job) worker = id;
      }
    }
    return worker;
  }

  std::string ExpireEntry(const std::string& worker) {
    const std::string key = "workers/" + worker;
    std::string entry = sim.store.Value(key);
    sim.store.Remove(key);
    return entry;
  }

  void RefuseRecordsOf(const std::string& job) {
    sim.store.refused_prefixes.push_back(RecordKeys().progress_prefix + job);
    sim.store.refused_prefixes.push_back(RecordKeys().final_prefix + job);
  }

  /// Begins term 1 with an owner that can be cut off from the store.
  void BeginFirstTerm() {
    sim.BeginTerm();
    const RecordKeys keys;
    const std::int64_t revision = sim.store.Put(keys.owner, "1");
    first = std::make_shared<PartitionOwner>(
        OwnerDependencies{.store = &first_store,
                          .workers = &sim.fleet,
                          .instances = &sim.fleet,
                          .timers = &sim.timers,
                          .clock = &sim.timers,
                          .formats = &sim.formats},
        OwnerOptions{.node = "first", .term = 1, .term_revision = revision},
        PartitionOwner::Listener{.on_deposed = [this] { deposed = true; },
                                 .confirmed_until =
                                     [this] {
                                       if (!first_store.cut) {
                                         confirmed_at = sim.timers.Now();
                                       }
                                       return confirmed_at;
                                     }});
    sim.owner->Close();
    first->Begin(std::make_shared<Catalog>(sim.catalog));
    sim.Run(Millis(300));
  }

  void TearDown() override {
    if (first != nullptr) first->Close();
  }

  FleetSim sim;
  StoreConnection first_store{&sim.timers, &sim.store};
  std::shared_ptr<PartitionOwner> first;
  TimePoint confirmed_at{};
  bool deposed = false;
};

// Guards against running a task again whose end was acknowledged before its job
// was known. The job's front end offered it to the previous owner, which was
// cut off from the store and ran it; the current owner learns of the job later.
TEST_F(IncompleteStateTest, AnEndOfAJobThatIsNotKnownYetIsNotAcknowledged) {
  const std::string worker = sim.fleet.AddWorker("pool");
  BeginFirstTerm();
  first_store.cut = true;
  sim.fleet.Find(worker)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.BeginTerm();
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  ASSERT_TRUE(sim.owner->Loaded());
  // The store does not answer the owner but takes the front end's write.
  sim.store.fault = SimFault::kRequestLost;
  JobSpec job = FleetSim::MakeJob(kJob, 1, 200);
  job.offered_term = 1;
  sim.Submit(job);
  first->OfferJob(kJob, 1, sim.store.Value(RecordKeys().job_prefix + kJob));
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  ASSERT_FALSE(deposed);
  sim.fleet.Find(worker)->unreachable_from_fence.reset();
  sim.Run(Millis(1000));
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Guards against renewing a run of a cancelled job by an owner that does not
// know the job: it reads its worker before its watch, which is seconds late.
TEST_F(IncompleteStateTest, ARunOfACancelledJobThatIsNotKnownYetEndsInTime) {
  const std::string worker = sim.fleet.AddWorker("pool");
  BeginFirstTerm();
  first_store.cut = true;
  sim.fleet.Find(worker)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.BeginTerm();
  sim.Run(Millis(300));
  ASSERT_TRUE(sim.owner->Loaded());
  sim.store.watch_delay = Millis(9000);
  JobSpec job = FleetSim::MakeJob(kJob, 1, 30000);
  job.offered_term = 1;
  sim.Submit(job);
  first->OfferJob(kJob, 1, sim.store.Value(RecordKeys().job_prefix + kJob));
  sim.Run(Millis(100));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  sim.fleet.Find(worker)->unreachable_from_fence.reset();
  sim.Run(Millis(1000));
  sim.Cancel(kJob, /*owner_told=*/false);
  sim.Run(kGoneAfterCancel);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 0);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Guards against an owner that fences itself. A worker that it has forgotten
// returns in the same incarnation and has seen later tokens of this owner;
// calls with the first token again would be rejected as those of a deposed
// owner.
TEST_F(IncompleteStateTest, AWorkerThatReturnsDoesNotDeposeItsOwner) {
  SetUpFleet(1);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.fleet.Find(worker)->fault = SimFault::kAnswerLost;
  sim.Submit(FleetSim::MakeJob(kJob, 1, 100));
  sim.Run(Millis(1000));
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(2000));
  ASSERT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  ASSERT_GT(sim.fleet.Find(worker)->fence, kFencesPerTerm);
  const std::string entry = ExpireEntry(worker);
  sim.Run(Millis(6000));
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(1000));
  sim.Submit(FleetSim::MakeJob(kOther, 1, 100));
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
}

// Guards against restarting a run that an owner before the previous one keeps
// alive. That the previous owner has stopped does not show that the one before
// it has.
TEST_F(IncompleteStateTest, AnOwnerBeforeThePreviousOneMayStillBeActive) {
  const std::string worker = sim.fleet.AddWorker("pool");
  BeginFirstTerm();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(300));
  ASSERT_EQ(WorkerRunning(), worker);
  first_store.cut = true;
  sim.fleet.Find(worker)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.BeginTerm();
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(500));
  sim.BeginTerm(/*close_former=*/true);
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(6000));
  EXPECT_FALSE(deposed);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// Guards against a duplicate execution. A start names its worker by id, so it
// may reach the worker's next incarnation; its task must not start elsewhere
// until that incarnation was read.
TEST_F(IncompleteStateTest, AStartMayReachTheNextIncarnationOfItsWorker) {
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kOther, 1, 2000));
  sim.Run(Millis(300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(200));
  const std::string id = WorkerRunning(kOther);
  SimWorker* worker = sim.fleet.Find(id);
  JobSpec job = FleetSim::MakeJob(kJob, 12, 500);
  sim.Submit(job);
  while (WorkerRunning(kJob).empty()) {
    // The new incarnation begins just before the starts arrive.
    const SimWorker fresh{
        .id = id, .pool = worker->pool, .born_at = sim.timers.Now()};
    if (worker->running.size() == 1) *worker = fresh;
    sim.Run(Millis(1));
  }
  sim.Run(Millis(4000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Guards against acknowledging an end that is not stored. Each incarnation
// numbers its ends anew, so the stored end of an earlier incarnation may have
// the number of an unstored end of the next one.
TEST_F(IncompleteStateTest,
       AnEndOfAnEarlierIncarnationAcknowledgesNoneOfTheNext) {
  SetUpFleet(1);
  RefuseRecordsOf(kJob);
  RefuseRecordsOf(kOther);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 100));
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  // The worker starts again under its id.
  const std::string id = sim.fleet.AliveWorkerIds().front();
  SimWorker* worker = sim.fleet.Find(id);
  const SimWorker fresh{
      .id = id, .pool = worker->pool, .born_at = sim.timers.Now()};
  *worker = fresh;
  sim.fleet.Drain(id);
  std::string entry = sim.store.Value("workers/" + id);
  entry.replace(entry.find("true"), 4, "false");
  sim.store.Put("workers/" + id, entry);
  sim.Run(Millis(400));
  sim.Submit(FleetSim::MakeJob(kOther, 1, 100));
  sim.Run(Millis(600));
  ASSERT_EQ(sim.fleet.DoneTasks(kOther), 1);
  sim.store.refused_prefixes.clear();
  RefuseRecordsOf(kOther);
  sim.Run(Millis(800));
  EXPECT_EQ(sim.fleet.Find(id)->ended.size(), 1u);
  sim.store.refused_prefixes.clear();
  sim.BeginTerm();
  sim.Run(Millis(3000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
}

// Guards against waiting for a recorded worker that has had no directory entry
// since before the term. It is taken for gone like one whose entry expires
// during the term.
TEST_F(IncompleteStateTest,
       AWorkerWithoutAnEntryAtATakeOverDelaysJobsOnlyBriefly) {
  sim.fleet.AddWorker("pool");
  sim.fleet.AddWorker("pool");
  JobSpec lasting = FleetSim::MakeJob(kOther, 2, 0);
  lasting.steps[0].lasting = true;
  lasting.steps[0].max_per_worker = 1;
  sim.Submit(lasting);
  sim.BeginTerm();
  sim.Run(Millis(300));
  ASSERT_EQ(sim.fleet.RunningTasks(kOther), 2);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.fleet.Crash(worker);
  sim.Run(Millis(5000));
  ASSERT_FALSE(sim.store.Has("workers/" + worker));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 200));
  sim.BeginTerm();
  sim.Run(Millis(4500));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  sim.Run(Millis(60000));
  EXPECT_THAT(sim.store.Value(RecordKeys().workers),
              testing::Not(testing::HasSubstr('"' + worker + '"')));
}

// Guards against keeping a worker in the record for good that was read, has had
// no directory entry in this term, and died before its ends were stored.
TEST_F(IncompleteStateTest, AReadWorkerWithoutAnEntryThatDiesIsForgotten) {
  SetUpFleet(2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 200));
  sim.Run(Millis(100));
  const std::string worker = WorkerRunning();
  RefuseRecordsOf(kJob);
  ExpireEntry(worker);
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  sim.BeginTerm();
  sim.Run(Millis(500));
  sim.fleet.Find(worker)->alive = false;
  sim.Run(Millis(6000));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(60000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_THAT(sim.store.Value(RecordKeys().workers),
              testing::Not(testing::HasSubstr('"' + worker + '"')));
}

// Guards against taking a worker for gone that has no directory entry but
// answers and has more ends than one poll returns.
TEST_F(IncompleteStateTest, APartlyReadWorkerWithoutAnEntryIsNotTakenForGone) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kJob, 12, 300));
  sim.Run(Millis(200));
  const std::string worker = WorkerRunning();
  RefuseRecordsOf(kJob);
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 12);
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  const std::string entry = ExpireEntry(worker);
  sim.Run(Millis(4500));
  sim.store.refused_prefixes.clear();
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Guards against restarting tasks whose ends the worker has not reported yet.
// The wait for orphaned runs is meant for workers whose leases expire; one that
// is being read keeps its lease.
TEST_F(IncompleteStateTest,
       APartlyReadWorkerDelaysItsTasksBeyondTheWaitForOrphanedRuns) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kJob, 12, 300));
  sim.Run(Millis(200));
  RefuseRecordsOf(kJob);
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 12);
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(6000));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
