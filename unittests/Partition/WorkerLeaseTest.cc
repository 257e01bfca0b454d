// Guards against a bound of a worker's lease that a lease can outlast, and
// against one that stays long after no long lease can be left.
#include <gtest/gtest.h>

#include "basilusher/Partition/WorkerLease.h"
#include "basilusher/Partition/WorkerRecord.h"

namespace basilusher {
namespace {

constexpr Millis kMaxLease{10000};
const Millis kLongest = LeaseBound(kMaxLease);
constexpr TimePoint kNow{Millis(500000)};
constexpr std::int64_t kBorn = 1796584000000;
// Clocks of incarnations begin at any reading.
constexpr std::int64_t kClockMs = 3799079;
constexpr std::int64_t kSettledMs = kClockMs + kMaxLease.count();

TEST(WorkerLeaseTest, TheFirstIncarnationHoldsNoLeaseOfAnEarlierClock) {
  WorkerLease lease(kMaxLease);
  lease.NoteFenced(kNow, kBorn, kClockMs);
  EXPECT_EQ(lease.End(), TimePoint{});
  EXPECT_EQ(lease.LastFenced().born_unix_ms, kBorn);
  EXPECT_EQ(lease.LastFenced().settled_clock_ms, 0);
}

TEST(WorkerLeaseTest, AnIncarnationThatNoOwnerFencedMayHoldTheLongestLease) {
  WorkerLease lease(kMaxLease);
  lease.NoteEarlierIncarnations({.born_unix_ms = kBorn - 1});
  lease.NoteFenced(kNow, kBorn, kClockMs);
  EXPECT_EQ(lease.End(), kNow + kLongest);
  EXPECT_EQ(lease.Origin(), LeaseOrigin::kEarlierClock);
  EXPECT_EQ(lease.LastFenced().born_unix_ms, kBorn);
  EXPECT_EQ(lease.LastFenced().settled_clock_ms, kSettledMs);
}

// An owner that was killed cannot tell how long ago it fenced the incarnation.
TEST(WorkerLeaseTest, TheWorkersOwnClockTellsWhatIsLeftAfterATakeOver) {
  WorkerLease lease(kMaxLease);
  lease.NoteEarlierIncarnations(
      {.born_unix_ms = kBorn, .settled_clock_ms = kSettledMs});
  lease.NoteFenced(kNow, kBorn, kSettledMs - 3000);
  EXPECT_EQ(lease.End(), kNow + LeaseBound(Millis(3000)));
  EXPECT_EQ(lease.LastFenced().settled_clock_ms, kSettledMs);
}

TEST(WorkerLeaseTest, ASettledIncarnationHoldsTheLeasesOfItsOwnClockAlone) {
  for (const std::int64_t settled_ms : {std::int64_t{0}, kClockMs}) {
    WorkerLease lease(kMaxLease);
    lease.NoteEarlierIncarnations(
        {.born_unix_ms = kBorn, .settled_clock_ms = settled_ms});
    lease.NoteFenced(kNow, kBorn, kClockMs);
    lease.NoteGiven(kNow + Millis(4000));
    EXPECT_EQ(lease.End(), kNow + Millis(4000));
    EXPECT_EQ(lease.Origin(), LeaseOrigin::kOwnOrder);
  }
}

TEST(WorkerLeaseTest, AWorkerThatDoesNotTellItsStartCountsAsNotRestarted) {
  WorkerLease lease(kMaxLease);
  lease.NoteEarlierIncarnations({});
  lease.NoteFenced(kNow, 0, kClockMs);
  EXPECT_EQ(lease.End(), TimePoint{});
}

TEST(WorkerLeaseTest, TheBoundOfARestartedWorkerCountsFromItsFirstAnswer) {
  WorkerLease lease(kMaxLease);
  lease.NoteFenced(kNow, kBorn, kClockMs);
  lease.NoteGiven(kNow + Millis(4000));
  lease.BeginIncarnation(kNow, kMaxCallDelay);
  EXPECT_EQ(lease.End(), kNow + kMaxCallDelay + kLongest);
  EXPECT_FALSE(lease.IsFenced());
  const TimePoint answered = kNow + Millis(700);
  lease.NoteFenced(answered, kBorn + 100, 5);
  EXPECT_EQ(lease.End(), answered + kLongest);
  EXPECT_EQ(lease.LastFenced().settled_clock_ms, 5 + kMaxLease.count());
}

TEST(WorkerLeaseTest, AFencedIncarnationsBoundReplacesWhatWasTold) {
  WorkerLease lease(kMaxLease);
  lease.NoteEarlierIncarnations(
      {.born_unix_ms = kBorn, .settled_clock_ms = kSettledMs});
  lease.NoteTold(kNow + Millis(22000));
  lease.NoteFenced(kNow, kBorn, kSettledMs - 1000);
  EXPECT_EQ(lease.End(), kNow + LeaseBound(Millis(1000)));
}

TEST(WorkerRecordTest, ReadsWhatItWrote) {
  const WorkerRecord written{
      .fully_read_term = 3,
      .usual_lease = Millis(4000),
      .workers =
          {{"w0", {.address = "10.0.0.1:80"}},
           {"w1",
            {.address = "10.0.0.2:80",
             .fenced = {.born_unix_ms = kBorn, .settled_clock_ms = kClockMs}}},
           {"w2",
            {.address = "10.0.0.3:80", .fenced = {.born_unix_ms = kBorn}}}},
      .former = {{"w3", {.born_unix_ms = kBorn, .settled_clock_ms = kClockMs}},
                 {"w4", {}}}};
  const WorkerRecord read = DecodeWorkerRecord(EncodeWorkerRecord(written));
  EXPECT_EQ(read.fully_read_term, 3);
  EXPECT_EQ(read.usual_lease, Millis(4000));
  ASSERT_EQ(read.workers.size(), 3);
  for (const auto& [id, worker] : written.workers) {
    const RecordedWorker& found = read.workers.at(id);
    EXPECT_EQ(found.address, worker.address);
    EXPECT_EQ(found.fenced.born_unix_ms, worker.fenced.born_unix_ms);
    EXPECT_EQ(found.fenced.settled_clock_ms, worker.fenced.settled_clock_ms);
  }
  ASSERT_EQ(read.former.size(), 2);
  EXPECT_EQ(read.former.at("w3").settled_clock_ms, kClockMs);
  EXPECT_EQ(read.former.at("w4").born_unix_ms, 0);
}

// During a roll-out the record may have been written by the earlier release.
TEST(WorkerRecordTest, ReadsTheRecordOfAnEarlierRelease) {
  const WorkerRecord read =
      DecodeWorkerRecord(R"({"":2,"w0":"10.0.0.1:80","w1":7})");
  EXPECT_EQ(read.fully_read_term, 2);
  ASSERT_EQ(read.workers.size(), 1);
  EXPECT_EQ(read.workers.at("w0").fenced.born_unix_ms, 0);
}

TEST(WorkerRecordTest, MalformedIncarnationsCountAsUnknown) {
  EXPECT_TRUE(DecodeWorkerRecord("no json").workers.empty());
  for (const char* rows :
       {R"([])", R"({"w0":"x"})", R"({"w0":[1]})", R"({"w0":[0,2]})",
        R"({"w0":[1,-2]})", R"({"w0":[1,2,3]})"}) {
    const WorkerRecord read = DecodeWorkerRecord(
        std::string(R"({"w0":"10.0.0.1:80","#incarnations":)") + rows + "}");
    ASSERT_EQ(read.workers.size(), 1) << rows;
    EXPECT_EQ(read.workers.at("w0").fenced.born_unix_ms, 0) << rows;
  }
}

TEST(FormerIncarnationsTest, AreKeptWhileAnOrderToThemMatters) {
  FormerIncarnations former(Millis(22000));
  EXPECT_EQ(former.Find("w0", kNow), nullptr);
  former.NoteClosed("w0", {.born_unix_ms = kBorn}, /*may_return=*/true, kNow);
  ASSERT_NE(former.Find("w0", kNow + Millis(21999)), nullptr);
  EXPECT_EQ(former.Find("w0", kNow)->born_unix_ms, kBorn);
  EXPECT_EQ(former.Find("w0", kNow + Millis(22000)), nullptr);
  EXPECT_EQ(former.MayReturn(kNow).size(), 1);
  EXPECT_TRUE(former.MayReturn(kNow + Millis(22000)).empty());
}

// The ids of instances that an owner moves do not come back: the record would
// grow with each move.
TEST(FormerIncarnationsTest, OfInstancesThatWereTakenAreNotRecorded) {
  FormerIncarnations former(Millis(22000));
  former.NoteClosed("w0", {.born_unix_ms = kBorn}, /*may_return=*/false, kNow);
  EXPECT_NE(former.Find("w0", kNow), nullptr);
  EXPECT_TRUE(former.MayReturn(kNow).empty());
}

}  // namespace
}  // namespace basilusher
