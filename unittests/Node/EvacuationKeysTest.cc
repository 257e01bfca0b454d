// Guards against requests for evacuation that a node does not hear of, hears of
// late, or takes for cancelled.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "../Support/LogCapture.h"
#include "SimNode.h"

namespace basilusher {
namespace {

constexpr const char* kKey = "config/evacuate/a";
constexpr const char* kJob = "00000000000000a1";
constexpr Millis kMaxAge{2500};
constexpr Millis kTold{50};
constexpr double kWeak = 0.1;
constexpr double kStrong = 0.5;

/// A store whose next lists show the state at the time of Keep().
class OldListStore : public SimStore {
 public:
  explicit OldListStore(SimTimers* timers)
      : SimStore(timers), timers_(timers) {}
  void Keep(const std::string& prefix) {
    SimStore::List(
        prefix, [this](const StoreAnswer& answer) { old_ = answer; }, nullptr);
  }
  void List(const std::string& prefix, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override {
    if (old_lists == 0) {
      return SimStore::List(prefix, std::move(done), std::move(on_progress));
    }
    --old_lists;
    timers_->After(Millis(4), [this, done] { done(old_); });
  }

  int old_lists = 0;

 private:
  SimTimers* timers_;
  StoreAnswer old_;
};

TEST(EvacuationKeysTest, TheKeyBeginsAndItsRemovalEndsAnEvacuation) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  a.evacuations.SetMaxAge(kMaxAge);
  sim.Run(Millis(1000));
  EXPECT_FALSE(a.evacuations.Evacuated("a"));
  sim.store.Put(kKey, "{}");
  sim.Run(kTold);
  EXPECT_TRUE(a.evacuations.Evacuated("a"));
  EXPECT_FALSE(a.evacuations.Evacuated("b"));
  sim.store.Remove(kKey);
  sim.Run(kTold);
  EXPECT_FALSE(a.evacuations.Evacuated("a"));
  EXPECT_FALSE(a.evacuations.IsStale(Millis(0)));
}

/// The removal is in the history that the store has discarded.
TEST(EvacuationKeysTest, AListWithoutTheKeyEndsAnEvacuation) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  a.evacuations.SetMaxAge(kMaxAge);
  sim.store.Put(kKey, "{}");
  sim.store.Put("config/evacuate/b", "{}");
  sim.Run(Millis(1000));
  ASSERT_TRUE(a.evacuations.Evacuated("a"));
  a.store.silent = true;
  sim.Run(Millis(1500));
  sim.store.Remove(kKey);
  sim.store.Put("other", "1");
  sim.store.Compact();
  a.store.silent = false;
  sim.Run(Millis(1000));
  EXPECT_FALSE(a.evacuations.Evacuated("a"));
  EXPECT_TRUE(a.evacuations.Evacuated("b"));
}

/// The history is lost, and the list that follows shows the state before the
/// request was written.
TEST(EvacuationKeysTest, AnOldListDoesNotEndAnEvacuation) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  OldListStore store(&sim.timers);
  store.Put("config/first", "1");
  store.Keep("config/");
  sim.Run(Millis(100));
  EvacuationView view(&sim.timers, nullptr);
  view.SetMaxAge(kMaxAge);
  const std::map<std::string, std::string> no_peers;
  const std::shared_ptr<CatalogKeeper> keeper = std::make_shared<CatalogKeeper>(
      &store, &sim.timers, &sim.timers, &sim.formats, &peers,
      CatalogListener{
          .on_catalog = [](const std::shared_ptr<const Catalog>&) {},
          .on_wave = [](const MaintenanceWave&) {},
          .evacuations = &view,
          .peers = [&no_peers]() -> const std::map<std::string, std::string>& {
            return no_peers;
          }});
  view.Follow([&keeper] { return keeper->FreshAt(); });
  keeper->Begin();
  sim.Run(Millis(1000));
  store.Put(kKey, "{}");
  sim.Run(kTold);
  ASSERT_TRUE(view.Evacuated("a"));
  store.old_lists = 1;
  store.Put("other", "1");
  store.Compact();
  for (int i = 0; i < 300; ++i) {
    sim.Run(Millis(10));
    ASSERT_TRUE(view.Evacuated("a")) << i;
  }
  EXPECT_EQ(store.old_lists, 0);
  store.Remove(kKey);
  sim.Run(Millis(1000));
  EXPECT_FALSE(view.Evacuated("a"));
}

TEST(EvacuationKeysTest, TheNextOwnerKnowsWhenItsTermBegins) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  sim.catalog.pools.erase("spare");
  sim.fleet.AddWorker("pool", "a");
  sim.fleet.AddWorker("pool", "a");
  sim.fleet.AddWorker("pool", "b");
  SimNode strong(&sim, &peers, "strong", kStrong);
  SimNode weak(&sim, &peers, "weak", kWeak);
  strong.evacuations.SetMaxAge(kMaxAge);
  weak.evacuations.SetMaxAge(kMaxAge);
  sim.Run(Millis(2000));
  ASSERT_NE(strong.agent->LocalOwner(), nullptr);
  sim.Submit(FleetSim::MakeJob(kJob, 400, 400));
  sim.Run(Millis(1000));
  ASSERT_GT(sim.fleet.StartsIn("a"), 0);
  sim.store.Put(kKey, "{}");
  sim.Run(kTold);
  const int there = sim.fleet.StartsIn("a");
  const int elsewhere = sim.fleet.StartsIn("b");
  strong.agent->Stop([] {});
  // The simulated store does not end leases.
  sim.Run(Millis(500));
  sim.store.Remove(RecordKeys().owner);
  sim.Run(Millis(8000));
  EXPECT_NE(weak.agent->LocalOwner(), nullptr);
  EXPECT_EQ(sim.fleet.StartsIn("a"), there);
  EXPECT_GT(sim.fleet.StartsIn("b"), elsewhere);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Such a store lengthens the bound of 5 s by 6 s at most. The node is alone,
/// so that no later owner takes its workers.
TEST(EvacuationKeysTest, AnOwnerThatTheStoreRejectsStopsWithinTheLongerBound) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  sim.catalog.pools.erase("spare");
  sim.fleet.evacuation_bound = Millis(11000);
  sim.fleet.AddWorker("pool", "a");
  SimNode owner(&sim, &peers, "owner", kStrong);
  owner.evacuations.SetMaxAge(kMaxAge);
  sim.Run(Millis(2000));
  ASSERT_NE(owner.agent->LocalOwner(), nullptr);
  sim.Submit(FleetSim::MakeJob(kJob, 4000, 400));
  sim.Run(Millis(1000));
  owner.store.silent = true;
  sim.store.Put(kKey, "{}");
  sim.fleet.RecordEvacuation("a");
  const int at_request = sim.fleet.StartsIn("a");
  sim.Run(Millis(5000));
  // For all that it knows the store is down.
  EXPECT_GT(sim.fleet.StartsIn("a"), at_request);
  sim.Run(Millis(15000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST(EvacuationKeysTest, OddKeysAndValuesDoNoHarmAndAreLoggedOnce) {
  FleetSim sim;
  LogCapture log;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  a.evacuations.SetMaxAge(kMaxAge);
  sim.Run(Millis(1000));
  for (int i = 0; i < 3; ++i) {
    sim.store.Put("config/evacuate/", "{}");
    sim.store.Put("config/evacuate/b", "not JSON");
    sim.store.Put("config/evacuate/c", "{\"Until\":5}");
    sim.store.Put(kKey, "{}");
    sim.Run(kTold);
  }
  EXPECT_EQ(log.Lines("evacuation-key-invalid").size(), 1U);
  EXPECT_EQ(log.Lines("evacuation-value-ignored").size(), 2U);
  EXPECT_EQ(log.Lines("evacuation").size(), 3U);
  EXPECT_THAT(a.evacuations.All(), testing::ElementsAre("a", "b", "c"));
  sim.store.Remove("config/evacuate/");
  sim.store.Remove("config/evacuate/b");
  sim.Run(kTold);
  EXPECT_THAT(a.evacuations.All(), testing::ElementsAre("a", "c"));
}

TEST(EvacuationKeysTest, WithoutABoundNothingIsEvacuatedUntilItIsSet) {
  FleetSim sim;
  LogCapture log;
  SimPeers peers(&sim.timers);
  SimNode a(&sim, &peers, "a");
  sim.store.Put(kKey, "{}");
  sim.Run(Millis(1000));
  EXPECT_FALSE(a.evacuations.Evacuated("a"));
  EXPECT_FALSE(a.evacuations.IsStale(Millis(0)));
  EXPECT_THAT(log.Lines("evacuation"), testing::IsEmpty());
  a.evacuations.SetMaxAge(kMaxAge);
  EXPECT_TRUE(a.evacuations.Evacuated("a"));
  EXPECT_EQ(log.Lines("evacuation").size(), 1U);
}

}  // namespace
}  // namespace basilusher
