// A round of placement in a full pool.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "basilusher/Schedule/Placement.h"

namespace basilusher {
namespace {

/// A peak: a backlog of steps of many sizes, and workers with little room left.
/// What the memo skips, no worker has room for.
TEST(FullPoolMemo, SkipsOnlyWhatHasNoRoom) {
  std::mt19937 random(1);
  const auto below = [&random](std::int64_t bound) {
    return static_cast<std::int64_t>(random()) % bound;
  };
  int skipped = 0;
  for (int round = 0; round < 50; ++round) {
    std::vector<WorkerCapacity> pool(20);
    std::vector<WorkerCapacity*> workers;
    for (WorkerCapacity& worker : pool) {
      worker.room = {.cpu_millis = 32000, .memory_mb = 131072};
      worker.used = {.cpu_millis = 24000 + below(8000),
                     .memory_mb = 90000 + below(41000)};
      workers.push_back(&worker);
    }
    FullPoolMemo memo;
    for (int step = 0; step < 200; ++step) {
      const Resources charge = {.cpu_millis = 1000 + below(13000),
                                .memory_mb = 1000 + below(38000)};
      const bool has_room = AnyHasRoom(charge, workers);
      if (memo.HasNoRoomFor(charge)) {
        ++skipped;
        EXPECT_FALSE(has_room);
      } else if (!has_room) {
        memo.Add(charge);
      }
    }
  }
  EXPECT_GT(skipped, 0);
}

TEST(FullPoolMemo, ASmallerChargeIsStillTried) {
  FullPoolMemo memo;
  memo.Add({.cpu_millis = 4000, .memory_mb = 2000});
  EXPECT_TRUE(memo.HasNoRoomFor({.cpu_millis = 4000, .memory_mb = 2000}));
  EXPECT_TRUE(memo.HasNoRoomFor({.cpu_millis = 5000, .memory_mb = 2000}));
  EXPECT_FALSE(memo.HasNoRoomFor({.cpu_millis = 3999, .memory_mb = 9000}));
  EXPECT_FALSE(memo.HasNoRoomFor({.cpu_millis = 9000, .memory_mb = 1999}));
}

}  // namespace
}  // namespace basilusher
