// Guards against a fact about one incarnation of a worker, or about one link to
// it, that is used for another one, or forgotten with it.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "FleetSim.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000b2";
/// Longer than any lease: the clock of a later incarnation is behind by more.
constexpr Millis kLongerThanAnyLease{12000};

/// One worker with a clock that is ahead of that of its next incarnation.
class EarlierIncarnationTest : public ::testing::Test {
 protected:
  EarlierIncarnationTest() {
    sim.fleet.ends_on_time = true;
    sim.catalog.pools.erase("spare");
    worker = sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(kLongerThanAnyLease);
  }

  void TearDown() override {
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  void ListPresentIncarnation() {
    Json entry = Json::parse(sim.store.Value("workers/" + worker));
    entry["born"] = sim.fleet.Find(worker)->born_at.time_since_epoch().count();
    sim.store.Put("workers/" + worker, entry.dump());
  }

  bool Runs(const std::string& id, const std::string& job) {
    const SimWorker* state = sim.fleet.Find(id);
    return std::any_of(
        state->running.begin(), state->running.end(),
        [&job](const auto& entry) { return entry.first.job == job; });
  }

  /// The start of a task on `worker` is carried out 2.5 s from now.
  void SendLateStart() {
    sim.fleet.Find(worker)->fault = SimFault::kDelayed;
    sim.Submit(FleetSim::MakeJob(kJob, 1, 40000));
    sim.Run(Millis(50));
    sim.fleet.Find(worker)->fault = SimFault::kNone;
  }

  /// Sets the processor time that the worker's entry shows.
  void LeaveRoom(std::int64_t cpu_millis) {
    Resources room = sim.fleet.Find(worker)->room;
    room.cpu_millis = cpu_millis;
    sim.fleet.SetRoom(worker, room);
  }

  FleetSim sim;
  std::string worker;
};

// A start without an answer was settled by a report of the incarnation to which
// it was sent, and the task started elsewhere. The next incarnation has not
// seen the later fencing token when the start arrives there. The only worker
// with room meanwhile is the other one.
TEST_F(EarlierIncarnationTest, ASettledStartIsNotCarriedOutByTheNextOne) {
  SendLateStart();
  const std::string other = sim.fleet.AddWorker("pool");
  LeaveRoom(1000);
  sim.Run(Millis(1400));
  EXPECT_FALSE(Runs(other, kJob));
  LeaveRoom(32000);
  sim.Restart(worker, Millis(900));
  sim.Run(Millis(1000));
  EXPECT_TRUE(Runs(worker, kJob));
  sim.Run(Millis(45000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
  EXPECT_EQ(sim.fleet.StartsOf({.job = kJob}), 1);
}

// The same where the task is short: its second run had ended as done, and the
// end was acknowledged, when the next incarnation executed the first start. The
// worker answers nobody then.
TEST_F(EarlierIncarnationTest, ASettledStartIsNotCarriedOutAfterTheTaskIsDone) {
  sim.fleet.Find(worker)->fault = SimFault::kDelayed;
  sim.Submit(FleetSim::MakeJob(kJob, 1, 200));
  sim.Run(Millis(50));
  SimWorker* state = sim.fleet.Find(worker);
  state->fault = SimFault::kNone;
  const std::string other = sim.fleet.AddWorker("pool");
  sim.Run(Millis(1500));
  sim.Restart(worker, Millis(20));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.fleet.StartsOf({.job = kJob}), 1);
  sim.fleet.Find(worker)->fault = SimFault::kNone;
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

// The same where the next owner is told how the term before ended, and has read
// the incarnation to which the start was sent.
TEST_F(EarlierIncarnationTest, AStartThatTheOwnerBeforeToldOfIsWaitedFor) {
  SendLateStart();
  const std::string other = sim.fleet.AddWorker("pool");
  LeaveRoom(1000);
  sim.BeginTerm();
  sim.TellOfFormerEnd();
  sim.Run(Millis(1300));
  LeaveRoom(32000);
  sim.Restart(worker, Millis(1000));
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// The same where the owner before had settled the start.
TEST_F(EarlierIncarnationTest, ASettledStartIsToldToTheNextOwner) {
  SendLateStart();
  const std::string other = sim.fleet.AddWorker("pool");
  LeaveRoom(1000);
  sim.Run(Millis(1000));
  sim.BeginTerm();
  sim.TellOfFormerEnd();
  sim.Run(Millis(500));
  LeaveRoom(32000);
  sim.Restart(worker, Millis(700));
  sim.Run(Millis(20000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
}

// The same where the worker answers nobody after its restart. The directory
// shows the restart, and the start arrives later than the owner allows for: it
// tells the next owner of a lease that ends before that of the worker.
TEST_F(EarlierIncarnationTest, ALateStartOnACutOffWorkerIsWaitedFor) {
  SendLateStart();
  SimWorker* state = sim.fleet.Find(worker);
  state->fault = SimFault::kRequestLost;
  sim.Run(Millis(500));
  sim.Restart(worker, Millis(20));
  ListPresentIncarnation();
  sim.Run(Millis(2500));
  ASSERT_TRUE(Runs(worker, kJob));
  const Millis left =
      state->born_at + Millis(state->lease_ms) - sim.timers.Now();
  EXPECT_GE(sim.owner->FindLongLeases()[worker], left);
}

// The same where nothing shows the restart: the owner counts with the lease by
// the clock of the incarnation before.
TEST_F(EarlierIncarnationTest, ALateStartAfterAnUnseenRestartIsWaitedFor) {
  SendLateStart();
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.Restart(worker, Millis(500));
  const std::string other = sim.fleet.AddWorker("pool");
  sim.Run(Millis(2500));
  ASSERT_TRUE(Runs(worker, kJob));
  sim.Run(Millis(22000));
  EXPECT_TRUE(Runs(other, kJob));
}

// The same where the next owner has read the incarnation to which the start was
// sent.
TEST_F(EarlierIncarnationTest, AnInheritedStartIsNotCarriedOutAfterTheReading) {
  SendLateStart();
  const std::string other = sim.fleet.AddWorker("pool");
  SimWorker* state = sim.fleet.Find(worker);
  state->room.cpu_millis = 1000;
  sim.fleet.SetRoom(worker, state->room);
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(1300));
  ASSERT_TRUE(Runs(other, kJob));
  state->room.cpu_millis = 32000;
  sim.Restart(worker, Millis(1000));
  sim.Run(Millis(1000));
}

// The link to a worker whose entry stayed away was dropped, and with it the
// knowledge of a lease by the clock of an earlier incarnation.
TEST_F(EarlierIncarnationTest, ALongLeaseIsKnownAfterTheEntryWasAway) {
  sim.Restart(worker, Millis(20));
  sim.Submit(FleetSim::MakeJob(kOther, 1, 300));
  sim.Run(Millis(100));
  ASSERT_TRUE(Runs(worker, kOther));
  const SimWorker* state = sim.fleet.Find(worker);
  ASSERT_GT(state->lease_ms, 9900);
  ListPresentIncarnation();
  sim.Run(Millis(500));
  ASSERT_EQ(sim.StateOf(kOther), JobState::kSucceeded);
  const std::string entry = sim.store.Value("workers/" + worker);
  sim.store.Remove("workers/" + worker);
  sim.Run(Millis(3600));
  sim.store.Put("workers/" + worker, entry);
  sim.Submit(FleetSim::MakeJob(kJob, 1, 20000));
  sim.Run(Millis(300));
  ASSERT_TRUE(Runs(worker, kJob));
  const std::string other = sim.fleet.AddWorker("pool");
  sim.Run(Millis(300));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.Run(Millis(8000));
  EXPECT_TRUE(Runs(other, kJob));
}

// The owner after a killed one sees a restart of a worker that it cannot reach.
// Its own bound says nothing of the killed owner's calls on their way, which
// the new incarnation may carry out with the longest lease.
TEST_F(EarlierIncarnationTest, AnUnreadWorkersRestartEndsNoEarlierOwnersWait) {
  SendLateStart();
  SimWorker* state = sim.fleet.Find(worker);
  state->unreachable_from_fence = 2000000;
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Restart(worker, Millis(20));
  ListPresentIncarnation();
  const std::string other = sim.fleet.AddWorker("pool");
  sim.Run(Millis(2500));
  ASSERT_TRUE(Runs(worker, kJob));
  sim.Run(Millis(17000));
  EXPECT_TRUE(Runs(other, kJob));
}

// A run was lost with an incarnation that was replaced, and was taken for one
// that the next incarnation might have crashed under once that one was lost
// too: its task waited for a sign of a crash for 5 s more.
TEST_F(EarlierIncarnationTest, ARunIsLostWithOneIncarnationOnly) {
  sim.Submit(FleetSim::MakeJob(kJob, 1, 40000));
  sim.Run(Millis(600));
  ASSERT_TRUE(Runs(worker, kJob));
  sim.Restart(worker, Millis(20));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  ListPresentIncarnation();
  const std::string other = sim.fleet.AddWorker("pool");
  // The owner counts with the longest lease of the new incarnation.
  sim.Run(Millis(12000));
  EXPECT_TRUE(Runs(other, kJob));
}

// Tasks were kept off a worker by the failures of an incarnation that is gone.
TEST_F(EarlierIncarnationTest, FailuresOfAnEarlierOneAreNoEvidence) {
  sim.fleet.Find(worker)->fails_all_tasks = true;
  for (const char* job :
       {"00000000000000c1", "00000000000000c2", "00000000000000c3",
        "00000000000000c4", "00000000000000c5", "00000000000000c6"}) {
    sim.Submit(FleetSim::MakeJob(job, 1, 100));
  }
  sim.Run(Millis(200));
  sim.fleet.Find(worker)->fails_all_tasks = false;
  sim.Restart(worker, Millis(460));
  ListPresentIncarnation();
  sim.Run(Millis(700));
  sim.Submit(FleetSim::MakeJob(kJob, 8, 3000));
  sim.Run(Millis(300));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 8);
}

/// The fleet's instances, behind a platform that does not answer orders.
class SilentOrders : public InstanceProvider {
 public:
  explicit SilentOrders(FleetSim* sim) : sim_(sim) {}
  void List(std::function<void(const InstanceList&)> done) override {
    sim_->fleet.List(std::move(done));
  }
  void Move(const std::string& instance, const std::string& pool,
            std::int64_t fence,
            std::function<void(InstanceResult)> done) override {
    if (answers) return sim_->fleet.Move(instance, pool, fence, done);
    LoseOrder(done);
  }
  void Maintain(const std::string& instance, std::int64_t wave,
                std::int64_t fence,
                std::function<void(InstanceResult)> done) override {
    if (answers) return sim_->fleet.Maintain(instance, wave, fence, done);
    LoseOrder(done);
  }

  bool answers = false;
  int lost = 0;

 private:
  void LoseOrder(const std::function<void(InstanceResult)>& done) {
    ++lost;
    sim_->timers.After(Millis(400), [done] { done(InstanceResult::kUnknown); });
  }

  FleetSim* sim_;
};

// An order for the worker's instance was sent and is repeated until it is
// answered. The worker restarted at another address, was taken for one without
// an order, and its tasks ended with the instance.
TEST_F(EarlierIncarnationTest, ARestartedWorkerWithAnOrderGetsNoTasks) {
  SilentOrders orders(&sim);
  sim.instances = &orders;
  sim.BeginTerm();
  sim.Run(Millis(500));
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + worker},
                      .ramp_s = 30,
                      .max_at_once = 1});
  sim.Run(Millis(3000));
  ASSERT_GT(orders.lost, 0);
  sim.Restart(worker, Millis(20));
  sim.fleet.ChangeAddress(worker, "elsewhere:1");
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 5000));
  sim.Run(Millis(1000));
  orders.answers = true;
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 1);
}

// The same where the worker's entry was away until its link was dropped.
TEST_F(EarlierIncarnationTest, AWorkerThatReturnsDuringAnOrderGetsNoTasks) {
  SilentOrders orders(&sim);
  sim.instances = &orders;
  sim.BeginTerm();
  sim.Run(Millis(500));
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + worker},
                      .ramp_s = 30,
                      .max_at_once = 1});
  sim.Run(Millis(3000));
  ASSERT_GT(orders.lost, 0);
  const std::string entry = sim.store.Value("workers/" + worker);
  sim.store.Remove("workers/" + worker);
  sim.Run(Millis(3600));
  sim.store.Put("workers/" + worker, entry);
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob(kJob, 1, 5000));
  sim.Run(Millis(1000));
  orders.answers = true;
  sim.Run(Millis(3000));
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 1);
}

/// Answers after a second. Allows a worker, under the ticket of the incarnation
/// that lives when the question arrives, unless `refuses`.
class SlowAdvisor : public PlacementAdvisor {
 public:
  explicit SlowAdvisor(SimTimers* timers) : timers_(timers) {}
  void Advise(const std::string&, int, int,
              const std::vector<std::string>& workers, Millis,
              std::function<void(const AdviceAnswer&)> done) override {
    AdviceAnswer answer{.answered = true};
    for (const std::string& worker : workers) {
      if (!refuses) answer.allowed.emplace_back(worker, "ticket-" + worker);
    }
    timers_->After(Millis(1000), [answer, done] { done(answer); });
  }

  bool refuses = false;

 private:
  SimTimers* timers_;
};

// The refusal of an incarnation that is gone arrived after the next one was
// noticed, and kept the step off the worker from then on.
TEST_F(EarlierIncarnationTest, ALateRefusalOfAnEarlierOneDoesNotCount) {
  SlowAdvisor advisor(&sim.timers);
  sim.advisor = &advisor;
  sim.catalog.queues["queue"].advice = {
      .needed = true, .decide_ms = 20, .per_worker_ms = 2, .valid_ms = 2000};
  sim.fleet.requires_tickets = true;
  sim.BeginTerm();
  sim.Run(Millis(2000));
  advisor.refuses = true;
  sim.Submit(FleetSim::MakeJob(kJob, 1, 300));
  sim.Run(Millis(100));
  advisor.refuses = false;
  sim.Restart(worker, Millis(20));
  ListPresentIncarnation();
  sim.Run(Millis(5000));
  EXPECT_EQ(sim.StateOf(kJob), JobState::kSucceeded);
}

}  // namespace
}  // namespace basilusher
