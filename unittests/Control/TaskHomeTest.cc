// Task homes on a simulated cluster: cancellations and ends are not lost.
#include <gtest/gtest.h>

#include <string>

#include "TestCluster.h"

namespace basilusher::testing {
namespace {

constexpr Millis kLongTask{600000};
/// Time within which a cancellation takes effect; the same as in the
/// whole-program test, although the simulated cluster has no load.
constexpr Millis kCancelBound{30000};

/// Returns the home of a task's bucket by the view of `node`.
std::string HomeOfTask(TestCluster* cluster, const std::string& node,
                       const std::string& id) {
  return HomeOf(*cluster->Get(node)->views.Current(),
                TaskSubject(TaskBucketOf(id)));
}

/// Returns a task id whose bucket has its home on `home` while all three
/// entries serve.
std::string TaskWithHome(TestCluster* cluster, const std::string& home) {
  for (int n = 0; n < 1000; ++n) {
    std::string id = std::to_string(n);
    if (HomeOfTask(cluster, "n1", id) == home) return id;
  }
  ADD_FAILURE() << "no bucket has its home on " << home;
  return "";
}

std::string AnyTaskHome(TestCluster* cluster) {
  return HomeOfTask(cluster, "n1", "1");
}

/// Waits for at most `bound` until a query through `node` returns the state
/// `wanted`.
bool WaitState(TestCluster* cluster, const std::string& node,
               const std::string& id, const std::string& wanted, Millis bound) {
  const TimePoint until = cluster->clock.now + bound;
  while (cluster->clock.now < until) {
    if (cluster->TaskState(node, id) == wanted) return true;
  }
  return false;
}

void SubmitAndRun(TestCluster* cluster, const std::string& node,
                  const std::string& id, Millis work = kLongTask) {
  const TaskAnswer answer =
      cluster->AskTask(node, TaskOperation::kSubmit, id, work);
  ASSERT_EQ(answer.code, 0);
  ASSERT_TRUE(answer.state.is_object());
  ASSERT_TRUE(WaitState(cluster, node, id, "running", Millis(5000)));
}

int CodeOf(ResultCode code) { return static_cast<int>(code); }

TEST(TaskHome, ACancelEndsARun) {
  TestCluster cluster(1);
  SubmitAndRun(&cluster, "n1", "1");
  EXPECT_EQ(cluster.AskTask("n2", TaskOperation::kCancel, "1").code, 0);
  ASSERT_TRUE(WaitState(&cluster, "n3", "1", "ended", kCancelBound));
  const TaskAnswer end = cluster.AskTask("n1", TaskOperation::kQuery, "1");
  EXPECT_EQ(end.state["code"], CodeOf(ResultCode::kCancelledWhileRunning));
  EXPECT_EQ(cluster.RunningOf("a"), 0);
}

TEST(TaskHome, ACancelReachesTheHolderOfARunWhoseHomeMovedAway) {
  TestCluster cluster(1);
  const std::string home = AnyTaskHome(&cluster);
  const std::string other = home == "n1" ? "n2" : "n1";
  const std::string id = TaskWithHome(&cluster, home);
  // `home` is partitioned from its peers, and another entry becomes the home.
  cluster.Get(home)->peers_cut = true;
  cluster.Advance(Millis(4000));
  ASSERT_NE(HomeOfTask(&cluster, other, id), home);
  SubmitAndRun(&cluster, other, id);
  cluster.Get(home)->peers_cut = false;
  cluster.Advance(Millis(2000));
  ASSERT_EQ(HomeOfTask(&cluster, other, id), home);
  EXPECT_EQ(cluster.AskTask(other, TaskOperation::kCancel, id).code, 0);
  EXPECT_TRUE(WaitState(&cluster, other, id, "ended", kCancelBound));
  EXPECT_EQ(cluster.RunningOf("a"), 0);
}

/// The first stop call ends the run at its worker; the second one, which
/// reconciles the task, is not answered in time.
TEST(TaskHome, ACancelledRunIsReconciledAgainIfItsStopIsNotAnswered) {
  TestCluster cluster(1);
  SubmitAndRun(&cluster, "n1", "1");
  int stops = 0;
  cluster.fault_hook = [&stops](const StepEvent& event) -> FaultEffect {
    if (event.name == "task stop" && ++stops == 2) return {.lose_answer = true};
    return {};
  };
  EXPECT_EQ(cluster.AskTask("n1", TaskOperation::kCancel, "1").code, 0);
  EXPECT_TRUE(WaitState(&cluster, "n1", "1", "ended", kCancelBound));
  EXPECT_GE(stops, 2);
}

TEST(TaskHome, ARunWhoseStartAndStopAreNotAnsweredIsCancelled) {
  TestCluster cluster(1);
  bool lost_stop = false;
  cluster.fault_hook = [&lost_stop](const StepEvent& event) -> FaultEffect {
    if (event.name == "task start") return {.lose_answer = !lost_stop};
    if (event.name != "task stop" || lost_stop) return {};
    lost_stop = true;
    return {.lose_answer = true};
  };
  SubmitAndRun(&cluster, "n1", "1");
  cluster.Advance(Millis(2000));
  ASSERT_TRUE(lost_stop);
  EXPECT_EQ(cluster.AskTask("n1", TaskOperation::kCancel, "1").code, 0);
  EXPECT_TRUE(WaitState(&cluster, "n1", "1", "ended", kCancelBound));
}

TEST(TaskHome, AnEndThatTheStoreDidNotTakeIsRecordedLater) {
  TestCluster cluster(1);
  SubmitAndRun(&cluster, "n1", "1", Millis(3000));
  bool armed = true;
  cluster.fault_hook = [&cluster,
                        &armed](const StepEvent& event) -> FaultEffect {
    // The next write to a journal of tasks holds the end.
    if (armed && event.name.rfind("swap tasks/", 0) == 0) {
      armed = false;
      cluster.store_down = true;
    }
    return {};
  };
  cluster.Advance(Millis(6000));
  ASSERT_FALSE(armed);
  cluster.store_down = false;
  ASSERT_TRUE(WaitState(&cluster, "n1", "1", "ended", kCancelBound));
  const TaskAnswer end = cluster.AskTask("n1", TaskOperation::kQuery, "1");
  EXPECT_EQ(end.state["outcome"], "ran");
}

TEST(TaskHome, ACancelEndsATaskThatWaitsForAPlace) {
  TestCluster cluster(1);
  // The limit of team "a" is taken by other tasks.
  for (int n = 0; n < cluster.limit_a; ++n) {
    SubmitAndRun(&cluster, "n1", "f" + std::to_string(n));
  }
  const TaskAnswer answer =
      cluster.AskTask("n1", TaskOperation::kSubmit, "1", kLongTask);
  ASSERT_EQ(answer.code, 0);
  cluster.Advance(Millis(2000));
  ASSERT_EQ(cluster.TaskState("n1", "1"), "queued");
  EXPECT_EQ(cluster.AskTask("n1", TaskOperation::kCancel, "1").code, 0);
  ASSERT_TRUE(WaitState(&cluster, "n1", "1", "ended", kCancelBound));
  const TaskAnswer end = cluster.AskTask("n1", TaskOperation::kQuery, "1");
  EXPECT_EQ(end.state["code"], CodeOf(ResultCode::kCancelled));
  EXPECT_EQ(cluster.RunsOf("1"), 0);
}

/// An entry whose own submission of a run is refused as too late must not stop
/// the run that another entry started.
TEST(TaskHome, ALateRefusalDoesNotStopTheRunOfAnotherHolder) {
  TestCluster cluster(1);
  const std::string home = AnyTaskHome(&cluster);
  const std::string other = home == "n1" ? "n2" : "n1";
  const std::string id = TaskWithHome(&cluster, home);
  SubmitAndRun(&cluster, home, id);
  // Another entry becomes the task's home for a while and reads its journal.
  cluster.Get(home)->peers_cut = true;
  cluster.Advance(Millis(4000));
  const std::string former_home = HomeOfTask(&cluster, other, id);
  ASSERT_NE(former_home, home);
  cluster.Get(home)->peers_cut = false;
  cluster.Advance(Millis(2000));
  cluster.Get(former_home)
      ->tasks->OnFinished(TaskRequestId(id, 1), {.outcome = Outcome::kNotRun});
  cluster.Advance(Millis(3000));
  const TaskAnswer state = cluster.AskTask(home, TaskOperation::kQuery, id);
  EXPECT_EQ(state.state["state"], "running");
  EXPECT_EQ(state.state["run"], 1);
}

/// A run waits in a front door while its task is started as that run and
/// requeued, as after a move of the home. The command for the stale run must
/// not start the next one under its id: nobody would find that run at its
/// worker.
TEST(TaskHome, ACommandForAnEarlierRunDoesNotStartTheNextOne) {
  TestCluster cluster(1);
  const std::string home = AnyTaskHome(&cluster);
  const std::string id = TaskWithHome(&cluster, home);
  // The workers of the pool refuse the first run, so that it is requeued.
  for (const char* worker : {"w1", "w2"}) {
    cluster.workers.at(worker).StopTask(TaskRequestId(id, 1),
                                        cluster.clock.now);
  }
  int writes = 0;
  cluster.fault_hook = [&](const StepEvent& event) -> FaultEffect {
    // The first three writes are acceptance, start and requeue.
    if (event.name.rfind("swap tasks/", 0) != 0 || ++writes != 3) return {};
    Node* node = cluster.Get(home);
    cluster.RunAfterOn(node, Millis(4), [&cluster, node, id] {
      node->tasks->OnCommand({.request_id = TaskRequestId(id, 1),
                              .attempt = 1,
                              .worker = cluster.worker_infos.at("w3"),
                              .team = "a"});
    });
    return {};
  };
  const TaskAnswer answer =
      cluster.AskTask(home, TaskOperation::kSubmit, id, kLongTask);
  ASSERT_EQ(answer.code, 0);
  cluster.Advance(Millis(5000));
  ASSERT_GE(writes, 4);
  EXPECT_EQ(cluster.TaskState(home, id), "running");
  EXPECT_EQ(cluster.RunsOf(id), 1);
  EXPECT_EQ(cluster.RunningOf("a"), 1);
}

/// Sends an ask directly to `node`, as an entry does whose view has it as the
/// home.
TaskAnswer AskDirectly(TestCluster* cluster, const std::string& node,
                       TaskOperation operation, const std::string& id) {
  cluster->task_answers.erase("direct");
  cluster->Get(node)->Deliver({node, cluster->Get(node)->info.incarnation},
                              TaskAsk{.operation = operation,
                                      .call_id = "direct",
                                      .task_id = id,
                                      .team = "a"});
  cluster->Advance(Millis(250));
  return cluster->task_answers["direct"];
}

TEST(TaskHome, AnEntryWithStaleRecordsDoesNotReportATaskAsUnknown) {
  TestCluster cluster(1);
  SubmitAndRun(&cluster, "n1", "1");
  for (const char* node : {"n1", "n2", "n3"}) {
    const TaskAnswer answer =
        AskDirectly(&cluster, node, TaskOperation::kQuery, "1");
    EXPECT_EQ(answer.code, 0) << node;
    ASSERT_TRUE(answer.state.is_object()) << node;
    EXPECT_EQ(answer.state["state"], "running") << node;
  }
  EXPECT_EQ(AskDirectly(&cluster, "n2", TaskOperation::kQuery, "2").code,
            CodeOf(ResultCode::kUnknownTask));
}

TEST(TaskHome, AnEntryWithStaleRecordsDoesNotCancelAnEndedTask) {
  TestCluster cluster(1);
  SubmitAndRun(&cluster, "n1", "1", Millis(3000));
  for (const char* node : {"n1", "n2", "n3"}) {
    AskDirectly(&cluster, node, TaskOperation::kQuery, "1");
  }
  ASSERT_TRUE(WaitState(&cluster, "n1", "1", "ended", Millis(5000)));
  for (const char* node : {"n1", "n2", "n3"}) {
    EXPECT_EQ(AskDirectly(&cluster, node, TaskOperation::kCancel, "1").code,
              CodeOf(ResultCode::kTaskEnded))
        << node;
    const TaskAnswer answer =
        AskDirectly(&cluster, node, TaskOperation::kQuery, "1");
    ASSERT_TRUE(answer.state.is_object()) << node;
    EXPECT_EQ(answer.state["state"], "ended") << node;
  }
}

}  // namespace
}  // namespace basilusher::testing
