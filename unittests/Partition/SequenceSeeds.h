// Seeds of random sequences, and checks that all sequences make.
#ifndef BASILUSHER_UNITTESTS_PARTITION_SEQUENCESEEDS_H_
#define BASILUSHER_UNITTESTS_PARTITION_SEQUENCESEEDS_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <string>

#include "../Jobs/JobCounts.h"
#include "FleetSim.h"

namespace basilusher {

/// Time between two checks of the owner's counts.
inline constexpr Millis kCheckPeriod{100};
/// Latest end of a lease of an owner that ended without a word, after the next
/// term's begin: its grace of 8 s, and the longest lease by the owner's clock.
inline constexpr Millis kEarlierLeases{18300};

/// Runs `sequence` for each seed until one fails: `seeds` of them, or as many
/// as BASILUSHER_SEEDS says, from 20261204 or BASILUSHER_FIRST_SEED on. With
/// BASILUSHER_ALL_FAILURES it goes on after a failure.
inline void RunSeeds(int seeds,
                     const std::function<void(std::uint64_t)>& sequence) {
  constexpr int kFirstSeed = 20261204;
  const char* seeds_text = std::getenv("BASILUSHER_SEEDS");
  const char* first_text = std::getenv("BASILUSHER_FIRST_SEED");
  if (seeds_text != nullptr) seeds = std::atoi(seeds_text);
  const int first = first_text == nullptr ? kFirstSeed : std::atoi(first_text);
  const bool go_on = std::getenv("BASILUSHER_ALL_FAILURES") != nullptr;
  for (int i = 0; i < seeds; ++i) {
    const int seed = first + i;
    SCOPED_TRACE("seed " + std::to_string(seed));
    sequence(static_cast<std::uint64_t>(seed));
    if (testing::Test::HasFailure() && !go_on) return;
  }
}

/// Advances the simulation and checks the counts of the owner's jobs. Stops
/// checking at the first mismatch.
inline void RunChecked(FleetSim* sim, Millis duration) {
  bool matches = true;
  while (duration > Millis(0)) {
    const Millis slice = std::min(duration, kCheckPeriod);
    sim->Run(slice);
    duration -= slice;
    if (!matches) continue;
    for (const auto& [id, job] : sim->owner->Jobs().All()) {
      const std::string mismatch = CheckCounts(*job);
      if (mismatch.empty()) continue;
      matches = false;
      ADD_FAILURE() << "counts of "
                    << sim->timers.Now().time_since_epoch().count() << ": "
                    << mismatch;
      break;
    }
  }
}

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_PARTITION_SEQUENCESEEDS_H_
