// How a node notices that the store is lost and back.
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

TEST(CatalogKeeperTest, TheReturnOfASilentStoreIsNoticedWithinAFewProbes) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  sim.Run(Millis(2000));
  ASSERT_EQ(a.catalogs->Reach(), StoreReach::kDirect);
  // Ends at several moments between a call and its timeout.
  for (const int outage_ms : {4000, 4300, 4600, 4900}) {
    a.store.silent = true;
    sim.Run(Millis(outage_ms));
    EXPECT_EQ(a.catalogs->Reach(), StoreReach::kNone);
    a.store.silent = false;
    sim.Run(Millis(300));
    EXPECT_EQ(a.catalogs->Reach(), StoreReach::kDirect) << outage_ms;
    sim.Run(Millis(1500));
  }
}

/// Guards against a node on a slow link that asks for the same configuration
/// again while it is arriving, so that no copy ever arrives whole.
TEST(CatalogKeeperTest, OneCopyOfAConfigurationIsFetchedAtATime) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  SimNode b(&sim, &peers, "b");
  SimNode c(&sim, &peers, "c");
  sim.store.Put(sim.formats.ConfigKey(), "1");
  sim.Run(Millis(2000));
  a.store.silent = true;
  sim.Run(Millis(1500));
  peers.transfer_time = Millis(4000);
  sim.store.Put(sim.formats.ConfigKey(), "2");
  sim.Run(Millis(3500));
  ASSERT_EQ(a.catalogs->NewestKnownVersion(), 2);
  EXPECT_EQ(peers.calls[PeerPaths::kCatalog], 1);
  sim.Run(Millis(1500));
  ASSERT_NE(a.catalogs->Newest(), nullptr);
  EXPECT_EQ(a.catalogs->Newest()->version, 2);
}

}  // namespace
}  // namespace basilusher
