// What the end of a term that its owner gives up costs the fleet.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr double kWeak = 0.12;
constexpr double kStrong = 0.5;

/// The path of a node that is behind its work: the answers of its watches of
/// jobs come seconds late, or its lists are never read to their end.
class BehindPath : public SimStorePath {
 public:
  BehindPath(TransactionalStore* store, SimTimers* timers)
      : SimStorePath(store, timers), timers_(timers) {}
  void List(const std::string& prefix, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override {
    if (!lists_lost || !prefix.starts_with(RecordKeys().inbox_prefix)) {
      return SimStorePath::List(prefix, std::move(done),
                                std::move(on_progress));
    }
    timers_->After(kCallTimeout,
                   [done] { done({.status = TxnStatus::kLost}); });
  }
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override {
    const Millis delay =
        prefix.starts_with(RecordKeys().inbox_prefix) ? inbox_delay : Millis(0);
    SimStorePath::Watch(
        prefix, revision, wait,
        [this, done, delay](const StoreAnswer& answer) {
          timers_->After(delay, [done, answer] { done(answer); });
        },
        std::move(on_progress));
  }

  Millis inbox_delay{0};
  bool lists_lost = false;

 private:
  static constexpr Millis kCallTimeout{800};
  SimTimers* timers_;
};

std::shared_ptr<NodeAgent> MakeNode(FleetSim* sim, SimPeers* peers,
                                    TransactionalStore* path,
                                    const std::string& name, double strength) {
  std::shared_ptr<NodeAgent> node = std::make_shared<NodeAgent>(
      OwnerDependencies{.store = path,
                        .workers = &sim->fleet,
                        .instances = &sim->fleet,
                        .timers = &sim->timers,
                        .clock = &sim->timers,
                        .formats = &sim->formats},
      peers,
      NodeOptions{.node = name,
                  .incarnation = name + "-1",
                  .peer_address = name + ":7000",
                  .strength = strength},
      [sim] { return std::make_shared<Catalog>(sim->catalog); });
  node->Begin();
  return node;
}

/// The node that was to take over has crashed; its entry expires a little
/// later.
TEST(HandOverTest, AnOwnerThatHandedOverStandsAgainWhenNobodyIsLeft) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  sim.fleet.AddWorker("pool");
  BehindPath path(&sim.store, &sim.timers);
  const std::shared_ptr<NodeAgent> weak =
      MakeNode(&sim, &peers, &path, "weak", kWeak);
  const std::string gone = RecordKeys().node_prefix + "strong";
  sim.store.Put(
      gone, Json({{"address", "strong:7000"}, {"strength", kStrong}}).dump());
  sim.Run(Millis(2000));
  ASSERT_NE(weak->LocalOwner(), nullptr);
  path.inbox_delay = Millis(9000);
  for (int i = 0; i < 100 && weak->LocalOwner() != nullptr; ++i) {
    sim.Run(Millis(100));
  }
  ASSERT_EQ(weak->LocalOwner(), nullptr);
  path.inbox_delay = Millis(0);
  sim.Run(Millis(300));
  sim.store.Remove(gone);
  sim.Run(Millis(1500));
  EXPECT_NE(weak->LocalOwner(), nullptr);
}

/// An owner that never has its records starts nothing and keeps its term.
TEST(HandOverTest, AnOwnerThatCannotReadItsRecordsLeavesThemToAnother) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  sim.fleet.AddWorker("pool");
  BehindPath path(&sim.store, &sim.timers);
  path.lists_lost = true;
  const std::shared_ptr<NodeAgent> weak =
      MakeNode(&sim, &peers, &path, "weak", kWeak);
  sim.Run(Millis(1500));
  SimNode strong(&sim, &peers, "strong", kStrong);
  sim.Run(Millis(1000));
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  sim.fleet.RegisterJob(job);
  strong.Submit(job, Millis(1500));
  sim.Run(Millis(9000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
