// Guards against questions that wait for their turn longer than for their
// answer, and against a question that is given up and asked again without
// bound.
#include <gtest/gtest.h>

#include "basilusher/Schedule/AdviceWindow.h"

namespace basilusher {
namespace {

constexpr Millis kAnswerTime{340};
constexpr TimePoint kBegan{Millis(5000)};

TEST(AdviceWindowTest, OneQuestionWaitsBehindAnother) {
  AdviceWindow window;
  const AdviceWindow::Question first = window.Begin(kBegan, kAnswerTime);
  const AdviceWindow::Question second = window.Begin(kBegan, kAnswerTime);
  EXPECT_FALSE(window.MayAsk(kBegan));
  EXPECT_GE(first.timeout, kAnswerTime);
  EXPECT_GE(second.timeout, 2 * kAnswerTime);
  window.End(first, kBegan + kAnswerTime, /*answered=*/true);
  EXPECT_TRUE(window.MayAsk(kBegan + kAnswerTime));
}

// Whatever the answers take, the time-out covers the questions before.
TEST(AdviceWindowTest, ATimeOutCoversTheAnswersBefore) {
  for (const Millis answer_time : {Millis(0), Millis(5), Millis(60000)}) {
    AdviceWindow window;
    window.Begin(kBegan, answer_time);
    const AdviceWindow::Question second = window.Begin(kBegan, answer_time);
    EXPECT_GT(second.timeout, 2 * answer_time);
  }
}

TEST(AdviceWindowTest, UnansweredQuestionsBecomeRarer) {
  AdviceWindow window;
  TimePoint now = kBegan;
  Millis last{0};
  for (int i = 0; i < 4; ++i) {
    ASSERT_TRUE(window.MayAsk(now));
    const AdviceWindow::Question question = window.Begin(now, kAnswerTime);
    EXPECT_FALSE(i > 0 && window.MayAsk(now));
    EXPECT_GE(question.timeout, last);
    last = question.timeout;
    now += question.timeout;
    window.End(question, now, /*answered=*/false);
    EXPECT_FALSE(window.MayAsk(now));
    now += Millis(2400);
  }
  EXPECT_EQ(window.Failures(), 4);
  const AdviceWindow::Question question = window.Begin(now, kAnswerTime);
  window.End(question, now + kAnswerTime, /*answered=*/true);
  EXPECT_EQ(window.Failures(), 0);
  EXPECT_LT(window.Begin(now + kAnswerTime, kAnswerTime).timeout, last);
}

// A refusal does not show that answers take longer.
TEST(AdviceWindowTest, ARefusalIsFollowedByAPauseOnly) {
  AdviceWindow window;
  const AdviceWindow::Question refused = window.Begin(kBegan, kAnswerTime);
  window.End(refused, kBegan + Millis(1), /*answered=*/false);
  EXPECT_FALSE(window.MayAsk(kBegan + Millis(1)));
  const TimePoint later = kBegan + Millis(3000);
  EXPECT_TRUE(window.MayAsk(later));
  EXPECT_EQ(window.Begin(later, kAnswerTime).timeout, refused.timeout);
}

}  // namespace
}  // namespace basilusher
