// Homes of idempotency keys on a simulated cluster: a repeated submission gets
// the outcome of the first one, whichever entry acts as the home.
#include <gtest/gtest.h>

#include <string>

#include "TestCluster.h"

namespace basilusher::testing {
namespace {

/// A tag that makes the simulated worker run for 2.5 s.
constexpr char kLongTag[] = "long-settlement";

std::string HomeOfKey(TestCluster* cluster, const std::string& node) {
  return HomeOf(*cluster->Get(node)->views.Current(),
                ClaimSubject(ClaimBucketOf("a", kLongTag)));
}

/// Returns the only call that was sent through `node`.
const Call* CallOf(const TestCluster& cluster, const std::string& node) {
  for (const auto& [id, call] : cluster.calls) {
    if (call.node == node) return &call;
  }
  return nullptr;
}

/// While homes move, the entry of the first submission and that of the repeated
/// one may have different homes. The home that holds the repeated submission
/// back does not receive the outcome and has to read it from the journal.
TEST(ClaimHome, ARepeatedSubmissionGetsAnOutcomeRecordedByAnotherHome) {
  TestCluster cluster(1);
  const std::string home = HomeOfKey(&cluster, "n1");
  const std::string other = home == "n1" ? "n2" : "n1";
  cluster.Get(home)->peers_cut = true;
  cluster.Advance(Millis(4000));
  ASSERT_NE(HomeOfKey(&cluster, other), home);
  ASSERT_EQ(HomeOfKey(&cluster, home), home);
  cluster.Request(other, "once", "a", kLongTag);
  cluster.Advance(Millis(1500));
  cluster.Request(home, "once", "a", kLongTag);
  cluster.Advance(Millis(2500));
  const Call* first = CallOf(cluster, other);
  ASSERT_NE(first, nullptr);
  ASSERT_EQ(first->answers, 1);
  ASSERT_EQ(first->answer.outcome, Outcome::kRan);
  const Call* repeated = CallOf(cluster, home);
  ASSERT_NE(repeated, nullptr);
  ASSERT_EQ(repeated->answers, 1);
  EXPECT_EQ(repeated->answer.outcome, Outcome::kRan)
      << static_cast<int>(repeated->answer.code);
  EXPECT_TRUE(repeated->answer.recorded);
  EXPECT_EQ(cluster.RunsOf(kLongTag), 1);
}

}  // namespace
}  // namespace basilusher::testing
