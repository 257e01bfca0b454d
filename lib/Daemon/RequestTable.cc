// Instructions to callers' threads, and a thread pool.
#include "basilusher/Daemon/RequestTable.h"

#include <utility>

#include "basilusher/Control/TaskHome.h"

namespace basilusher {

Instruction Exchange::Next() {
  std::unique_lock<std::mutex> lock(mutex_);
  wake_.wait(lock, [this] { return !instructions_.empty(); });
  Instruction instruction = std::move(instructions_.front());
  instructions_.pop_front();
  return instruction;
}

void Exchange::Put(Instruction instruction) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    instructions_.push_back(std::move(instruction));
  }
  wake_.notify_one();
}

ThreadPool::ThreadPool(int threads) {
  for (int n = 0; n < threads; ++n) {
    threads_.emplace_back([this] { RunThread(); });
  }
}

ThreadPool::~ThreadPool() { Stop(); }

void ThreadPool::Post(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) return;
    work_.push_back(std::move(work));
  }
  wake_.notify_one();
}

void ThreadPool::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    work_.clear();
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void ThreadPool::RunThread() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || !work_.empty(); });
    if (stopping_) return;
    const std::function<void()> work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

std::shared_ptr<Exchange> RequestTable::Open(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
  exchanges_[request_id] = exchange;
  return exchange;
}

void RequestTable::Close(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  exchanges_.erase(request_id);
}

std::shared_ptr<Exchange> RequestTable::Find(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = exchanges_.find(request_id);
  return it == exchanges_.end() ? nullptr : it->second;
}

void RequestTable::Dispatch(const DispatchCommand& command) {
  if (!TaskIdOfRequest(command.request_id).empty()) {
    tasks_.on_command(command);
    return;
  }
  const std::shared_ptr<Exchange> exchange = Find(command.request_id);
  if (exchange != nullptr) exchange->Put({.command = command});
}

void RequestTable::Finish(const std::string& request_id, const Answer& answer) {
  if (!TaskIdOfRequest(request_id).empty()) {
    tasks_.on_finished(request_id, answer);
    return;
  }
  const std::shared_ptr<Exchange> exchange = Find(request_id);
  if (exchange != nullptr) exchange->Put({.answer = answer});
}

void RequestTable::CheckRun(const WorkerInfo& worker,
                            const std::string& request_id, int attempt) {
  check_(worker, request_id, attempt);
}

}  // namespace basilusher
