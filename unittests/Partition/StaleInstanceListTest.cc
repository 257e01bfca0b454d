// Guards against an owner that takes an instance down while its worker has
// tasks: after an order without an answer, or by a stale list of instances,
// when another worker has started on the instance.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr Millis kCallTimeout{1000};

/// The simulated provider, with stale lists and lost calls. Gives the instance
/// `shown` another worker: its entry and its maintenance are those of the
/// instance `hidden`, which is not listed.
class StaleProvider : public InstanceProvider {
 public:
  explicit StaleProvider(FleetSim* sim) : sim_(sim) {}

  void List(std::function<void(const InstanceList&)> done) override {
    if (unavailable) {
      sim_->timers.After(kCallTimeout, [done] { done({}); });
      return;
    }
    if (stale) {
      sim_->timers.After(Millis(1), [done, list = last_] { done(list); });
      return;
    }
    sim_->fleet.List([this, done](const InstanceList& list) {
      last_ = list;
      std::string worker;
      std::erase_if(last_.instances, [&](const Instance& instance) {
        if (instance.id != hidden) return false;
        worker = instance.worker;
        return true;
      });
      for (Instance& instance : last_.instances) {
        if (instance.id == shown && !hidden.empty()) instance.worker = worker;
      }
      done(last_);
    });
  }
  void Move(const std::string&, const std::string&, std::int64_t,
            std::function<void(InstanceResult)> done) override {
    done(InstanceResult::kRefused);
  }
  void Maintain(const std::string& id, std::int64_t wave, std::int64_t fence,
                std::function<void(InstanceResult)> done) override {
    ++orders;
    if (unresponsive) {
      sim_->timers.After(kCallTimeout,
                         [done] { done(InstanceResult::kUnknown); });
      return;
    }
    sim_->fleet.Maintain(id == shown && !hidden.empty() ? hidden : id, wave,
                         fence, done);
  }

  /// List() is not answered.
  bool unavailable = false;
  /// List() repeats the last list.
  bool stale = false;
  /// Maintenance orders have no effect and time out.
  bool unresponsive = false;
  /// The instance that is listed with the worker of `hidden`.
  std::string shown;
  std::string hidden;
  int orders = 0;

 private:
  FleetSim* sim_;
  InstanceList last_;
};

/// An owner with three workers, two of which run lasting tasks.
class StaleInstanceListTest : public ::testing::Test {
 protected:
  StaleInstanceListTest() {
    sim.catalog.pools.erase("spare");
    for (int i = 0; i < 3; ++i) sim.fleet.AddWorker("pool");
    owner = std::make_shared<PartitionOwner>(
        OwnerDependencies{.store = &sim.store,
                          .workers = &sim.fleet,
                          .instances = &provider,
                          .timers = &sim.timers,
                          .clock = &sim.timers,
                          .formats = &sim.formats},
        OwnerOptions{.node = "node",
                     .term = 1,
                     .term_revision = sim.store.Put(RecordKeys().owner, "1")},
        PartitionOwner::Listener{
            .on_deposed = [] {},
            .confirmed_until =
                [this] { return sim.timers.Now() + Millis(1500); }});
    owner->Begin(std::make_shared<Catalog>(sim.catalog));
    sim.Run(Millis(300));
    Submit(kJob, 2);
    sim.Run(Millis(1000));
    for (const std::string& id : sim.fleet.AliveWorkerIds()) {
      if (sim.fleet.Find(id)->running.empty()) idle = id;
    }
    wave.instances = {"m-" + idle};
  }
  ~StaleInstanceListTest() override { owner->Close(); }
  StaleInstanceListTest(const StaleInstanceListTest&) = delete;
  StaleInstanceListTest& operator=(const StaleInstanceListTest&) = delete;

  void Submit(const std::string& id, int tasks) {
    JobSpec job = FleetSim::MakeJob(id, tasks, 0);
    job.steps[0].lasting = true;
    job.steps[0].max_per_worker = 1;
    job.offered_term = 1;
    sim.Submit(job);
  }

  /// Crashes the idle worker; a new one starts on its instance and gets a task.
  void ReplaceIdleWorker() {
    sim.fleet.Crash(idle);
    sim.Run(Millis(1200));
    provider.shown = "m-" + idle;
    const std::string fresh = sim.fleet.AddWorker("pool");
    provider.hidden = "m-" + fresh;
    sim.Run(Millis(100));
    Submit("00000000000000b2", 3);
    sim.Run(Millis(200));
    ASSERT_EQ(sim.fleet.Find(fresh)->running.size(), 1U);
  }

  FleetSim sim;
  StaleProvider provider{&sim};
  std::shared_ptr<PartitionOwner> owner;
  std::string idle;
  MaintenanceWave wave{.number = 1, .ramp_s = 20, .max_at_once = 1};
};

TEST_F(StaleInstanceListTest, AnOrderIsNotRepeatedForANewWorkerThatHasTasks) {
  provider.unresponsive = true;
  owner->SetWave(wave);
  sim.Run(Millis(500));
  ASSERT_GT(provider.orders, 0);
  ReplaceIdleWorker();
  sim.Run(Millis(1500));
  provider.unresponsive = false;
  sim.Run(Millis(3000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(StaleInstanceListTest, AWorkerThatDoesNotAnswerIsNotTakenForIdle) {
  provider.stale = true;
  ReplaceIdleWorker();
  owner->SetWave(wave);
  sim.Run(Millis(500));
  provider.stale = false;
  sim.Run(Millis(3000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// One list misses an instance, and no list is read for a while after it.
TEST_F(StaleInstanceListTest,
       AWaveIsNotFinishedByAnOldListThatMissesItsInstance) {
  provider.hidden = wave.instances.front();
  sim.Run(Millis(1100));
  provider.unavailable = true;
  owner->SetWave(wave);
  sim.Run(Millis(7000));
  EXPECT_EQ(sim.store.Value(sim.formats.WaveStatusKey(wave.number)),
            sim.formats.EncodeWaveStatus(false));
  provider.hidden.clear();
  provider.unavailable = false;
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.peak_in_maintenance, 1);
  EXPECT_EQ(sim.store.Value(sim.formats.WaveStatusKey(wave.number)),
            sim.formats.EncodeWaveStatus(true));
}

/// An instance that no list shows any more holds its wave up no longer.
TEST_F(StaleInstanceListTest, AWaveIsFinishedWithoutAnInstanceThatIsGone) {
  provider.hidden = wave.instances.front();
  owner->SetWave(wave);
  sim.Run(Millis(8500));
  EXPECT_EQ(sim.store.Value(sim.formats.WaveStatusKey(wave.number)),
            sim.formats.EncodeWaveStatus(true));
}

}  // namespace
}  // namespace basilusher
