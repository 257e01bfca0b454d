// Tasks' runs at the fake workers, and callers of tasks.
#include <array>
#include <utility>

#include "Bench.h"

namespace basilusher::testing {
namespace {

/// Timeout of a call to a worker, as of the product's client.
constexpr Millis kWorkerTimeout{500};
/// Time that a caller waits for the answer of a home, and asks again in it.
constexpr Millis kTaskAnswerWait{1000};
constexpr int kMostTaskAsks = 4;

}  // namespace

void Node::StopRun(const std::string& request_id) {
  bench->ForNode(this, Millis(0),
                 [this, request_id] { tasks->StopRun(request_id); });
}

void Node::Submit(const Submission& submission) {
  bench->ForNode(this, Millis(0),
                 [this, submission] { front->Submit(submission); });
}

void Node::Report(const std::string& request_id, int attempt,
                  const DispatchResult& result) {
  bench->ForNode(this, Millis(0), [this, request_id, attempt, result] {
    front->OnDispatched(request_id, attempt, result);
  });
}

void Node::CallTask(const std::string& step,
                    const std::function<WorkerTaskState()>& call,
                    const std::function<void(const TaskRunReport&)>& done) {
  const Effect effect = bench->OnStep({step, info.instance});
  if (workers_cut) {
    bench->ForNode(this, kWorkerTimeout, [done] { done({}); });
    return;
  }
  bench->At(kNetworkDelay + effect.delay, [this, effect, call, done] {
    constexpr std::array<TaskRunState, 4> kStates = {
        TaskRunState::kRunning, TaskRunState::kDone, TaskRunState::kStopped,
        TaskRunState::kNeverStarted};
    TaskRunReport report{.state = kStates.at(static_cast<std::size_t>(call()))};
    if (report.state == TaskRunState::kDone) report.body = "done";
    if (effect.lose_answer) report = {};
    bench->ForNode(this, effect.lose_answer ? kWorkerTimeout : kNetworkDelay,
                   [done, report] { done(report); });
  });
}

void Node::Start(const DispatchCommand& command, const std::string& body,
                 std::function<void(DispatchStatus)> done) {
  const Effect effect = bench->OnStep({"task start", info.instance});
  if (workers_cut) {
    bench->ForNode(this, kWorkerTimeout,
                   [done] { done(DispatchStatus::kUnreachable); });
    return;
  }
  bench->At(kNetworkDelay + effect.delay, [this, effect, command, body, done] {
    const RunRecord run{.request_id = command.request_id,
                        .attempt = command.attempt,
                        .team = command.team,
                        .holder = ToString({info.instance, info.incarnation}),
                        .tag = TaskOfRequest(command.request_id)};
    const bool started = bench->workers.at(command.worker.id)
                             .StartTask(run, Millis(std::stoi(body)),
                                        kTaskLease, bench->clock.Now());
    DispatchStatus status =
        started ? DispatchStatus::kAnswered : DispatchStatus::kRefused;
    if (effect.lose_answer) status = DispatchStatus::kLost;
    bench->ForNode(this, effect.lose_answer ? kWorkerTimeout : kNetworkDelay,
                   [done, status] { done(status); });
  });
}

void Node::Renew(const WorkerInfo& worker, const std::string& request_id,
                 std::function<void(const TaskRunReport&)> done) {
  CallTask(
      "task renew",
      [this, id = worker.id, request_id] {
        return bench->workers.at(id).RenewTask(request_id, kTaskLease,
                                               bench->clock.Now());
      },
      done);
}

void Node::Stop(const WorkerInfo& worker, const std::string& request_id,
                std::function<void(const TaskRunReport&)> done) {
  CallTask(
      "task stop",
      [this, id = worker.id, request_id] {
        return bench->workers.at(id).StopTask(request_id, bench->clock.Now());
      },
      done);
}

void Node::Reply(const TaskAnswer& answer) {
  bench->task_answers[answer.call_id] = answer;
}

TaskAnswer Bench::AskTask(const std::string& node, TaskOperation operation,
                          const std::string& id, Millis work) {
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
    Advance(kTaskAnswerWait / kMostTaskAsks);
  }
  return task_answers[call];
}

std::string Bench::TaskState(const std::string& node, const std::string& id) {
  const TaskAnswer answer = AskTask(node, TaskOperation::kQuery, id);
  return answer.state.is_object() ? answer.state.value("state", "") : "";
}

}  // namespace basilusher::testing
