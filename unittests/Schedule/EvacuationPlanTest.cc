// Guards against evacuations that stop runs for which there is no room, or more
// tasks of a step than it allows. Load: one of three data centres of a busy
// fleet is evacuated at once.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "basilusher/Schedule/EvacuationPlan.h"

namespace basilusher {
namespace {

constexpr int kMostPerRound = 16;

WorkerCapacity MakeWorker(const std::string& id, std::int64_t free_millis) {
  return {.id = id,
          .pool = "pool",
          .room = {.cpu_millis = 32000, .memory_mb = 65536},
          .used = {.cpu_millis = 32000 - free_millis}};
}

StepSpec Checkpointable(int count) {
  return {.count = count,
          .need = {.cpu_millis = 2000, .memory_mb = 1000},
          .checkpointable = true};
}

std::vector<EvacuationRun> RunsOf(const StepSpec& step,
                                  const std::string& job) {
  std::vector<EvacuationRun> runs;
  runs.reserve(static_cast<std::size_t>(step.count));
  for (int i = 0; i < step.count; ++i) {
    runs.push_back(
        {.task = {.job = job, .index = i}, .request = {.step = &step}});
  }
  return runs;
}

TEST(EvacuationPlanTest, NoRunIsStoppedWithoutRoomElsewhere) {
  const StepSpec step = Checkpointable(8);
  EXPECT_THAT(PlanMigrations(RunsOf(step, "a"), {}), testing::IsEmpty());
  // 5 and 3 cores are free: room for two tasks of two cores, and for one.
  EXPECT_EQ(PlanMigrations(RunsOf(step, "a"),
                           {MakeWorker("x", 5000), MakeWorker("y", 3000)})
                .size(),
            3U);
}

/// Runs that were stopped before take their room a little later.
TEST(EvacuationPlanTest, RoomIsKeptForRunsThatLeaveAlready) {
  const StepSpec step = Checkpointable(8);
  std::vector<EvacuationRun> runs = RunsOf(step, "a");
  runs[5].leaving = true;
  runs[6].leaving = true;
  EXPECT_EQ(PlanMigrations(runs, {MakeWorker("x", 6000)}).size(), 1U);
}

TEST(EvacuationPlanTest, NoMoreTasksAreStoppedThanTheStepAllows) {
  StepSpec step = Checkpointable(8);
  step.lasting = true;
  const std::vector<WorkerCapacity> room = {MakeWorker("x", 32000)};
  std::vector<EvacuationRun> runs = RunsOf(step, "a");
  EXPECT_EQ(PlanMigrations(runs, room).size(), 1U);
  step.max_unavailable = 3;
  EXPECT_EQ(PlanMigrations(runs, room).size(), 3U);
  for (EvacuationRun& run : runs) run.unavailable = 2;
  EXPECT_EQ(PlanMigrations(runs, room).size(), 1U);
  step.max_unavailable = 0;
  EXPECT_THAT(PlanMigrations(runs, room), testing::IsEmpty());
}

TEST(EvacuationPlanTest, TheLimitOfTasksOnOneWorkerCountsThosePlannedFor) {
  StepSpec step = Checkpointable(8);
  step.max_per_worker = 1;
  EXPECT_EQ(PlanMigrations(RunsOf(step, "a"),
                           {MakeWorker("x", 32000), MakeWorker("y", 32000)})
                .size(),
            2U);
}

TEST(EvacuationPlanTest, RunsThatCannotResumeOrEndSoonAreLeft) {
  const std::vector<WorkerCapacity> room = {MakeWorker("x", 32000)};
  StepSpec step = Checkpointable(4);
  std::vector<EvacuationRun> runs = RunsOf(step, "a");
  for (EvacuationRun& run : runs) run.percent = 85;
  EXPECT_THAT(PlanMigrations(runs, room), testing::IsEmpty());
  step.checkpointable = false;
  EXPECT_THAT(PlanMigrations(RunsOf(step, "a"), room), testing::IsEmpty());
  step.checkpointable = true;
  step.gang = true;
  EXPECT_THAT(PlanMigrations(RunsOf(step, "a"), room), testing::IsEmpty());
}

/// 400 runs of 50 jobs on a third of the fleet, and room for 120 of them
/// elsewhere: rounds of 100 ms, in which the stopped runs of the round before
/// have started again.
TEST(EvacuationPlanTest, AFullDataCentreMovesAsFarAsTheOthersHaveRoom) {
  const StepSpec step = Checkpointable(8);
  std::vector<EvacuationRun> runs;
  for (int job = 0; job < 50; ++job) {
    for (const EvacuationRun& run : RunsOf(step, std::to_string(job))) {
      runs.push_back(run);
    }
  }
  std::vector<WorkerCapacity> workers;
  workers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    workers.push_back(MakeWorker("w" + std::to_string(i), 12000));
  }
  std::set<TaskId> moved;
  int rounds = 0;
  for (; rounds < 100; ++rounds) {
    const std::vector<TaskId> stopped = PlanMigrations(runs, workers);
    ASSERT_LE(stopped.size(), static_cast<std::size_t>(kMostPerRound));
    if (stopped.empty()) break;
    std::vector<WorkerCapacity*> room;
    room.reserve(workers.size());
    for (WorkerCapacity& worker : workers) room.push_back(&worker);
    for (const TaskId& task : stopped) {
      EXPECT_TRUE(moved.insert(task).second);
      std::erase_if(
          runs, [&task](const EvacuationRun& run) { return run.task == task; });
      WorkerCapacity* worker = ChooseWorker({.step = &step}, room);
      ASSERT_NE(worker, nullptr) << "stopped without room elsewhere";
      worker->used += Charge(step);
    }
  }
  EXPECT_EQ(moved.size(), 120U);
  EXPECT_LE(rounds, 10);
}

}  // namespace
}  // namespace basilusher
