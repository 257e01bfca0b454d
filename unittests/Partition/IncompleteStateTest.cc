// Further cases in which an owner takes missing information for knowledge.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

/// A node's way to the store, which can be cut while others reach it.
class CutStore : public TransactionalStore {
 public:
  CutStore(SimTimers* timers, SimStore* store)
      : timers_(timers), store_(store) {}

  void Get(const std::string& key, StoreAnswerCallback done) override {
    if (!Lost(done)) store_->Get(key, Guard(done));
  }
  void List(const std::string& prefix, StoreAnswerCallback done) override {
    if (!Lost(done)) store_->List(prefix, Guard(done));
  }
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done) override {
    if (!Lost(done)) store_->Watch(prefix, revision, wait, Guard(done));
  }
  void Commit(const Txn& txn, StoreAnswerCallback done) override {
    if (!Lost(done)) store_->Commit(txn, Guard(done));
  }
  void GrantLease(Millis ttl, StoreAnswerCallback done) override {
    if (!Lost(done)) store_->GrantLease(ttl, Guard(done));
  }
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override {
    if (!Lost(done)) store_->KeepLease(lease, Guard(done));
  }
  void EndLease(std::int64_t lease, StoreAnswerCallback done) override {
    if (!Lost(done)) store_->EndLease(lease, Guard(done));
  }

  bool cut = false;

 private:
  bool Lost(const StoreAnswerCallback& done) {
    if (!cut) return false;
    timers_->After(Millis(450), [done] { done({.status = TxnStatus::kLost}); });
    return true;
  }
  StoreAnswerCallback Guard(const StoreAnswerCallback& done) {
    return [this, done](const StoreAnswer& answer) {
      if (!Lost(done)) done(answer);
    };
  }

  SimTimers* timers_;
  SimStore* store_;
};

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000a2";
constexpr std::int64_t kFencesPerTerm = 1000000;

class IncompleteStateTest : public ::testing::Test {
 protected:
  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) {
      sim.fleet.AddWorker("pool");
    }
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  std::string Holder(const std::string& job = kJob) {
    std::string holder;
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      for (const auto& [task, run] : sim.fleet.Find(id)->running) {
        if (task.job == job) holder = id;
      }
    }
    return holder;
  }

  std::string Lapse(const std::string& worker) {
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
  CutStore first_store{&sim.timers, &sim.store};
  std::shared_ptr<PartitionOwner> first;
  TimePoint confirmed_at{};
  bool deposed = false;
};

// The present owner has not heard of a job that its predecessor, cut off from
// the store and told of the job by a front, has run already.
TEST_F(IncompleteStateTest, AnEndOfAJobThatIsNotKnownYetIsNotAcknowledged) {
  const std::string worker = sim.fleet.AddWorker("pool");
  BeginFirstTerm();
  first_store.cut = true;
  sim.fleet.Find(worker)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.BeginTerm();
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  ASSERT_TRUE(sim.owner->Loaded());
  // The store turns the owner away while it serves the front.
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

// A worker that is forgotten and comes back in the same life has seen this
// owner's later tokens.
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
  const std::string entry = Lapse(worker);
  sim.Run(Millis(6000));
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(1000));
  sim.Submit(FleetSim::MakeJob(kOther, 1, 100));
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
}

// The owner before the last goes on: that the last one has stopped says nothing
// of it.
TEST_F(IncompleteStateTest, AnOwnerBeforeTheLastMayStillGoOn) {
  const std::string worker = sim.fleet.AddWorker("pool");
  BeginFirstTerm();
  JobSpec lasting = FleetSim::MakeJob(kJob, 1, 0);
  lasting.steps[0].lasting = true;
  sim.Submit(lasting);
  sim.Run(Millis(300));
  ASSERT_EQ(Holder(), worker);
  first_store.cut = true;
  sim.fleet.Find(worker)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.BeginTerm();
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(500));
  sim.BeginTerm(/*close_former=*/true);
  sim.owner->NoteEarlierOwnerStopped();
  sim.Run(Millis(6000));
  EXPECT_FALSE(deposed);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// A start names its worker by the id: it may reach the next life under it.
TEST_F(IncompleteStateTest, AStartThatReachesANewLifeIsNotGivenUpUnread) {
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kOther, 1, 2000));
  sim.Run(Millis(300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(200));
  const std::string id = Holder(kOther);
  SimWorker* worker = sim.fleet.Find(id);
  JobSpec job = FleetSim::MakeJob(kJob, 12, 500);
  sim.Submit(job);
  while (Holder(kJob).empty()) {
    // Born just before the starts arrive.
    const SimWorker fresh{
        .id = id, .pool = worker->pool, .born_at = sim.timers.Now()};
    if (worker->running.size() == 1) *worker = fresh;
    sim.Run(Millis(1));
  }
  sim.Run(Millis(4000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Ends of a life are acknowledged by the number that an earlier life used.
TEST_F(IncompleteStateTest, AnEarlierLifesEndAcknowledgesNoneOfTheNext) {
  SetUpFleet(1);
  RefuseRecordsOf(kJob);
  RefuseRecordsOf(kOther);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 100));
  sim.Run(Millis(400));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 1);
  // It starts again under its id.
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

// Recorded, without an entry since before the term: gone like one whose entry
// lapses during the term.
TEST_F(IncompleteStateTest,
       AWorkerWithoutAnEntryAtATakeOverHoldsNothingBackForLong) {
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

// Read, not listed in this term, dead while its ends are not stored.
TEST_F(IncompleteStateTest, AReadWorkerWithoutAnEntryThatDiesIsForgotten) {
  SetUpFleet(2);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 200));
  sim.Run(Millis(100));
  const std::string worker = Holder();
  RefuseRecordsOf(kJob);
  Lapse(worker);
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

// A worker that answers and has more ends than a look lists is not gone.
TEST_F(IncompleteStateTest, APartlyReadWorkerWithoutAnEntryIsNotGone) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kJob, 12, 300));
  sim.Run(Millis(200));
  const std::string worker = Holder();
  RefuseRecordsOf(kJob);
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 12);
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  const std::string entry = Lapse(worker);
  sim.Run(Millis(4500));
  sim.store.refused_prefixes.clear();
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// The time of doubt is meant for workers whose leases run out; one that is
// being read keeps its lease.
TEST_F(IncompleteStateTest, APartlyReadWorkerOutlastsTheTimeOfDoubt) {
  sim.fleet.max_ends_per_poll = 5;
  SetUpFleet(1);
  sim.Submit(FleetSim::MakeJob(kJob, 12, 300));
  sim.Run(Millis(200));
  RefuseRecordsOf(kJob);
  sim.Run(Millis(500));
  ASSERT_EQ(sim.fleet.DoneTasks(kJob), 12);
  sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped();
  sim.Run(Millis(6000));
  sim.store.refused_prefixes.clear();
  sim.Run(Millis(4000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartedRuns(), 12);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
