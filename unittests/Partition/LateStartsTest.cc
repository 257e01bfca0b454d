// Guards against bounds of unanswered starts that end while a later incarnation
// of the worker may still run one of them.
#include <gtest/gtest.h>

#include "basilusher/Partition/LateStarts.h"
#include "basilusher/Partition/WorkerLease.h"

namespace basilusher {
namespace {

constexpr Millis kLongestLease{10200};
constexpr TimePoint kSentAt{Millis(5000)};

LateStart StartOf(int index, bool lasting = false) {
  return {.task = {.job = "00000000000000a1",
                   .occurrence = 0,
                   .step = 0,
                   .index = index},
          .run = 1,
          .sent_at = kSentAt,
          .lasting = lasting};
}

class LateStartsTest : public ::testing::Test {
 protected:
  std::size_t ExpiredAt(TimePoint now, bool gone) {
    return ExpiredAt(now, LateStartWorker{.gone = gone});
  }
  std::size_t ExpiredAt(TimePoint now, const LateStartWorker& worker) {
    return starts
        .TakeExpired(now, [worker](const std::string&,
                                   const LateStart&) { return worker; })
        .size();
  }

  LateStarts starts{kLongestLease};
};

TEST_F(LateStartsTest, ALeaseCountsFromTheLastMomentOfExecution) {
  starts.Note("w1", StartOf(0));
  const TimePoint end = kSentAt + kMaxCallDelay + kLongestLease;
  EXPECT_EQ(ExpiredAt(end - Millis(1), false), 0);
  EXPECT_TRUE(starts.MayHappenOn("w1"));
  EXPECT_EQ(ExpiredAt(end, false), 1);
  EXPECT_FALSE(starts.MayHappenOn("w1"));
}

TEST_F(LateStartsTest, AWorkerThatIsGoneMayReturnWhileTheCallIsOnItsWay) {
  starts.Note("w1", StartOf(0));
  const TimePoint end = kSentAt + kMaxCallDelay;
  EXPECT_EQ(ExpiredAt(end - Millis(1), true), 0);
  EXPECT_EQ(ExpiredAt(end, true), 1);
}

TEST_F(LateStartsTest, ALastingTaskDoesNotWaitForADeadWorker) {
  starts.Note("w1", StartOf(0, /*lasting=*/true));
  EXPECT_EQ(ExpiredAt(kSentAt + kMaxCallDelay, false), 0);
  EXPECT_EQ(ExpiredAt(kSentAt, true), 1);
}

// Guards against a start that counts as settled for good by the report of one
// incarnation, though the next one may execute it.
TEST_F(LateStartsTest, AReportSettlesAStartOnlyOnceNoOtherCanExecuteIt) {
  starts.Note("w1", StartOf(0));
  const TimePoint end = kSentAt + kMaxCallDelay;
  EXPECT_EQ(ExpiredAt(end, {.reported_at = end - Millis(1)}), 0);
  EXPECT_EQ(ExpiredAt(end, {.reported_at = end}), 1);
}

// A report settles no start that was sent after it was asked for.
TEST_F(LateStartsTest, AnEarlierReportSettlesNothing) {
  starts.Note("w1", StartOf(0));
  EXPECT_EQ(
      ExpiredAt(kSentAt + kMaxCallDelay, {.reported_at = kSentAt - Millis(1)}),
      0);
}

TEST_F(LateStartsTest, AWorkerWithoutAnAddressTakesItsStartsOnly) {
  starts.Note("w1", StartOf(0));
  starts.Note("w1", StartOf(1));
  starts.Note("w2", StartOf(2));
  EXPECT_EQ(starts.RemoveAllOn("w1").size(), 2);
  EXPECT_FALSE(starts.MayHappenOn("w1"));
  EXPECT_TRUE(starts.MayHappenOn("w2"));
  EXPECT_TRUE(starts.RemoveAllOn("w1").empty());
}

TEST_F(LateStartsTest, AStartThatWasExecutedIsRemovedAlone) {
  starts.Note("w1", StartOf(0));
  starts.Note("w1", StartOf(1));
  EXPECT_TRUE(starts.Remove(StartOf(0).task, 1));
  EXPECT_FALSE(starts.Remove(StartOf(0).task, 1));
  EXPECT_FALSE(starts.Remove(StartOf(1).task, 2));
  EXPECT_TRUE(starts.WorkersOf(StartOf(0).task).empty());
  EXPECT_EQ(starts.WorkersOf(StartOf(1).task), std::set<std::string>{"w1"});
}

// Two owners may tell of one start.
TEST_F(LateStartsTest, AStartIsKeptOnce) {
  starts.Note("w1", StartOf(0));
  starts.Note("w1", StartOf(0));
  EXPECT_EQ(starts.RemoveAllOn("w1").size(), 1);
}

}  // namespace
}  // namespace basilusher
