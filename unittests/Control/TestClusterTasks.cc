// Task runs at the simulated workers, and calls to the task interface.
#include <array>
#include <utility>

#include "TestCluster.h"

namespace basilusher::testing {
namespace {

/// Time-out of a call to a worker; the same as in the production client.
constexpr Millis kWorkerTimeout{500};
/// Time for which a caller waits for an answer, and the number of asks that it
/// sends in that time.
constexpr Millis kTaskAnswerWait{1000};
constexpr int kMaxTaskAsks = 4;

}  // namespace

void Node::StopRun(const std::string& request_id) {
  cluster->RunAfterOn(this, Millis(0),
                      [this, request_id] { tasks->StopRun(request_id); });
}

void Node::Submit(const Submission& submission) {
  cluster->RunAfterOn(this, Millis(0),
                      [this, submission] { front->Submit(submission); });
}

void Node::Report(const std::string& request_id, int attempt,
                  const DispatchResult& result) {
  cluster->RunAfterOn(this, Millis(0), [this, request_id, attempt, result] {
    front->OnDispatched(request_id, attempt, result);
  });
}

void Node::CallTask(const std::string& step,
                    const std::function<WorkerTaskState()>& call,
                    const std::function<void(const TaskRunReport&)>& done) {
  const FaultEffect effect = cluster->OnStep({step, info.instance});
  if (workers_cut) {
    cluster->RunAfterOn(this, kWorkerTimeout, [done] { done({}); });
    return;
  }
  cluster->RunAfter(kNetworkDelay + effect.delay, [this, effect, call, done] {
    constexpr std::array<TaskRunState, 4> kStates = {
        TaskRunState::kRunning, TaskRunState::kDone, TaskRunState::kStopped,
        TaskRunState::kNeverStarted};
    TaskRunReport report{.state = kStates.at(static_cast<std::size_t>(call()))};
    if (report.state == TaskRunState::kDone) report.body = "done";
    if (effect.lose_answer) report = {};
    cluster->RunAfterOn(this,
                        effect.lose_answer ? kWorkerTimeout : kNetworkDelay,
                        [done, report] { done(report); });
  });
}

void Node::Start(const DispatchCommand& command, const std::string& body,
                 std::function<void(DispatchStatus)> done) {
  const FaultEffect effect = cluster->OnStep({"task start", info.instance});
  if (workers_cut) {
    cluster->RunAfterOn(this, kWorkerTimeout,
                        [done] { done(DispatchStatus::kUnreachable); });
    return;
  }
  cluster->RunAfter(kNetworkDelay + effect.delay, [this, effect, command, body,
                                                   done] {
    const RunRecord run{.request_id = command.request_id,
                        .attempt = command.attempt,
                        .team = command.team,
                        .holder = ToString({info.instance, info.incarnation}),
                        .tag = TaskIdOfRequest(command.request_id)};
    const bool started = cluster->workers.at(command.worker.id)
                             .StartTask(run, Millis(std::stoi(body)),
                                        kTaskLeaseTtl, cluster->clock.Now());
    DispatchStatus status =
        started ? DispatchStatus::kAnswered : DispatchStatus::kRefused;
    if (effect.lose_answer) status = DispatchStatus::kLost;
    cluster->RunAfterOn(this,
                        effect.lose_answer ? kWorkerTimeout : kNetworkDelay,
                        [done, status] { done(status); });
  });
}

void Node::Renew(const WorkerInfo& worker, const std::string& request_id,
                 std::function<void(const TaskRunReport&)> done) {
  CallTask(
      "task renew",
      [this, id = worker.id, request_id] {
        return cluster->workers.at(id).RenewTask(request_id, kTaskLeaseTtl,
                                                 cluster->clock.Now());
      },
      done);
}

void Node::Stop(const WorkerInfo& worker, const std::string& request_id,
                std::function<void(const TaskRunReport&)> done) {
  CallTask(
      "task stop",
      [this, id = worker.id, request_id] {
        return cluster->workers.at(id).StopTask(request_id,
                                                cluster->clock.Now());
      },
      done);
}

void Node::Reply(const TaskAnswer& answer) {
  cluster->task_answers[answer.call_id] = answer;
}

TaskAnswer TestCluster::AskTask(const std::string& node,
                                TaskOperation operation, const std::string& id,
                                Millis work) {
  const std::string call = "call" + std::to_string(next_request_++);
  const TaskAsk ask{.operation = operation,
                    .call_id = call,
                    .task_id = id,
                    .team = "a",
                    .queue = "many",
                    .body = std::to_string(work.count())};
  const Context context{.self = Get(node)->info, .views = &Get(node)->views};
  const TimePoint until = clock.now + kTaskAnswerWait;
  while (!task_answers.contains(call) && clock.now < until) {
    Get(node)->Send(HomeOrSelf(context, TaskSubject(TaskBucketOf(id))), ask);
    Advance(kTaskAnswerWait / kMaxTaskAsks);
  }
  return task_answers[call];
}

std::string TestCluster::TaskState(const std::string& node,
                                   const std::string& id) {
  const TaskAnswer answer = AskTask(node, TaskOperation::kQuery, id);
  return answer.state.is_object() ? answer.state.value("state", "") : "";
}

}  // namespace basilusher::testing
