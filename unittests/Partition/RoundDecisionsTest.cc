// Rounds that leave out the pools in which nothing can start send the same
// starts as rounds that rank all jobs.
#include <gtest/gtest.h>

#include "OwnerLoad.h"

namespace basilusher {
namespace {

constexpr Millis kStep{100};
constexpr int kSteps = 90;

/// A tenth of the large deployment's load, with bursts beyond the fleet's
/// capacity, faulty workers, gangs, limits of siblings and of a workspace, and
/// lasting tasks.
OwnerLoadOptions SmallLoad(std::uint32_t seed, bool rank_all_pools) {
  return {.seed = seed,
          .workers = 35,
          .jobs_per_s = 3.3,
          .rank_all_pools = rank_all_pools};
}

class RoundDecisions : public testing::TestWithParam<std::uint32_t> {};

/// Guards against a round that leaves out a pool in which a task could have
/// started: the start would be sent later, or on another worker.
TEST_P(RoundDecisions, AreThoseOfRoundsThatRankAllJobs) {
  OwnerLoad all(SmallLoad(GetParam(), true));
  OwnerLoad some(SmallLoad(GetParam(), false));
  all.Begin();
  some.Begin();
  for (int i = 0; i < kSteps; ++i) {
    all.Run(kStep);
    some.Run(kStep);
    ASSERT_EQ(all.Starts().Starts(), some.Starts().Starts())
        << "after " << i << " steps";
    ASSERT_EQ(all.Starts().Digest(), some.Starts().Digest())
        << "after " << i << " steps";
  }
  EXPECT_GT(some.Starts().Starts(), 300);
  EXPECT_TRUE(some.Sim().fleet.Violations().empty());
}

/// The same across a change of owner: while workers are unread, rounds rank all
/// jobs, and afterwards again only some.
TEST_P(RoundDecisions, AreTheSameAfterATakeOver) {
  OwnerLoad all(SmallLoad(GetParam(), true));
  OwnerLoad some(SmallLoad(GetParam(), false));
  for (OwnerLoad* load : {&all, &some}) {
    load->Begin();
    load->Run(Millis(2500));
    load->Sim().BeginTerm();
    load->Run(Millis(6000));
  }
  EXPECT_EQ(all.Starts().Starts(), some.Starts().Starts());
  EXPECT_EQ(all.Starts().Digest(), some.Starts().Digest());
}

INSTANTIATE_TEST_SUITE_P(Seeds, RoundDecisions, testing::Range(1U, 7U));

}  // namespace
}  // namespace basilusher
