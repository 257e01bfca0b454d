// Side effects of the task home in a real entry.
#ifndef BASILUSHER_LIB_DAEMON_ENTRYTASKS_H_
#define BASILUSHER_LIB_DAEMON_ENTRYTASKS_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "EntryServices.h"
#include "basilusher/Control/TaskHome.h"

namespace basilusher {

/// Thread-safe.
class EntryTasks : public TaskDelegate {
 public:
  explicit EntryTasks(EntryServices* services) : services_(services) {}

  void Submit(const Submission& submission) override;
  void Report(const std::string& request_id, int attempt,
              const DispatchResult& result) override;
  void Start(const DispatchCommand& command, const std::string& body,
             std::function<void(DispatchStatus)> done) override;
  void Renew(const WorkerInfo& worker, const std::string& request_id,
             std::function<void(const TaskRunReport&)> done) override;
  void Stop(const WorkerInfo& worker, const std::string& request_id,
            std::function<void(const TaskRunReport&)> done) override;
  void Reply(const TaskAnswer& answer) override;

  /// Sends `ask` to the home of its task, again until it is answered; a call of
  /// the HTTP interface. The answer has code kClaimUnavailable after a time.
  TaskAnswer Call(TaskAsk ask);

 private:
  void OnHome(std::function<void()> work) const;

  EntryServices* services_;
  std::mutex mutex_;
  std::condition_variable answered_;
  std::map<std::string, TaskAnswer> answers_;
};

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_ENTRYTASKS_H_
