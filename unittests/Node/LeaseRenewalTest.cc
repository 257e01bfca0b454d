// Guards against a lease that ends while the store answers some renewals: a
// renewal without an answer must not hold up the next one.
#include <gtest/gtest.h>

#include "LeasePath.h"

namespace basilusher {
namespace {

TEST(LeaseRenewalTest, ALeaseOutlivesLostAnswers) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  LeasePath path(&sim.store, &sim.timers);
  const std::shared_ptr<NodeAgent> agent = std::make_shared<NodeAgent>(
      OwnerDependencies{.store = &path,
                        .workers = &sim.fleet,
                        .instances = &sim.fleet,
                        .timers = &sim.timers,
                        .clock = &sim.timers,
                        .formats = &sim.formats},
      &peers,
      NodeOptions{.node = "a",
                  .incarnation = "a-1",
                  .peer_address = "a:7000",
                  .strength = 0.5},
      [&sim] { return std::make_shared<Catalog>(sim.catalog); });
  agent->Begin();
  sim.Run(Millis(2000));
  ASSERT_NE(agent->LocalOwner(), nullptr);
  path.lose_answers = true;
  sim.Run(Millis(20000));
  EXPECT_EQ(path.leases_ended, 0);
  EXPECT_EQ(agent->OwnerTerm(), 1);
}

}  // namespace
}  // namespace basilusher
