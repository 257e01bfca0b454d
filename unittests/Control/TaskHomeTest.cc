// Tasks on the bench: cancels and ends that must not be lost.
#include <gtest/gtest.h>

#include <string>

#include "Bench.h"

namespace basilusher::testing {
namespace {

constexpr Millis kLongTask{600000};
/// What the whole-program test gives a cancel; the bench has no load to wait
/// for.
constexpr Millis kCancelBound{30000};

/// The home of a task's bucket, as `node` sees it.
std::string HomeOfTask(Bench* bench, const std::string& node,
                       const std::string& id) {
  return HomeOf(*bench->Get(node)->views.Current(),
                TaskSubject(TaskBucketOf(id)));
}

/// A task whose bucket has its home on `home` while all three entries serve.
std::string TaskWithHome(Bench* bench, const std::string& home) {
  for (int n = 0; n < 1000; ++n) {
    std::string id = std::to_string(n);
    if (HomeOfTask(bench, "n1", id) == home) return id;
  }
  ADD_FAILURE() << "no bucket has its home on " << home;
  return "";
}

std::string AnyTaskHome(Bench* bench) { return HomeOfTask(bench, "n1", "1"); }

/// Waits until the task's state is `wanted`, as `node` is told.
bool WaitState(Bench* bench, const std::string& node, const std::string& id,
               const std::string& wanted, Millis bound) {
  const TimePoint until = bench->clock.now + bound;
  while (bench->clock.now < until) {
    if (bench->TaskState(node, id) == wanted) return true;
  }
  return false;
}

void SubmitAndRun(Bench* bench, const std::string& node, const std::string& id,
                  Millis work = kLongTask) {
  const TaskAnswer answer =
      bench->AskTask(node, TaskOperation::kSubmit, id, work);
  ASSERT_EQ(answer.code, 0);
  ASSERT_TRUE(answer.state.is_object());
  ASSERT_TRUE(WaitState(bench, node, id, "running", Millis(5000)));
}

int CodeOf(ResultCode code) { return static_cast<int>(code); }

TEST(TaskHome, ACancelEndsARun) {
  Bench bench(1);
  SubmitAndRun(&bench, "n1", "1");
  EXPECT_EQ(bench.AskTask("n2", TaskOperation::kCancel, "1").code, 0);
  ASSERT_TRUE(WaitState(&bench, "n3", "1", "ended", kCancelBound));
  const TaskAnswer end = bench.AskTask("n1", TaskOperation::kQuery, "1");
  EXPECT_EQ(end.state["code"], CodeOf(ResultCode::kCancelledWhileRunning));
  EXPECT_EQ(bench.RunningOf("a"), 0);
}

TEST(TaskHome, ACancelReachesTheHolderOfARunWhoseHomeMovedAway) {
  Bench bench(1);
  const std::string late = AnyTaskHome(&bench);
  const std::string other = late == "n1" ? "n2" : "n1";
  const std::string id = TaskWithHome(&bench, late);
  // The others don't hear `late` for a while, and one of them takes its home.
  bench.Get(late)->peers_cut = true;
  bench.Advance(Millis(4000));
  ASSERT_NE(HomeOfTask(&bench, other, id), late);
  SubmitAndRun(&bench, other, id);
  bench.Get(late)->peers_cut = false;
  bench.Advance(Millis(2000));
  ASSERT_EQ(HomeOfTask(&bench, other, id), late);
  EXPECT_EQ(bench.AskTask(other, TaskOperation::kCancel, id).code, 0);
  EXPECT_TRUE(WaitState(&bench, other, id, "ended", kCancelBound));
  EXPECT_EQ(bench.RunningOf("a"), 0);
}

/// The first stop ends the run at its worker; the second one, which settles
/// the task, is not answered in time.
TEST(TaskHome, ACancelledRunIsSettledAgainIfItsSettlingStopIsNotAnswered) {
  Bench bench(1);
  SubmitAndRun(&bench, "n1", "1");
  int stops = 0;
  bench.hook = [&stops](const StepEvent& event) -> Effect {
    if (event.name == "task stop" && ++stops == 2) return {.lose_answer = true};
    return {};
  };
  EXPECT_EQ(bench.AskTask("n1", TaskOperation::kCancel, "1").code, 0);
  EXPECT_TRUE(WaitState(&bench, "n1", "1", "ended", kCancelBound));
  EXPECT_GE(stops, 2);
}

TEST(TaskHome, ARunWhoseStartAndSettlingStopAreNotAnsweredIsCancelled) {
  Bench bench(1);
  bool lost_stop = false;
  bench.hook = [&lost_stop](const StepEvent& event) -> Effect {
    if (event.name == "task start") return {.lose_answer = !lost_stop};
    if (event.name != "task stop" || lost_stop) return {};
    lost_stop = true;
    return {.lose_answer = true};
  };
  SubmitAndRun(&bench, "n1", "1");
  bench.Advance(Millis(2000));
  ASSERT_TRUE(lost_stop);
  EXPECT_EQ(bench.AskTask("n1", TaskOperation::kCancel, "1").code, 0);
  EXPECT_TRUE(WaitState(&bench, "n1", "1", "ended", kCancelBound));
}

TEST(TaskHome, AnEndThatTheStoreDidNotTakeIsRecordedLater) {
  Bench bench(1);
  SubmitAndRun(&bench, "n1", "1", Millis(3000));
  bool armed = true;
  bench.hook = [&bench, &armed](const StepEvent& event) -> Effect {
    // The end is the next record of the tasks' journals.
    if (armed && event.name.rfind("swap tasks/", 0) == 0) {
      armed = false;
      bench.store_down = true;
    }
    return {};
  };
  bench.Advance(Millis(6000));
  ASSERT_FALSE(armed);
  bench.store_down = false;
  ASSERT_TRUE(WaitState(&bench, "n1", "1", "ended", kCancelBound));
  const TaskAnswer end = bench.AskTask("n1", TaskOperation::kQuery, "1");
  EXPECT_EQ(end.state["outcome"], "ran");
}

TEST(TaskHome, ACancelEndsATaskThatWaitsForAPlace) {
  Bench bench(1);
  // The limit of team "a" is taken by other tasks.
  for (int n = 0; n < bench.limit_a; ++n) {
    SubmitAndRun(&bench, "n1", "f" + std::to_string(n));
  }
  const TaskAnswer answer =
      bench.AskTask("n1", TaskOperation::kSubmit, "1", kLongTask);
  ASSERT_EQ(answer.code, 0);
  bench.Advance(Millis(2000));
  ASSERT_EQ(bench.TaskState("n1", "1"), "queued");
  EXPECT_EQ(bench.AskTask("n1", TaskOperation::kCancel, "1").code, 0);
  ASSERT_TRUE(WaitState(&bench, "n1", "1", "ended", kCancelBound));
  const TaskAnswer end = bench.AskTask("n1", TaskOperation::kQuery, "1");
  EXPECT_EQ(end.state["code"], CodeOf(ResultCode::kCancelled));
  EXPECT_EQ(bench.RunsOf("1"), 0);
}

/// An entry whose own submission of a run came too late must leave the run of
/// the entry that started it alone.
TEST(TaskHome, ALateRefusalDoesNotStopTheRunOfAnotherHolder) {
  Bench bench(1);
  const std::string home = AnyTaskHome(&bench);
  const std::string other = home == "n1" ? "n2" : "n1";
  const std::string id = TaskWithHome(&bench, home);
  SubmitAndRun(&bench, home, id);
  // Another entry is the task's home for a while and reads its journal.
  bench.Get(home)->peers_cut = true;
  bench.Advance(Millis(4000));
  const std::string late = HomeOfTask(&bench, other, id);
  ASSERT_NE(late, home);
  bench.Get(home)->peers_cut = false;
  bench.Advance(Millis(2000));
  bench.Get(late)->tasks->OnFinished(TaskRequestId(id, 1),
                                     {.outcome = Outcome::kNotRun});
  bench.Advance(Millis(3000));
  const TaskAnswer state = bench.AskTask(home, TaskOperation::kQuery, id);
  EXPECT_EQ(state.state["state"], "running");
  EXPECT_EQ(state.state["run"], 1);
}

/// Asks `node` about a task, as an entry does that takes it for the home.
TaskAnswer AskDirectly(Bench* bench, const std::string& node,
                       TaskOperation operation, const std::string& id) {
  bench->task_answers.erase("direct");
  bench->Get(node)->Deliver({node, bench->Get(node)->info.incarnation},
                            TaskAsk{.operation = operation,
                                    .call_id = "direct",
                                    .task_id = id,
                                    .team = "a"});
  bench->Advance(Millis(250));
  return bench->task_answers["direct"];
}

TEST(TaskHome, AnEntryWithOldRecordsDoesNotCallATaskUnknown) {
  Bench bench(1);
  SubmitAndRun(&bench, "n1", "1");
  for (const char* node : {"n1", "n2", "n3"}) {
    const TaskAnswer answer =
        AskDirectly(&bench, node, TaskOperation::kQuery, "1");
    EXPECT_EQ(answer.code, 0) << node;
    ASSERT_TRUE(answer.state.is_object()) << node;
    EXPECT_EQ(answer.state["state"], "running") << node;
  }
  EXPECT_EQ(AskDirectly(&bench, "n2", TaskOperation::kQuery, "2").code,
            CodeOf(ResultCode::kUnknownTask));
}

TEST(TaskHome, AnEntryWithOldRecordsDoesNotCancelAnEndedTask) {
  Bench bench(1);
  SubmitAndRun(&bench, "n1", "1", Millis(3000));
  for (const char* node : {"n1", "n2", "n3"}) {
    AskDirectly(&bench, node, TaskOperation::kQuery, "1");
  }
  ASSERT_TRUE(WaitState(&bench, "n1", "1", "ended", Millis(5000)));
  for (const char* node : {"n1", "n2", "n3"}) {
    EXPECT_EQ(AskDirectly(&bench, node, TaskOperation::kCancel, "1").code,
              CodeOf(ResultCode::kTaskEnded))
        << node;
    const TaskAnswer answer =
        AskDirectly(&bench, node, TaskOperation::kQuery, "1");
    ASSERT_TRUE(answer.state.is_object()) << node;
    EXPECT_EQ(answer.state["state"], "ended") << node;
  }
}

}  // namespace
}  // namespace basilusher::testing
