// Guards against delayed tasks that are lost, repeated or run in another order
// when their timers are used again.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "TestLoop.h"

namespace basilusher {
namespace {

TEST(IoLoopTest, TasksThatPlanTasksRunInTurn) {
  IoLoop loop;
  std::string order;
  loop.After(Millis(0), [&] {
    order += "a";
    loop.After(Millis(0), [&] {
      order += "c";
      loop.After(Millis(0), [&] {
        order += "d";
        loop.Stop();
      });
    });
  });
  loop.After(Millis(0), [&] { order += "b"; });
  loop.Run();
  EXPECT_EQ(order, "abcd");
}

TEST(IoLoopTest, ABurstLargerThanTheSpareTimersRunsOnceEach) {
  constexpr int kBurst = 3000;
  IoLoop loop;
  int runs = 0;
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < kBurst; ++i) {
      loop.After(Millis(0), [&] {
        if (++runs % kBurst == 0) loop.Stop();
      });
    }
    loop.Run();
    loop.Get()->context.restart();
  }
  EXPECT_EQ(runs, 2 * kBurst);
  EXPECT_LE(loop.Get()->spare_timers.size(), IoLoop::Impl::kMaxSpareTimers);
}

/// What a task holds may refer to what is destroyed next.
TEST(IoLoopTest, ATaskThatHasRunHoldsNothing) {
  IoLoop loop;
  const std::shared_ptr<int> held = std::make_shared<int>(0);
  loop.After(Millis(0), [&loop, held] { loop.Stop(); });
  loop.Run();
  EXPECT_EQ(held.use_count(), 1);
}

TEST(IoLoopTest, AWaitingTaskIsDroppedWithItsLoop) {
  const std::shared_ptr<int> held = std::make_shared<int>(0);
  {
    IoLoop loop;
    loop.After(Millis(100000), [held] {});
    EXPECT_EQ(held.use_count(), 2);
  }
  EXPECT_EQ(held.use_count(), 1);
}

}  // namespace
}  // namespace basilusher
