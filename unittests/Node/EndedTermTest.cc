// How long the tasks of silent workers wait at a take-over, by what the owners
// before have told their peers when their terms ended.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

constexpr char kJob[] = "00000000000000a1";
constexpr int kTasks = 4;
/// The strongest node is elected first.
constexpr double kStrong = 0.9;
constexpr double kMiddling = 0.5;
constexpr double kWeak = 0.25;
/// Longer than the leases of runs, by any clock.
constexpr Millis kOutage{6000};
constexpr Millis kElection{800};
/// From the election of an owner until it has started what may start.
constexpr Millis kStarts{700};
/// An owner without a word awaits the leases of earlier ones for this long.
constexpr Millis kLongWait{17500};
constexpr Millis kLongWaitOver{19000};

/// Node a owns term 1, with a job that lasts on one worker; another worker is
/// idle. The store falls silent for all nodes.
class OwnerStopsInOutageTest : public ::testing::Test {
 protected:
  OwnerStopsInOutageTest() {
    sim.fleet.ends_on_time = true;
    // No instance is moved away.
    sim.catalog.pools.erase("spare");
    worker = sim.fleet.AddWorker("pool");
    sim.Run(Millis(1500));
    JobSpec job = FleetSim::MakeJob(kJob, kTasks, 0);
    job.steps[0].lasting = true;
    job.offered_term = 1;
    sim.Submit(job);
    sim.Run(Millis(500));
    sim.fleet.AddWorker("pool");
    sim.Run(Millis(500));
  }

  void TearDown() override {
    sim.Run(kLongWaitOver);
    sim.fleet.Find(worker)->fault = SimFault::kNone;
    sim.Run(Millis(1000));
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  std::vector<SimNode*> Nodes() { return {&a, &b, &c}; }

  void BeginOutage() {
    ASSERT_NE(a.agent->LocalOwner(), nullptr);
    ASSERT_EQ(sim.fleet.Find(worker)->running.size(),
              static_cast<std::size_t>(kTasks));
    for (SimNode* node : Nodes()) node->store.silent = true;
    sim.Run(Millis(100));
  }

  /// Tasks that have started again. Runs on a worker that nobody calls are
  /// counted as running there, also after its lease.
  int Restarted() const {
    int count = 0;
    for (int i = 0; i < kTasks; ++i) {
      if (sim.fleet.StartsOf({.job = kJob, .index = i}) > 1) ++count;
    }
    return count;
  }

  /// The process of `node` ends as planned.
  void Stop(SimNode* node, const std::string& name) {
    bool stopped = false;
    node->agent->Stop([&] {
      stopped = true;
      peers.Detach(name + ":7000");
      node->store.silent = true;
    });
    sim.Run(Millis(2600));
    ASSERT_TRUE(stopped);
  }

  /// The process of `node` is killed.
  void Kill(SimNode* node, const std::string& name) {
    peers.Detach(name + ":7000");
    node->store.silent = true;
    node->agent->LocalOwner()->Close();
  }

  /// The lease of the node at the store ends.
  void Lapse(const std::string& name) {
    sim.store.Remove(RecordKeys().node_prefix + name);
    sim.store.Remove(RecordKeys().owner);
  }

  /// The store answers the nodes that are there, the owner's lease has ended,
  /// and no owner reaches the worker.
  void EndOutage() {
    sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
    Lapse("a");
    b.store.silent = false;
    c.store.silent = false;
    sim.Run(kElection);
    ASSERT_NE(b.agent->LocalOwner(), nullptr);
    ASSERT_EQ(b.agent->LocalOwner()->Term(), 2);
  }

  FleetSim sim;
  SimPeers peers{&sim.timers};
  SimNode a{&sim, &peers, "a", kStrong};
  SimNode b{&sim, &peers, "b", kMiddling};
  SimNode c{&sim, &peers, "c", kWeak};
  std::string worker;
};

// Guards against lasting tasks without a run for 18 s after an outage in which
// the owner had stopped: all leases were over when the store was back.
TEST_F(OwnerStopsInOutageTest, NothingIsAwaitedWhenAllLeasesAreOver) {
  BeginOutage();
  Stop(&a, "a");
  sim.Run(kOutage);
  EndOutage();
  sim.Run(kStarts);
  EXPECT_EQ(Restarted(), kTasks);
}

TEST_F(OwnerStopsInOutageTest, LeasesThatLastAreAwaited) {
  BeginOutage();
  // The worker is not called any more, and its lease goes on.
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  Stop(&a, "a");
  EndOutage();
  EXPECT_EQ(Restarted(), 0);
  sim.Run(Millis(4200) - Millis(2600));
  EXPECT_EQ(Restarted(), kTasks);
}

TEST_F(OwnerStopsInOutageTest, AKilledOwnersLeasesAreAwaitedByTheFullBound) {
  BeginOutage();
  Kill(&a, "a");
  sim.Run(kOutage);
  EndOutage();
  sim.Run(kLongWait - kElection);
  EXPECT_EQ(Restarted(), 0);
  sim.Run(kLongWaitOver - kLongWait);
  EXPECT_EQ(Restarted(), kTasks);
}

TEST_F(OwnerStopsInOutageTest, ALostMessageIsRepeated) {
  BeginOutage();
  peers.lose_next[PeerPaths::kTermEnded] = 4;
  Stop(&a, "a");
  EXPECT_GE(peers.calls[PeerPaths::kTermEnded], 6);
  sim.Run(kOutage);
  EndOutage();
  sim.Run(kStarts);
  EXPECT_EQ(Restarted(), kTasks);
}

// The successor was away when the owner stopped.
// As after an outage in which the leases of all nodes ended.
TEST_F(OwnerStopsInOutageTest, APeerThatHasNotRegisteredAgainYetIsTold) {
  for (const char* name : {"b", "c"}) {
    sim.store.Remove(RecordKeys().node_prefix + name);
  }
  sim.Run(Millis(200));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  Stop(&a, "a");
  Lapse("a");
  sim.Run(kElection + Millis(4500));
  ASSERT_NE(b.agent->LocalOwner(), nullptr);
  EXPECT_EQ(Restarted(), kTasks);
}

TEST_F(OwnerStopsInOutageTest, AnotherPeerTellsTheSuccessor) {
  BeginOutage();
  peers.Detach("b:7000");
  Stop(&a, "a");
  peers.Attach("b:7000", &b.methods);
  sim.Run(kOutage);
  peers.lose_next[PeerPaths::kFindEndedTerm] = 2;
  EndOutage();
  sim.Run(Millis(800) + kStarts);
  EXPECT_EQ(Restarted(), kTasks);
}

// A peer of an earlier version does not know the path.
TEST_F(OwnerStopsInOutageTest, APeerThatDoesNotAnswerDelaysTheStopBriefly) {
  BeginOutage();
  peers.lose_next[PeerPaths::kTermEnded] = 1000;
  peers.lose_next[PeerPaths::kFindEndedTerm] = 1000;
  Stop(&a, "a");
  sim.Run(kOutage);
  EndOutage();
  sim.Run(kStarts);
  EXPECT_EQ(Restarted(), 0);
}

TEST_F(OwnerStopsInOutageTest, AMessageAfterTheElectionShortensTheWait) {
  BeginOutage();
  Kill(&a, "a");
  sim.Run(kOutage);
  EndOutage();
  sim.Run(kStarts);
  EXPECT_EQ(Restarted(), 0);
  const EndedTerm ended{
      .term = 1, .ended_ago = kOutage, .long_leases = LongLeases()};
  EXPECT_TRUE(b.agent->HearEndedTerm(
      {{"node", "a"}, {"ended_term", EncodeEndedTerm(ended)}}));
  sim.Run(Millis(300));
  EXPECT_EQ(Restarted(), kTasks);
}

TEST_F(OwnerStopsInOutageTest, ATermBeforeTheLastOneSaysNothingOfTheLastOne) {
  BeginOutage();
  Stop(&a, "a");
  sim.Run(kOutage);
  // The owner of another term, which nobody here heard of, was killed.
  sim.store.Put(RecordKeys().term, Json({{"term", 2}}).dump());
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  Lapse("a");
  b.store.silent = false;
  c.store.silent = false;
  sim.Run(kElection);
  ASSERT_NE(b.agent->LocalOwner(), nullptr);
  ASSERT_EQ(b.agent->LocalOwner()->Term(), 3);
  sim.Run(kLongWait - kElection);
  EXPECT_EQ(Restarted(), 0);
  sim.Run(kLongWaitOver - kLongWait);
  EXPECT_EQ(Restarted(), kTasks);
}

// Guards against a wait of 18 s after two stops in a row.
TEST_F(OwnerStopsInOutageTest, ASecondOwnerPassesOnWhatItWasTold) {
  BeginOutage();
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  Stop(&a, "a");
  EndOutage();
  // It has not read the worker.
  Stop(&b, "b");
  Lapse("b");
  sim.Run(kElection);
  ASSERT_NE(c.agent->LocalOwner(), nullptr);
  ASSERT_EQ(c.agent->LocalOwner()->Term(), 3);
  // What the second owner may have given.
  sim.Run(Millis(4300) - Millis(2600) - kElection + kStarts);
  EXPECT_EQ(Restarted(), kTasks);
}

TEST_F(OwnerStopsInOutageTest, ASecondOwnerPassesOnThatItWasToldNothing) {
  BeginOutage();
  Kill(&a, "a");
  sim.Run(kOutage);
  EndOutage();
  Stop(&b, "b");
  Lapse("b");
  sim.Run(kElection);
  ASSERT_NE(c.agent->LocalOwner(), nullptr);
  // Counted from the second owner's election.
  sim.Run(kLongWait - kElection - kElection - Millis(2600));
  EXPECT_EQ(Restarted(), 0);
  sim.Run(kLongWaitOver - kLongWait);
  EXPECT_EQ(Restarted(), kTasks);
}

// The second owner never has its records.
TEST_F(OwnerStopsInOutageTest, AnOwnerThatWasNotLoadedPassesOnItsBound) {
  BeginOutage();
  Kill(&a, "a");
  sim.Run(kOutage);
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  Lapse("a");
  b.store.silent = false;
  for (int i = 0; i < 2000 && !sim.store.Has(RecordKeys().owner); ++i) {
    sim.Run(Millis(1));
  }
  sim.Run(Millis(1));
  b.store.silent = true;
  sim.Run(Millis(100));
  ASSERT_EQ(b.agent->LocalOwner(), nullptr);
  ASSERT_EQ(b.agent->OwnerTerm(), 2);
  Stop(&b, "b");
  Lapse("b");
  c.store.silent = false;
  sim.Run(kElection);
  ASSERT_NE(c.agent->LocalOwner(), nullptr);
  ASSERT_EQ(c.agent->LocalOwner()->Term(), 3);
  sim.Run(kLongWait - kElection - Millis(2700));
  EXPECT_EQ(Restarted(), 0);
  sim.Run(kLongWaitOver - kLongWait);
  EXPECT_EQ(Restarted(), kTasks);
}

}  // namespace
}  // namespace basilusher
