// An owner that is so far behind that it may start nothing.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "SimNode.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr double kWeak = 0.12;
/// A lasting task that has had no run for 6 s and nothing for 3 s is lost.
constexpr Millis kLostAfter{6000 + 3000};

/// The path of a node that is behind its work: the answers of its watches come
/// seconds late, its short calls do not.
class SlowWatchPath : public SimStorePath {
 public:
  SlowWatchPath(TransactionalStore* store, SimTimers* timers)
      : SimStorePath(store, timers), timers_(timers) {}
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override {
    SimStorePath::Watch(
        prefix, revision, wait,
        [this, done](const StoreAnswer& answer) {
          timers_->After(delay, [done, answer] { done(answer); });
        },
        std::move(on_progress));
  }

  Millis delay{0};

 private:
  SimTimers* timers_;
};

TEST(StaleOwnerTest, WorkGoesOnAtAnotherNodeWhenTheOwnerStaysBehind) {
  FleetSim sim;
  SimPeers peers(&sim.timers);
  sim.fleet.AddWorker("pool");
  SlowWatchPath path(&sim.store, &sim.timers);
  const std::shared_ptr<NodeAgent> weak = std::make_shared<NodeAgent>(
      OwnerDependencies{.store = &path,
                        .workers = &sim.fleet,
                        .instances = &sim.fleet,
                        .timers = &sim.timers,
                        .clock = &sim.timers,
                        .formats = &sim.formats},
      &peers,
      NodeOptions{.node = "weak",
                  .incarnation = "weak-1",
                  .peer_address = "weak:7000",
                  .strength = kWeak},
      [&sim] { return std::make_shared<Catalog>(sim.catalog); });
  weak->Begin();
  sim.Run(Millis(2000));
  ASSERT_NE(weak->LocalOwner(), nullptr);
  SimNode strong(&sim, &peers, "strong", 0.5);
  sim.Run(Millis(1000));
  path.delay = Millis(9000);
  // By now starts are held and the term is not over.
  sim.Run(Millis(2000));
  JobSpec job = FleetSim::MakeJob(kJob, 1, 0);
  job.steps[0].lasting = true;
  sim.fleet.RegisterJob(job);
  strong.Submit(job, Millis(1500));
  sim.Run(Millis(100));
  const std::string record = sim.store.Value(RecordKeys().job_prefix + kJob);
  ASSERT_FALSE(record.empty());
  ASSERT_NE(weak->LocalOwner(), nullptr);
  weak->LocalOwner()->OfferJob(kJob, 1, record);
  sim.Run(kLostAfter);
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), 1);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
