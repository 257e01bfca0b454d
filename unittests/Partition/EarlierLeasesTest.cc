// Bounds of earlier owners' leases, by what the previous owner told.
#include <gtest/gtest.h>

#include "basilusher/Partition/EarlierLeases.h"

namespace basilusher {
namespace {

constexpr Millis kUsual{4000};
constexpr Millis kLongest{10000};
constexpr Millis kGrace{8000};
constexpr TimePoint kBegan{Millis(1000000)};
constexpr char kWorker[] = "w1";
constexpr char kOther[] = "w2";

class EarlierLeasesTest : public ::testing::Test {
 protected:
  EarlierLeases leases{
      {.usual = kUsual, .longest = kLongest, .owner_grace = kGrace}, kBegan};
};

TEST_F(EarlierLeasesTest, LeasesCountFromTheEndOfThePreviousTerm) {
  leases.NotePreviousEnded(
      kBegan,
      {.term = 1, .ended_ago = Millis(3000), .long_leases = LongLeases()});
  EXPECT_EQ(leases.EndOn(kWorker), kBegan + Millis(1000));
}

TEST_F(EarlierLeasesTest, LongerUsualLeasesOfThePreviousOwnerCount) {
  leases.NotePreviousEnded(kBegan, {.term = 1,
                                    .ended_ago = Millis(3000),
                                    .long_leases = LongLeases(),
                                    .usual_lease = Millis(6000)});
  EXPECT_EQ(leases.EndOn(kWorker), kBegan + Millis(3000));
}

TEST_F(EarlierLeasesTest, NothingIsAwaitedOfATermThatEndedLongAgo) {
  leases.NotePreviousEnded(
      kBegan,
      {.term = 1, .ended_ago = Millis(60000), .long_leases = LongLeases()});
  EXPECT_LE(leases.LatestEnd(), kBegan);
}

TEST_F(EarlierLeasesTest, UnknownLongLeasesCountFromTheEndOfTheTerm) {
  leases.NotePreviousEnded(kBegan, {.term = 1, .ended_ago = Millis(3000)});
  EXPECT_EQ(leases.EndOn(kWorker), kBegan + kLongest - Millis(3000));
}

TEST_F(EarlierLeasesTest, LeasesOfOwnersBeforeThePreviousOneAreAwaited) {
  leases.NotePreviousEnded(kBegan, {.term = 2,
                                    .ended_ago = Millis(3000),
                                    .long_leases = LongLeases(),
                                    .earlier_left = Millis(7000)});
  EXPECT_EQ(leases.EndOn(kWorker), kBegan + Millis(7000));
}

TEST_F(EarlierLeasesTest, AnOwnerThatKnewNothingDoesNotLengthenTheBound) {
  const TimePoint bound = leases.LatestEnd();
  leases.NotePreviousEnded(
      kBegan,
      {.term = 2, .long_leases = LongLeases(), .earlier_left = Millis(60000)});
  EXPECT_EQ(leases.LatestEnd(), bound);
}

TEST_F(EarlierLeasesTest, AStoppedOwnerThatToldNothingOfOthersShortensNothing) {
  const TimePoint bound = leases.LatestEnd();
  leases.NotePreviousStopped(kBegan, LongLeases());
  EXPECT_EQ(leases.LatestEnd(), bound);
  leases.NoteOnlyPreviousGaveLeases();
  EXPECT_EQ(leases.LatestEnd(), kBegan + kUsual);
}

TEST_F(EarlierLeasesTest, AWordAfterAnAnswerWithoutOneShortens) {
  leases.NotePreviousStopped(kBegan + Millis(500), std::nullopt);
  leases.NotePreviousEnded(
      kBegan + Millis(900),
      {.term = 1, .ended_ago = Millis(2000), .long_leases = LongLeases()});
  EXPECT_EQ(leases.EndOn(kWorker), kBegan + Millis(900 - 2000) + kUsual);
}

TEST_F(EarlierLeasesTest, ALongLeaseIsAwaitedOnItsWorker) {
  leases.NotePreviousEnded(
      kBegan, {.term = 1,
               .ended_ago = Millis(3000),
               .long_leases = LongLeases{{kWorker, Millis(6000)}}});
  EXPECT_EQ(leases.EndOn(kWorker), kBegan + Millis(6000));
  EXPECT_EQ(leases.EndOn(kOther), kBegan + Millis(1000));
  EXPECT_EQ(leases.LatestEnd(), kBegan + Millis(6000));
}

TEST(EndedTermTest, AnotherClockMayRunFasterOrSlower) {
  const std::optional<EndedTerm> heard = DecodeEndedTerm(
      EncodeEndedTerm({.term = 7,
                       .ended_ago = Millis(10000),
                       .long_leases = LongLeases{{kWorker, Millis(9800)}},
                       .earlier_left = Millis(4900)}));
  ASSERT_TRUE(heard && heard->long_leases);
  EXPECT_EQ(heard->term, 7);
  EXPECT_EQ(heard->ended_ago, Millis(9800));
  EXPECT_GE(heard->long_leases->at(kWorker), Millis(10000));
  EXPECT_GE(heard->earlier_left, Millis(5000));
}

TEST(EndedTermTest, AgesByWhatHasPassed) {
  const EndedTerm aged =
      Aged({.term = 7,
            .ended_ago = Millis(100),
            .long_leases =
                LongLeases{{kWorker, Millis(900)}, {kOther, Millis(2000)}},
            .earlier_left = Millis(500)},
           Millis(1000));
  EXPECT_EQ(aged.ended_ago, Millis(1100));
  EXPECT_EQ(aged.earlier_left, Millis(0));
  EXPECT_EQ(aged.long_leases, (LongLeases{{kOther, Millis(1000)}}));
}

TEST(EndedTermTest, MalformedMessagesAreRejected) {
  const Json good = EncodeEndedTerm({.term = 7, .ended_ago = Millis(100)});
  ASSERT_TRUE(DecodeEndedTerm(good));
  for (const char* field : {"term", "ended_ago_ms", "earlier_left_ms"}) {
    for (const Json& value :
         {Json(), Json(-1), Json("5"), Json(1e300), Json::array()}) {
      Json bad = good;
      bad[field] = value;
      EXPECT_FALSE(DecodeEndedTerm(bad)) << bad;
    }
    Json bad = good;
    bad.erase(field);
    EXPECT_FALSE(DecodeEndedTerm(bad)) << bad;
  }
  EXPECT_FALSE(DecodeEndedTerm(Json::array()));
  // Leases that cannot be read are not known.
  Json odd = good;
  odd["long_leases"] = {{kWorker, -1}};
  const std::optional<EndedTerm> heard = DecodeEndedTerm(odd);
  ASSERT_TRUE(heard);
  EXPECT_FALSE(heard->long_leases);
}

// Guards against a start that the next owner counts as older than it is: it
// would let its task start while the start can still be executed.
TEST(EndedTermTest, UnsettledStartsAreNotOverstated) {
  const TaskId task = {.job = "00000000000000a1", .step = 1, .index = 2};
  const EndedTerm told = {.term = 7,
                          .unsettled_starts = {{.task = task,
                                                .worker = kWorker,
                                                .run = 6001,
                                                .sent_ago = Millis(5000),
                                                .lasting = true}}};
  const std::optional<EndedTerm> heard =
      DecodeEndedTerm(EncodeEndedTerm(Aged(told, Millis(5000))));
  ASSERT_TRUE(heard);
  ASSERT_EQ(heard->unsettled_starts.size(), 1U);
  const UnsettledStart& start = heard->unsettled_starts.front();
  EXPECT_EQ(start.task, task);
  EXPECT_EQ(start.worker, kWorker);
  EXPECT_EQ(start.run, 6001);
  EXPECT_EQ(start.sent_ago, Millis(9800));
  EXPECT_TRUE(start.lasting);
}

TEST(EndedTermTest, MalformedStartsAreRejected) {
  const Json good = EncodeEndedTerm({.term = 7});
  const Json start = {"00000000000000a1.0.0.0", kWorker, 1, 100, false};
  const std::vector<Json> values = {Json("no task"), Json(5), Json(-1),
                                    Json(-1), Json("no")};
  for (std::size_t column = 0; column < values.size(); ++column) {
    Json bad = good;
    bad["unsettled_starts"] = Json::array({start});
    ASSERT_TRUE(DecodeEndedTerm(bad));
    bad["unsettled_starts"][0][column] = values[column];
    EXPECT_FALSE(DecodeEndedTerm(bad)) << bad;
  }
  Json bad = good;
  bad["unsettled_starts"] = Json::object();
  EXPECT_FALSE(DecodeEndedTerm(bad));
  // A node of an earlier version tells none.
  bad.erase("unsettled_starts");
  EXPECT_TRUE(DecodeEndedTerm(bad));
}

TEST(EndedTermTest, ATermThatEndedDaysAgoCanBeTold) {
  const std::optional<EndedTerm> heard = DecodeEndedTerm(
      EncodeEndedTerm({.term = 7, .ended_ago = std::chrono::hours(72)}));
  ASSERT_TRUE(heard);
  EXPECT_GT(heard->ended_ago, Millis(500000));
}

}  // namespace
}  // namespace basilusher
