// Runs of tasks at workers, and calls about tasks.
#include "EntryTasks.h"

#include <utility>

namespace basilusher {
namespace {

constexpr Millis kCallTimeout{4000};
constexpr Millis kResendPeriod{300};
constexpr int kCallIdDigits = 16;

}  // namespace

void EntryTasks::OnHome(std::function<void()> work) const {
  services_->directory.Run(
      ComponentKind::kTaskHome,
      [work = std::move(work)](Component* /*component*/) { work(); });
}

void EntryTasks::Submit(const Submission& submission) {
  services_->directory.Run(
      ComponentKind::kFrontDoor, [submission](Component* component) {
        static_cast<FrontDoor*>(component)->Submit(submission);
      });
}

void EntryTasks::Report(const std::string& request_id, int attempt,
                        const DispatchResult& result) {
  services_->directory.Run(ComponentKind::kFrontDoor,
                           [request_id, attempt, result](Component* component) {
                             static_cast<FrontDoor*>(component)->OnDispatched(
                                 request_id, attempt, result);
                           });
}

void EntryTasks::Start(const DispatchCommand& command, const std::string& body,
                       std::function<void(DispatchStatus)> done) {
  services_->pool->Post([this, command, body, done] {
    const DispatchStatus status =
        services_->workers->StartTask(command, body, kTaskLeaseTtl);
    OnHome([done, status] { done(status); });
  });
}

void EntryTasks::Renew(const WorkerInfo& worker, const std::string& request_id,
                       std::function<void(const TaskRunReport&)> done) {
  services_->pool->Post([this, worker, request_id, done] {
    const TaskRunReport report =
        services_->workers->RenewTask(worker, request_id, kTaskLeaseTtl);
    OnHome([done, report] { done(report); });
  });
}

void EntryTasks::Stop(const WorkerInfo& worker, const std::string& request_id,
                      std::function<void(const TaskRunReport&)> done) {
  services_->pool->Post([this, worker, request_id, done] {
    const TaskRunReport report =
        services_->workers->StopTask(worker, request_id);
    OnHome([done, report] { done(report); });
  });
}

void EntryTasks::Reply(const TaskAnswer& answer) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = answers_.find(answer.call_id);
    if (it == answers_.end()) return;
    it->second = answer;
  }
  answered_.notify_all();
}

TaskAnswer EntryTasks::Call(TaskAsk ask) {
  ask.call_id = RandomHex(&services_->random, kCallIdDigits);
  const Context context{.self = services_->self, .views = &services_->views};
  const TimePoint until = services_->clock.Now() + kCallTimeout;
  std::unique_lock<std::mutex> lock(mutex_);
  answers_[ask.call_id] = TaskAnswer{};
  TaskAnswer answer;
  while (answer.call_id.empty() && services_->clock.Now() < until) {
    lock.unlock();
    services_->bus->Send(
        HomeOrSelf(context, TaskSubject(TaskBucketOf(ask.task_id))), ask);
    lock.lock();
    answered_.wait_for(lock, kResendPeriod, [this, &ask] {
      return !answers_[ask.call_id].call_id.empty();
    });
    answer = answers_[ask.call_id];
  }
  answers_.erase(ask.call_id);
  if (answer.call_id.empty()) {
    answer.code = static_cast<int>(ResultCode::kClaimUnavailable);
  }
  return answer;
}

}  // namespace basilusher
