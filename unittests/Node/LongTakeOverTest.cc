// Guards against a take-over that never ends: a node that reads so many records
// that it does not renew its lease meanwhile.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "LeasePath.h"
#include "SimNode.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr int kJobs = 4000;
/// More than two leases of a node, over all jobs.
constexpr Millis kTimePerJob{1};
/// More than the time after which an owner that does not come on with its
/// loading is replaced.
constexpr Millis kLongTimePerJob{2};

/// Lets each job that an owner takes up cost time of its event loop.
class CostlyJobs : public LogSink {
 public:
  CostlyJobs(SimTimers* timers, const Millis* time_per_job)
      : timers_(timers), time_per_job_(time_per_job) {}
  void Write(LogLevel, const std::string& line) override {
    if (line.find("\"job-known\"") != std::string::npos) {
      timers_->Stall(*time_per_job_);
    }
  }

 private:
  SimTimers* timers_;
  const Millis* time_per_job_;
};

std::string JobId(int n) {
  std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

class LongTakeOverTest : public ::testing::Test {
 protected:
  LongTakeOverTest() {
    OpenLogOn("test", LogLevel::kInfo,
              std::make_unique<CostlyJobs>(&sim.timers, &time_per_job));
    sim.fleet.AddWorker("pool");
    for (int n = 0; n < kJobs; ++n) {
      JobSpec job = FleetSim::MakeJob(JobId(n), 1, 500);
      job.accepted_unix_ms = WallMicros() / 1000;
      sim.fleet.RegisterJob(job);
      sim.store.Put(RecordKeys().job_prefix + job.id, EncodeJobSpec(job));
    }
    agent = std::make_shared<NodeAgent>(
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
        [this] { return std::make_shared<Catalog>(sim.catalog); });
  }
  ~LongTakeOverTest() override { CloseLog(); }

  Millis time_per_job = kTimePerJob;
  FleetSim sim;
  SimPeers peers{&sim.timers};
  LeasePath path{&sim.store, &sim.timers};
  std::shared_ptr<NodeAgent> agent;
};

TEST_F(LongTakeOverTest, ANodeKeepsItsLeaseWhileItLoadsMoreThanALeaseAllows) {
  agent->Begin();
  sim.Run(Millis(10000));
  EXPECT_EQ(path.leases_ended, 0);
  ASSERT_NE(agent->LocalOwner(), nullptr);
  EXPECT_EQ(agent->OwnerTerm(), 1);
  // One worker with room for some runs has started its first jobs.
  EXPECT_GT(sim.fleet.StartedRuns(), 0);
}

TEST_F(LongTakeOverTest, AnOwnerThatComesOnWithItsLoadingIsNotReplaced) {
  sim.store.Put(RecordKeys().node_prefix + "b",
                Json({{"address", "b:7000"}, {"strength", 0.5}}).dump());
  time_per_job = kLongTimePerJob;
  agent->Begin();
  sim.Run(Millis(12000));
  ASSERT_NE(agent->LocalOwner(), nullptr);
  EXPECT_EQ(agent->OwnerTerm(), 1);
}

/// A successor would load for longer than the owner is behind.
TEST_F(LongTakeOverTest, AnOwnerThatIsBehindForLessThanALoadIsNotReplaced) {
  agent->Begin();
  sim.Run(Millis(8000));
  ASSERT_NE(agent->LocalOwner(), nullptr);
  sim.store.Put(RecordKeys().node_prefix + "b",
                Json({{"address", "b:7000"}, {"strength", 0.5}}).dump());
  sim.store.delayed_prefix = RecordKeys().inbox_prefix;
  // One answer comes 3.5 s late.
  sim.store.watch_delay = Millis(3500);
  sim.Run(Millis(600));
  sim.store.watch_delay = Millis(0);
  sim.Run(Millis(8000));
  EXPECT_NE(agent->LocalOwner(), nullptr);
  EXPECT_EQ(agent->OwnerTerm(), 1);
}

}  // namespace
}  // namespace basilusher
