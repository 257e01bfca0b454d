// Guards against rounds of placement that take all of the event loop while many
// jobs wait, so that the owner's lease is not renewed.
#include <gtest/gtest.h>

#include "basilusher/Schedule/RoundPacer.h"

namespace basilusher {
namespace {

constexpr Millis kLeast{1};

TEST(RoundPacerTest, RoundsAskedForAllTheTimeTakeHalfOfIt) {
  RoundPacer pacer;
  TimePoint now{Millis(1000)};
  const TimePoint began_at = now;
  Millis in_rounds{0};
  for (int n = 0; n < 20; ++n) {
    now += pacer.DelayFrom(now, kLeast);
    ASSERT_TRUE(pacer.MayBegin(now));
    const Millis took(50 + 20 * (n % 3));
    pacer.NoteRound(now, now + took);
    now += took;
    in_rounds += took;
  }
  EXPECT_LE(2 * in_rounds, now - began_at + Millis(100));
}

TEST(RoundPacerTest, ShortRoundsAreNotDelayed) {
  RoundPacer pacer;
  const TimePoint now{Millis(1000)};
  EXPECT_TRUE(pacer.MayBegin(now));
  pacer.NoteRound(now, now);
  EXPECT_TRUE(pacer.MayBegin(now));
  EXPECT_EQ(pacer.DelayFrom(now, kLeast), kLeast);
}

}  // namespace
}  // namespace basilusher
