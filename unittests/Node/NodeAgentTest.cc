// Election of the owner.
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

/// Share of a core of a weak node.
constexpr double kWeak = 0.1;

TEST(NodeAgentTest, OneOfTheNodesIsElectedAndTheOthersHearOfIt) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a", kWeak);
  SimNode b(&sim, &peers, "b", kWeak);
  sim.Run(Millis(1000));
  const bool a_owns = a.agent->LocalOwner() != nullptr;
  const bool b_owns = b.agent->LocalOwner() != nullptr;
  EXPECT_NE(a_owns, b_owns);
}

TEST(NodeAgentTest, AnElectionWhoseAnswerIsLostIsNoticedByTheWatch) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a", kWeak);
  sim.Run(Millis(200));
  ASSERT_EQ(a.agent->LocalOwner(), nullptr);
  // The election's write is done and not answered.
  sim.store.fault = SimFault::kAnswerLost;
  sim.Run(Millis(1000));
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(3000));
  ASSERT_NE(a.agent->LocalOwner(), nullptr);
}

TEST(NodeAgentTest, ALeaseThatASilentStoreDidNotEndIsEndedWhenItAnswersAgain) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  sim.Run(Millis(2000));
  ASSERT_NE(a.agent->LocalOwner(), nullptr);
  a.store.silent = true;
  int stopped = 0;
  a.agent->Stop([&stopped] { ++stopped; });
  sim.Run(Millis(2500));
  // The stop does not wait for the store.
  EXPECT_EQ(stopped, 1);
  EXPECT_EQ(sim.store.leases_ended, 0);
  a.store.silent = false;
  sim.Run(Millis(1000));
  EXPECT_EQ(sim.store.leases_ended, 1);
  EXPECT_EQ(stopped, 1);
}

}  // namespace
}  // namespace basilusher
