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

}  // namespace
}  // namespace basilusher
