// What a node's word that its term is over is worth to the next owner.
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

/// Share of a core of a weak node.
constexpr double kWeak = 0.1;

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

}  // namespace
}  // namespace basilusher
