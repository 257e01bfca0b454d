// Division of instances between pools whose bursts overlap and together ask for
// more than the fleet has.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "basilusher/Schedule/PoolPlan.h"

namespace basilusher {
namespace {

PoolState MakePool(const std::string& name, int instances, int needed) {
  PoolState pool{.name = name, .needed = needed, .needed_in_time = needed};
  for (int i = 0; i < instances; ++i) {
    pool.instances.push_back({.id = name + std::to_string(i)});
  }
  return pool;
}

PoolState MakeSpare(int instances) {
  PoolState pool = MakePool("spare", instances, 0);
  pool.spare = true;
  for (PoolInstance& instance : pool.instances) {
    instance.free = true;
    instance.idle = Millis(10000);
  }
  return pool;
}

std::map<std::string, int> MovesTo(const std::vector<InstanceMove>& moves) {
  std::map<std::string, int> to;
  for (const InstanceMove& move : moves) ++to[move.to];
  return to;
}

/// The large deployment's third day with trouble, second 9: two queues burst,
/// and the names of the pools used to decide which one got the spare instances.
TEST(PoolPlan, SpareInstancesGoToPoolsInProportionToTheirNeed) {
  const std::vector<InstanceMove> moves = PlanMoves(
      {MakePool("a", 20, 400), MakePool("b", 20, 200), MakeSpare(260)});
  std::map<std::string, int> to = MovesTo(moves);
  EXPECT_EQ(moves.size(), 260U);
  EXPECT_EQ(to["a"], 180);
  EXPECT_EQ(to["b"], 80);
}

TEST(PoolPlan, WorkThatCanStillBeInTimeComesBeforeLateWork) {
  PoolState late = MakePool("a", 20, 400);
  late.needed_in_time = 50;
  const std::vector<InstanceMove> moves =
      PlanMoves({late, MakePool("b", 20, 100), MakeSpare(120)});
  std::map<std::string, int> to = MovesTo(moves);
  EXPECT_EQ(to["a"], 40);
  EXPECT_EQ(to["b"], 80);
}

/// The same day, second 10 to 17: one pool had 390 busy instances and a backlog
/// of late jobs, the other 15 of the 268 that it needed for 6 s.
TEST(PoolPlan, ABusyInstanceMovesFromAWellServedPoolToAStarvedOne) {
  PoolState rich = MakePool("a", 300, 400);
  rich.needed_in_time = 100;
  for (PoolInstance& instance : rich.instances) instance.reclaimable = true;
  rich.instances[0].tasks = 9;
  for (int i = 1; i < 300; ++i) rich.instances[i].tasks = 10 + i;
  const std::vector<InstanceMove> moves =
      PlanMoves({rich, MakePool("b", 15, 100), MakeSpare(0)});
  ASSERT_FALSE(moves.empty());
  EXPECT_EQ(moves.front().instance, "a0");
  for (const InstanceMove& move : moves) EXPECT_EQ(move.to, "b");
  EXPECT_LE(moves.size(), 100U);
}

TEST(PoolPlan, PoolsThatAreServedAlikeKeepTheirBusyInstances) {
  PoolState a = MakePool("a", 150, 300);
  PoolState b = MakePool("b", 60, 160);
  for (PoolState* pool : {&a, &b}) {
    for (PoolInstance& instance : pool->instances) instance.reclaimable = true;
  }
  EXPECT_TRUE(PlanMoves({a, b, MakeSpare(0)}).empty());
}

TEST(PoolPlan, InstancesWithLastingTasksAreNotReclaimed) {
  const PoolState rich = MakePool("a", 300, 100);
  EXPECT_TRUE(PlanMoves({rich, MakePool("b", 1, 200), MakeSpare(0)}).empty());
}

}  // namespace
}  // namespace basilusher
