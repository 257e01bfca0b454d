// Elections while the store is silent or late.
#include <gtest/gtest.h>

#include <optional>

#include "SimNode.h"

namespace basilusher {
namespace {

/// Share of a core of a node that waits a third of a second before it stands
/// again.
constexpr double kWeak = 0.15;
constexpr double kStrong = 0.5;

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

/// The term record after a node was elected, by the record before.
Json TermRecordAfter(const Json& before) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  sim.store.Put(RecordKeys().term, before.dump());
  SimNode a(&sim, &peers, "a", kStrong);
  sim.Run(Millis(2000));
  EXPECT_NE(a.agent->LocalOwner(), nullptr);
  return Json::parse(sim.store.Value(RecordKeys().term));
}

TEST(ElectionTest, TheTermRecordTellsSinceWhenStartsAreStored) {
  EXPECT_EQ(TermRecordAfter({{"term", 4}, {"starts_stored_since", 3}}),
            Json({{"term", 5}, {"starts_stored_since", 3}}));
  // The earlier version does not store them.
  EXPECT_EQ(TermRecordAfter({{"term", 4}}),
            Json({{"term", 5}, {"starts_stored_since", 5}}));
}

/// The store falls silent before either node has a lease and comes back while
/// the strong node waits for an answer that is lost.
TEST(ElectionTest, AWeakNodeIsNotElectedBesideAStrongOneAfterAnOutage) {
  for (int begun_before_ms = 0; begun_before_ms < 900; begun_before_ms += 50) {
    FleetSim sim;
    SimPeers peers(&sim.timers);
    std::optional<SimNode> strong;
    std::optional<SimNode> weak;
    strong.emplace(&sim, &peers, "strong", kStrong, /*store_silent=*/true);
    sim.Run(Millis(begun_before_ms));
    weak.emplace(&sim, &peers, "weak", kWeak, /*store_silent=*/true);
    sim.Run(Millis(850));
    strong->store.silent = false;
    weak->store.silent = false;
    sim.Run(Millis(3000));
    EXPECT_NE(strong->agent->LocalOwner(), nullptr) << begun_before_ms;
    EXPECT_EQ(weak->agent->LocalOwner(), nullptr) << begun_before_ms;
  }
}

}  // namespace
}  // namespace basilusher
