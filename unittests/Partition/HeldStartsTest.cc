// What an owner leaves alone while it may start nothing.
#include <gtest/gtest.h>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr const char* kServing = "00000000000000a1";
constexpr const char* kLate = "00000000000000a2";
constexpr Millis kWatchDelay{9000};
constexpr Millis kStep{100};
/// A stop, a start and the startup of the task.
constexpr Millis kEvictionTime{1000};

/// Two workers, one of which runs a lasting task, and an owner whose watch of
/// the inbox has something to tell and takes 9 s for it. Returns the worker
/// that runs the task.
std::string SetUpOwnerBehindInbox(FleetSim* sim) {
  sim->store.delayed_prefix = RecordKeys().inbox_prefix;
  sim->fleet.AddWorker("pool");
  sim->fleet.AddWorker("pool");
  sim->BeginTerm();
  sim->Run(Millis(300));
  JobSpec lasting = FleetSim::MakeJob(kServing, 1, 0);
  lasting.steps[0].lasting = true;
  sim->Submit(lasting);
  sim->Run(Millis(1500));
  sim->store.watch_delay = kWatchDelay;
  sim->Submit(FleetSim::MakeJob(kLate, 1, 100));
  sim->Run(Millis(2500));
  return sim->fleet.Find("w0")->running.empty() ? "w1" : "w0";
}

/// Time in the next 6 s in which the lasting task has no run.
Millis TimeWithoutRun(FleetSim* sim) {
  Millis away{0};
  for (Millis passed{0}; passed < Millis(6000); passed += kStep) {
    sim->Run(kStep);
    if (sim->fleet.RunningTasks(kServing) == 0) away += kStep;
  }
  return away;
}

TEST(HeldStartsTest, ALastingTaskIsNotEvictedForAWaveWhileStartsAreHeld) {
  FleetSim sim;
  const std::string busy = SetUpOwnerBehindInbox(&sim);
  ASSERT_EQ(sim.fleet.RunningTasks(kServing), 1);
  sim.owner->SetWave({.number = 1,
                      .instances = {"m-" + busy},
                      .ramp_s = 60,
                      .max_at_once = 1});
  EXPECT_LE(TimeWithoutRun(&sim), kEvictionTime);
}

TEST(HeldStartsTest, ALastingTaskStaysOnADrainingWorkerWhileStartsAreHeld) {
  FleetSim sim;
  const std::string busy = SetUpOwnerBehindInbox(&sim);
  ASSERT_EQ(sim.fleet.RunningTasks(kServing), 1);
  sim.fleet.Drain(busy);
  EXPECT_LE(TimeWithoutRun(&sim), kEvictionTime);
}

/// Once the inbox has been read the task is moved.
TEST(HeldStartsTest, ALastingTaskIsEvictedAfterTheInboxHasBeenRead) {
  FleetSim sim;
  const std::string busy = SetUpOwnerBehindInbox(&sim);
  sim.fleet.Drain(busy);
  sim.store.watch_delay = Millis(0);
  sim.Run(kWatchDelay + Millis(2000));
  EXPECT_TRUE(sim.fleet.Find(busy)->running.empty());
  EXPECT_EQ(sim.fleet.RunningTasks(kServing), 1);
}

}  // namespace
}  // namespace basilusher
