// Elections whose write takes effect after its sender has given up on it.
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

/// Share of a core of a node that waits a third of a second before it stands
/// again.
constexpr double kWeak = 0.15;

TEST(ElectionTest, ATermThatIsNoticedBeforeTheNextTryIsTakenUp) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  // The write is done seconds later, while the node waits to stand once more.
  sim.store.fault = SimFault::kDelayed;
  SimNode a(&sim, &peers, "a", kWeak);
  for (int i = 0; i < 6000 && !sim.store.Has(RecordKeys().owner); ++i) {
    sim.Run(Millis(1));
  }
  ASSERT_TRUE(sim.store.Has(RecordKeys().owner));
  sim.store.fault = SimFault::kNone;
  sim.Run(Millis(2000));
  ASSERT_NE(a.agent->LocalOwner(), nullptr);
  EXPECT_EQ(a.agent->LocalOwner()->Term(), 1);
}

}  // namespace
}  // namespace basilusher
