// Tests of the pace of fillers that share a worker with tasks that serve users.
#include <gtest/gtest.h>

#include "FleetSim.h"
#include "basilusher/Schedule/Pacing.h"

namespace basilusher {
namespace {

constexpr const char* kServing = "00000000000000a1";
constexpr const char* kFilling = "00000000000000a2";
constexpr std::int64_t kTargetMs = 50;
/// The tail latency stays above its target for less than this time.
constexpr Millis kMaxTimeAboveTarget{4000};

class PacingTest : public ::testing::Test {
 protected:
  PacingTest() {
    worker = sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
    JobSpec serving = FleetSim::MakeJob(kServing, 1, 0);
    serving.steps[0].lasting = true;
    serving.steps[0].target_ms = kTargetMs;
    sim.Submit(serving);
    JobSpec filling = FleetSim::MakeJob(kFilling, 2, 60000);
    filling.steps[0].filler = true;
    sim.Submit(filling);
    sim.Run(Millis(1000));
  }

  /// Longest continuous time for which the tail latency was above its target.
  Millis LongestTimeAboveTarget(Millis duration) {
    Millis longest{0};
    Millis above_target{0};
    for (Millis t{0}; t < duration; t += Millis(50)) {
      sim.Run(Millis(50));
      const bool high =
          sim.fleet.TailLatencyMs(*sim.fleet.Find(worker)) > kTargetMs;
      above_target = high ? above_target + Millis(50) : Millis(0);
      longest = std::max(longest, above_target);
    }
    return longest;
  }

  int PaceOfFillers() {
    int pace = -1;
    for (const auto& [task, run] : sim.fleet.Find(worker)->running) {
      if (run.filler) pace = run.pace;
    }
    return pace;
  }

  FleetSim sim;
  std::string worker;
};

TEST_F(PacingTest, FillersThatRaiseTheTailLatencyAreSlowedInTime) {
  ASSERT_EQ(sim.fleet.RunningTasks(kServing), 1);
  ASSERT_EQ(sim.fleet.RunningTasks(kFilling), 2);
  EXPECT_EQ(PaceOfFillers(), 100);
  sim.fleet.Find(worker)->filler_tail_ms = 200;
  EXPECT_LT(LongestTimeAboveTarget(Millis(20000)), kMaxTimeAboveTarget);
  EXPECT_LT(PaceOfFillers(), 10);
}

TEST_F(PacingTest, FillersReturnToFullPaceWhenTheTailLatencyIsLow) {
  sim.fleet.Find(worker)->filler_tail_ms = 200;
  sim.Run(Millis(6000));
  sim.fleet.Find(worker)->filler_tail_ms = 0;
  sim.Run(Millis(16000));
  EXPECT_EQ(PaceOfFillers(), 100);
}

TEST_F(PacingTest, ANewOwnerSetsThePaceAgain) {
  sim.fleet.Find(worker)->filler_tail_ms = 200;
  sim.Run(Millis(6000));
  ASSERT_LT(PaceOfFillers(), 100);
  sim.fleet.Find(worker)->filler_tail_ms = 0;
  sim.BeginTerm();
  sim.Run(Millis(3000));
  EXPECT_EQ(PaceOfFillers(), 100);
}

TEST(FillerPaceControllerTest, AModestInterferenceSettlesWithoutOscillation) {
  FillerPaceController pace;
  TimePoint now{Millis(1000000)};
  int changes = 0;
  int last = 100;
  for (int i = 0; i < 100; ++i) {
    now += Millis(400);
    const std::int64_t tail = 20 + 40 * pace.Percent() / 100;
    const int percent =
        pace.Update({{.tail_ms = tail, .target_ms = kTargetMs}}, now);
    if (percent != last) ++changes;
    last = percent;
  }
  EXPECT_GE(last, 30);
  EXPECT_LE(changes, 20);
}

}  // namespace
}  // namespace basilusher
