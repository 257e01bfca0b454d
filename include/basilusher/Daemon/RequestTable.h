// Joins the callers' threads with the front door's state machine.
#ifndef BASILUSHER_DAEMON_REQUESTTABLE_H_
#define BASILUSHER_DAEMON_REQUESTTABLE_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "basilusher/Control/FrontDoor.h"

namespace basilusher {

/// What the front door wants of a caller's thread.
struct Instruction {
  std::optional<DispatchCommand> command;
  std::optional<Answer> answer;
};

/// One caller's thread and what it is told to do. Thread-safe.
class Exchange {
 public:
  /// Waits for the next instruction.
  Instruction Next();
  void Put(Instruction instruction);

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Instruction> instructions_;
};

/// A small pool of threads for short blocking calls. Thread-safe.
class ThreadPool {
 public:
  explicit ThreadPool(int threads);
  ~ThreadPool();
  void Post(std::function<void()> work);
  /// Drops queued work and ends the threads.
  void Stop();

 private:
  void RunThread();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> work_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

/// Dispatcher whose commands are carried out by the thread that holds the
/// caller's connection, so that payloads are never copied to another thread.
/// Thread-safe.
class RequestTable : public Dispatcher {
 public:
  using Checker = std::function<void(
      const WorkerInfo& worker, const std::string& request_id, int attempt)>;

  /// Orders and answers of tasks' runs, which no caller's thread waits for.
  struct TaskHandlers {
    std::function<void(const DispatchCommand& command)> on_command;
    std::function<void(const std::string& request_id, const Answer& answer)>
        on_finished;
    std::function<void(const std::string& request_id)> on_stop;
  };

  /// `check` asks a worker about an attempt without blocking.
  RequestTable(Checker check, TaskHandlers tasks)
      : check_(std::move(check)), tasks_(std::move(tasks)) {}

  std::shared_ptr<Exchange> Open(const std::string& request_id);
  void Close(const std::string& request_id);

  void Dispatch(const DispatchCommand& command) override;
  void Finish(const std::string& request_id, const Answer& answer) override;
  void CheckRun(const WorkerInfo& worker, const std::string& request_id,
                int attempt) override;
  void StopRun(const std::string& request_id) override {
    tasks_.on_stop(request_id);
  }

 private:
  std::shared_ptr<Exchange> Find(const std::string& request_id);

  Checker check_;
  TaskHandlers tasks_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace basilusher

#endif  // BASILUSHER_DAEMON_REQUESTTABLE_H_
