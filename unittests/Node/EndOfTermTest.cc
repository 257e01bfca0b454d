// What a node's word that its term is over is worth to the next owner.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

/// Share of a core of a weak node.
constexpr double kWeak = 0.1;
constexpr char kJob[] = "00000000000000a1";

std::string Holder(const std::string& node, std::int64_t term) {
  return Json({{"node", node},
               {"address", node + ":7000"},
               {"incarnation", node + "-1"},
               {"term", term}})
      .dump();
}

TEST(EndOfTermTest, ANodeThatSaidItsTermIsOverDoesNotBeginItAfterwards) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a", kWeak);
  // The election's write is done and not answered.
  sim.store.fault = SimFault::kAnswerLost;
  for (int i = 0; i < 2000 && !sim.store.Has(RecordKeys().owner); ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_TRUE(sim.store.Has(RecordKeys().owner));
  ASSERT_EQ(a.agent->LocalOwner(), nullptr);
  // The owner of a later term relies on this answer.
  EXPECT_TRUE(a.agent->EndTermBelow(2));
  sim.store.fault = SimFault::kNone;
  for (int i = 0; i < 100; ++i) {
    sim.Run(Millis(10));
    ASSERT_EQ(a.agent->LocalOwner(), nullptr);
  }
}

// Guards against a duplicate execution: the next owner was not told that a
// restarted worker may hold a longer lease than owners give.
TEST(EndOfTermTest, ANodeTellsTheNextOwnerOfLongLeases) {
  FleetSim sim;
  // Idle instances are switched off otherwise.
  sim.catalog.pools.erase("spare");
  const std::string worker = sim.fleet.AddWorker("pool");
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  sim.Run(Millis(1000));
  ASSERT_NE(a.agent->LocalOwner(), nullptr);
  EXPECT_TRUE(a.agent->LocalOwner()->FindLongLeases().empty());
  // Its answers show a later start than before.
  sim.fleet.Find(worker)->born_at = sim.timers.Now();
  sim.Run(Millis(1500));
  const std::int64_t next = a.agent->LocalOwner()->Term() + 1;
  const Json answer = a.agent->AnswerEndTerm({{"below", next}});
  EXPECT_EQ(answer.at("ended"), true);
  ASSERT_EQ(answer.at("long_leases").size(), 1U) << answer;
  EXPECT_GT(answer.at("long_leases").at(worker).get<int>(), 8000);
  // What is left of them, whenever it is asked.
  sim.Run(Millis(2000));
  const Json later = a.agent->AnswerEndTerm({{"below", next}});
  EXPECT_EQ(later.at("long_leases").at(worker).get<int>(),
            answer.at("long_leases").at(worker).get<int>() - 2000);
  // Of a term that it did not hold it knows nothing.
  EXPECT_FALSE(
      a.agent->AnswerEndTerm({{"below", next + 1}}).contains("long_leases"));
}

TEST(EndOfTermTest, TheWordOfAnOwnerBeforeTheLastOneSaysNothingOfTheLastOne) {
  FleetSim sim;
  for (int i = 0; i < 3; ++i) sim.fleet.AddWorker("pool");
  const RecordKeys keys;
  sim.store.Put(keys.term, Json({{"term", 1}}).dump());
  sim.store.Put(keys.owner, Holder("a", 1));
  SimPeers peers(&sim.timers);
  PeerMethods a;
  a.On(PeerPaths::kEndTerm, [](const Json&, PeerCallback done) {
    done(Json{{"ended", true}});
  });
  peers.Attach("a:7000", &a);
  SimNode c(&sim, &peers, "c");
  sim.Run(Millis(500));
  // The second owner's term begins and ends while this node hears nothing.
  c.store.silent = true;
  sim.Run(Millis(2000));
  sim.store.Put(keys.owner, Holder("b", 2));
  sim.store.Put(keys.term, Json({{"term", 2}}).dump());
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.store.Put(keys.workers, Json({{worker, worker + ":1"}}).dump());
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  job.offered_term = 2;
  sim.Submit(job);
  sim.store.Remove(keys.owner);
  sim.store.Compact();
  // It goes on with its work for as long as it may, out of the next one's
  // sight.
  SimWorker* held = sim.fleet.Find(worker);
  held->fault = SimFault::kRequestLost;
  held->fence = 2000000;
  held->lease_ms = (sim.timers.Now() - held->born_at + Millis(10000)).count();
  held->running[{.job = kJob}] = {.run = 1001,
                                  .started_at = sim.timers.Now(),
                                  .ends_at = sim.timers.Now() + Millis(60000)};
  c.store.silent = false;
  sim.Run(Millis(8000));
  ASSERT_NE(c.agent->LocalOwner(), nullptr);
  ASSERT_EQ(c.agent->LocalOwner()->Term(), 3);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  // Its leases are over.
  sim.Run(Millis(8000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Outage of the store in which all leases of runs end, of at most 4.2 s.
constexpr Millis kOutage{5000};
/// A lasting task runs again within 7 s of the end of the disruption (4 s and
/// 3 s).
constexpr Millis kAfterDisruption{7000};

/// Owners that stop as planned in an outage of the store and are gone when it
/// is back. One worker has crashed with the outage, another one is silent.
class StopInOutageTest : public ::testing::Test {
 protected:
  StopInOutageTest() {
    sim.fleet.ends_on_time = true;
    sim.catalog.pools.erase("spare");
    const std::string crashed = sim.fleet.AddWorker("pool");
    Add("a");
    sim.Run(Millis(1500));
    JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
    job.steps[0].lasting = true;
    job.offered_term = 1;
    sim.Submit(job);
    sim.Run(Millis(500));
    EXPECT_TRUE(sim.fleet.Find(crashed)->running.contains({.job = kJob}));
    const std::string silent = sim.fleet.AddWorker("pool");
    sim.fleet.AddWorker("pool");
    Add("b");
    sim.Run(Millis(8000));
    sim.fleet.Crash(crashed);
    sim.fleet.Find(silent)->fault = SimFault::kRequestLost;
  }

  void Add(const std::string& name) {
    nodes[name] = std::make_unique<SimNode>(&sim, &peers, name);
  }

  /// Returns at the store's return. The owner's lease has ended at the store.
  void StopInOutage(const std::string& name) {
    SimNode& owner = *nodes.at(name);
    ASSERT_NE(owner.agent->LocalOwner(), nullptr);
    for (const auto& [other, node] : nodes) node->store.silent = true;
    sim.Run(Millis(300));
    owner.agent->Stop([] {});
    sim.Run(Millis(1000));
    peers.Attach(name + ":7000", &gone);
    sim.Run(kOutage - Millis(1300));
    sim.store.Remove(RecordKeys().owner);
    sim.store.Remove(RecordKeys().node_prefix + name);
    stopped.insert(name);
    for (const auto& [other, node] : nodes) {
      node->store.silent = stopped.contains(other);
    }
  }

  void ExpectRunsAgain(const std::string& successor) {
    sim.Run(kAfterDisruption);
    EXPECT_NE(nodes.at(successor)->agent->LocalOwner(), nullptr);
    EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
    EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
  }

  FleetSim sim;
  SimPeers peers{&sim.timers};
  /// Answers nothing.
  PeerMethods gone;
  std::map<std::string, std::unique_ptr<SimNode>> nodes;
  std::set<std::string> stopped;
};

TEST_F(StopInOutageTest, TheNextOwnerDoesNotWaitForLeasesThatAreOver) {
  StopInOutage("a");
  ExpectRunsAgain("b");
}

TEST_F(StopInOutageTest, AfterTwoStopsTheNextOwnerDoesNotWaitForThemEither) {
  StopInOutage("a");
  sim.Run(Millis(1000));
  Add("c");
  sim.Run(Millis(1000));
  StopInOutage("b");
  ExpectRunsAgain("c");
}

}  // namespace
}  // namespace basilusher
