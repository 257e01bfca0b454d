// Guards against owners that take an address or a list of instances that no
// longer holds for a sign that a worker's runs have ended.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr int kTasks = 4;
constexpr std::int64_t kFencesPerTerm = 1000000;

JobSpec LastingJob() {
  JobSpec job = FleetSim::MakeJob(kJob, kTasks, 0);
  job.steps[0].lasting = true;
  return job;
}

// A worker starts again under its id at another address while the write of the
// former address is in flight. The owner ends with the former address on its
// record; its successor reaches the worker only after a while.
TEST(StaleRecordTest, AWorkerIsRecordedAtTheAddressAtWhichItGetsTasks) {
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(1000));
  // One answer of the directory's watch shows both.
  const std::string other = sim.fleet.AddWorker("pool");
  sim.fleet.Find(other)->fault = SimFault::kRequestLost;
  sim.fleet.Find(worker)->born_at = sim.timers.Now();
  sim.fleet.ChangeAddress(worker, "elsewhere:2");
  sim.Submit(LastingJob());
  // The write that begins with the watch's answer is the last one.
  const std::int64_t commits = sim.store.commits;
  while (sim.store.commits == commits) sim.Run(Millis(1));
  sim.store.refused_prefixes = {RecordKeys().workers};
  sim.Run(Millis(500));
  sim.fleet.Find(other)->fault = SimFault::kNone;
  sim.store.refused_prefixes.clear();
  sim.fleet.Find(worker)->unreachable_from_fence = 2 * kFencesPerTerm;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(1000));
  sim.fleet.Find(worker)->unreachable_from_fence.reset();
  sim.Run(Millis(15000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

/// Instances by a list that may miss one.
class IncompleteProvider : public InstanceProvider {
 public:
  explicit IncompleteProvider(SimFleet* fleet) : fleet_(fleet) {}

  void List(std::function<void(const InstanceList&)> done) override {
    fleet_->List([this, done](const InstanceList& list) {
      InstanceList shown = list;
      std::erase_if(shown.instances, [this](const Instance& instance) {
        return instance.id == missing;
      });
      done(shown);
    });
  }
  void Move(const std::string& instance, const std::string& pool,
            std::int64_t fence,
            std::function<void(InstanceResult)> done) override {
    fleet_->Move(instance, pool, fence, std::move(done));
  }
  void Maintain(const std::string& instance, std::int64_t wave,
                std::int64_t fence,
                std::function<void(InstanceResult)> done) override {
    fleet_->Maintain(instance, wave, fence, std::move(done));
  }

  std::string missing;

 private:
  SimFleet* fleet_;
};

// A worker is cut off from the owners of two terms, and the list of instances
// misses its instance for a second.
TEST(StaleRecordTest, AWorkerThatAListMissesRunsOnUntilItsLeasesEnd) {
  FleetSim sim;
  IncompleteProvider provider(&sim.fleet);
  sim.instances = &provider;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(LastingJob());
  sim.Run(Millis(300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(1000));
  ASSERT_EQ(sim.fleet.Find(worker)->running.size(),
            static_cast<std::size_t>(kTasks));
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  provider.missing = "m-" + worker;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(2500));
  provider.missing.clear();
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

// Another worker answers at the address that the record has for a worker. The
// worker lives at another address, has no directory entry and is silent.
TEST(StaleRecordTest, AnotherWorkerAtTheRecordedAddressEndsNoRuns) {
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(LastingJob());
  sim.Run(Millis(300));
  sim.fleet.AddWorker("pool");
  sim.Run(Millis(1000));
  sim.fleet.Find(worker)->address_reused = true;
  sim.BeginTerm();
  sim.owner->NoteEarlierOwnerStopped(sim.former_leases);
  sim.Run(Millis(10000));
  EXPECT_EQ(sim.fleet.RunningTasks(kJob), kTasks);
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
