// What an owner still tells while the store is silent for all.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr int kJobs = 10;

/// Nothing is accepted meanwhile, so that what the owner knows stays true.
TEST(SilentStoreTest, WaitingJobsAreCountedWhileTheStoreIsSilent) {
  FleetSim sim;
  sim.BeginTerm();
  sim.Run(Millis(300));
  for (int i = 0; i < kJobs; ++i) {
    sim.Submit(
        FleetSim::MakeJob("00000000000000b" + std::to_string(i), 1, 500));
  }
  sim.Run(Millis(500));
  sim.store.fault = SimFault::kRequestLost;
  for (int passed_ms = 0; passed_ms < 7000; passed_ms += 500) {
    sim.Run(Millis(500));
    EXPECT_EQ(sim.owner->Pending("queue"), kJobs) << passed_ms;
  }
}

/// A room that has shrunk counts from 4 s on. The worker tells the store; the
/// owner, which alone does not hear the store, still starts tasks.
TEST(SilentStoreTest, ARoomThatShrankWhileTheStoreIsSilentIsNotFilled) {
  FleetSim sim;
  const std::string worker = sim.fleet.AddWorker("pool");
  sim.BeginTerm();
  sim.Run(Millis(300));
  sim.Submit(FleetSim::MakeJob("00000000000000a1", 16, 5500));
  sim.Run(Millis(100));
  sim.Submit(FleetSim::MakeJob("00000000000000a2", 16, 1000));
  sim.Run(Millis(400));
  sim.store.fault = SimFault::kRequestLost;
  sim.fleet.SetRoom(worker, {.cpu_millis = 8000, .memory_mb = 65536});
  sim.Run(Millis(8000));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

}  // namespace
}  // namespace basilusher
