// Guards against a lasting task that waits without a log line that tells why.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "../Support/LogCapture.h"
#include "FleetSim.h"
#include "basilusher/Partition/TaskWaits.h"

namespace basilusher {
namespace {

constexpr const char* kJob = "00000000000000a1";
const TaskId kTask = {.job = kJob, .occurrence = 0, .step = 0, .index = 0};

JobSpec LastingJob(int tasks) {
  JobSpec job = FleetSim::MakeJob(kJob, tasks, 0);
  job.steps[0].lasting = true;
  return job;
}

class TaskWaitsTest : public ::testing::Test {
 protected:
  void SetUpFleet(int workers) {
    for (int i = 0; i < workers; ++i) sim.fleet.AddWorker("pool");
    sim.BeginTerm();
    sim.Run(Millis(300));
  }

  /// Values of `field` in the lines of `event` about a task.
  std::vector<Json> Values(const std::string& event, const char* field) const {
    std::vector<Json> values;
    for (const Json& line : log.Lines(event)) values.push_back(line.at(field));
    return values;
  }

  LogCapture log;
  FleetSim sim;
};

TEST_F(TaskWaitsTest, ATaskHeldByAnUnreadWorkerNamesTheEarlierLeases) {
  SetUpFleet(2);
  sim.Submit(LastingJob(1));
  sim.Run(Millis(1000));
  std::string worker;
  for (const std::string& id : sim.fleet.AliveWorkerIds()) {
    if (!sim.fleet.Find(id)->running.empty()) worker = id;
  }
  ASSERT_FALSE(worker.empty());
  sim.fleet.Find(worker)->fault = SimFault::kRequestLost;
  sim.BeginTerm();
  sim.Run(Millis(30000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 1);
  const std::vector<Json> waits = log.Lines("task-waits");
  ASSERT_GE(waits.size(), 2);
  EXPECT_EQ(waits[0].at("task"), FormatTaskId(kTask));
  EXPECT_EQ(waits[0].at("queue"), LastingJob(1).queue);
  EXPECT_EQ(waits[0].at("condition"), "earlier-leases");
  EXPECT_EQ(waits[0].at("level"), "info");
  EXPECT_EQ(waits[0].at("unread"), 1);
  EXPECT_GE(waits[0].at("waited_ms"), 3000);
  EXPECT_LT(waits[0].at("waited_ms"), 4100);
  EXPECT_GT(waits[0].at("leases_end_in_ms"), 0);
  EXPECT_GE(waits[1].at("waited_ms"), 6000);
  EXPECT_EQ(waits[1].at("level"), "warning");
  const std::vector<Json> ended = log.Lines("task-wait-ended");
  ASSERT_EQ(ended.size(), 1);
  EXPECT_EQ(ended[0].at("condition"), "earlier-leases");
  EXPECT_GT(ended[0].at("waited_ms"), waits.back().at("waited_ms"));
  EXPECT_THAT(sim.fleet.Violations(), testing::IsEmpty());
}

TEST_F(TaskWaitsTest, ATaskThatWasGivenUpIsReportedAsSuch) {
  SetUpFleet(6);
  sim.fleet.crashing_tasks = {kTask};
  sim.Submit(LastingJob(2));
  sim.Run(Millis(60000));
  EXPECT_TRUE(log.Lines("task-given-up").empty());
  EXPECT_EQ(Values("task-waits", "condition").back(), "paused-after-crashes");
  // Two more starts, after 2 and 8 minutes.
  sim.Run(Millis(660000));
  ASSERT_EQ(log.Lines("task-given-up").size(), 1);
  const std::vector<Json> waits = log.Lines("task-waits");
  ASSERT_FALSE(waits.empty());
  EXPECT_EQ(waits.back().at("task"), FormatTaskId(kTask));
  EXPECT_EQ(waits.back().at("condition"), "given-up");
  EXPECT_EQ(waits.back().at("level"), "warning");
  EXPECT_GT(waits.back().at("crashes"), 0);
}

TEST_F(TaskWaitsTest, ATaskWithoutRoomIsReportedAgainAndThenEnds) {
  SetUpFleet(1);
  const std::string worker = sim.fleet.AliveWorkerIds().front();
  sim.fleet.SetRoom(worker, Resources{.cpu_millis = 1, .memory_mb = 1});
  sim.Run(Millis(1000));
  sim.Submit(LastingJob(1));
  sim.Run(Millis(15000));
  EXPECT_THAT(Values("task-waits", "condition"),
              testing::AllOf(testing::SizeIs(testing::Ge(3)),
                             testing::Each(Json("no-room"))));
  EXPECT_LE(log.Lines("task-waits").size(), 4);
  sim.fleet.SetRoom(worker, SimWorker().room);
  sim.Run(Millis(3000));
  EXPECT_THAT(Values("task-wait-ended", "condition"),
              testing::ElementsAre(Json("no-room")));
}

TEST_F(TaskWaitsTest, LinesAreBoundedAndThoseLeftOutAreCounted) {
  SetUpFleet(1);
  sim.fleet.SetRoom(sim.fleet.AliveWorkerIds().front(),
                    Resources{.cpu_millis = 1, .memory_mb = 1});
  sim.Run(Millis(1000));
  sim.Submit(LastingJob(50));
  sim.Run(Millis(4500));
  EXPECT_EQ(log.Lines("task-waits").size(), 20);
  EXPECT_THAT(Values("task-waits-omitted", "count"),
              testing::ElementsAre(Json(30)));
  sim.Run(Millis(2000));
  std::set<std::string> tasks;
  for (const Json& line : log.Lines("task-waits")) {
    tasks.insert(line.at("task").get<std::string>());
  }
  EXPECT_EQ(tasks.size(), 50);
}

TEST_F(TaskWaitsTest, NothingIsReportedWhileEverythingRuns) {
  SetUpFleet(3);
  sim.Submit(LastingJob(3));
  sim.Run(Millis(10000));
  sim.BeginTerm();
  sim.Run(Millis(20000));
  ASSERT_EQ(sim.fleet.RunningTasks(kJob), 3);
  EXPECT_TRUE(log.Lines("task-waits").empty());
  EXPECT_TRUE(log.Lines("task-wait-ended").empty());
}

TEST(WaitConditionTest, EachFactAloneNamesItsCondition) {
  WaitFacts ready;
  ready.workers = {.usable = 3,
                   .with_room = 3,
                   .not_isolated = 3,
                   .with_label = 3,
                   .with_ticket = 3,
                   .below_sibling_limit = 3};
  EXPECT_EQ(ConditionOf(ready), WaitCondition::kNoneFound);
  const auto condition = [&ready](const std::function<void(WaitFacts*)>& set) {
    WaitFacts facts = ready;
    set(&facts);
    return ConditionOf(facts);
  };
  EXPECT_EQ(condition([](WaitFacts* f) { f->counted_as_waiting = false; }),
            WaitCondition::kMiscounted);
  EXPECT_EQ(condition([](WaitFacts* f) { f->view_stale = true; }),
            WaitCondition::kViewStale);
  EXPECT_EQ(condition([](WaitFacts* f) { f->end_unreported = true; }),
            WaitCondition::kNoneFound);
  EXPECT_EQ(condition([](WaitFacts* f) {
              f->end_unreported = true;
              f->term_confirmed = false;
            }),
            WaitCondition::kEndUnreported);
  EXPECT_EQ(condition([](WaitFacts* f) { f->may_be_orphaned = true; }),
            WaitCondition::kReportIncomplete);
  EXPECT_EQ(condition([](WaitFacts* f) {
              f->start_may_be_late = true;
              f->evidence_unstored = true;
            }),
            WaitCondition::kStartMayBeLate);
  EXPECT_EQ(condition([](WaitFacts* f) {
              f->may_be_orphaned = true;
              f->term_confirmed = false;
            }),
            WaitCondition::kEarlierLeasesInDoubt);
  EXPECT_EQ(condition([](WaitFacts* f) { f->workers.with_label = 0; }),
            WaitCondition::kNoLabel);
  EXPECT_EQ(condition([](WaitFacts* f) { f->workers = {}; }),
            WaitCondition::kNoUsableWorker);
  EXPECT_EQ(condition([](WaitFacts* f) {
              f->given_up = true;
              f->owner_may_start = false;
              f->in_retry_delay = true;
            }),
            WaitCondition::kGivenUp);
}

TEST(WaitConditionTest, EachConditionHasANameOfItsOwn) {
  std::set<std::string_view> names;
  const int last = static_cast<int>(WaitCondition::kNoneFound);
  for (int i = 0; i <= last; ++i) {
    names.insert(NameOf(kWaitConditionNames, static_cast<WaitCondition>(i)));
  }
  EXPECT_FALSE(names.contains("invalid"));
  EXPECT_EQ(names.size(), last + 1);
}

}  // namespace
}  // namespace basilusher
