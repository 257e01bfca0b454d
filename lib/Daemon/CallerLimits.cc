// Budget of requests' bytes and queue of connections.
#include "CallerLimits.h"

#include <atomic>
#include <string>
#include <utility>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kLogPeriod{1000};

thread_local bool refusing = false;
std::atomic<std::size_t> callers_waiting{0};

}  // namespace

bool CallerBudget::Take(std::size_t n) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (held_bytes_ + n > max_bytes_) return false;
  held_bytes_ += n;
  return true;
}

void CallerBudget::Release(std::size_t n) {
  const std::lock_guard<std::mutex> lock(mutex_);
  held_bytes_ -= n;
}

void CallerBudget::NoteLimit(CallerLimit reason) {
  counters_->Add("callers_limited_" +
                 std::string(NameOf(kCallerLimitNames, reason)));
  Json fields;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++unlogged_[static_cast<std::size_t>(reason)];
    const TimePoint now = SteadyClock().Now();
    if (now < next_log_at_) return;
    next_log_at_ = now + kLogPeriod;
    fields = {{"held_bytes", held_bytes_}, {"max_bytes", max_bytes_}};
    for (const auto& [limit, name] : kCallerLimitNames) {
      std::int64_t& count = unlogged_[static_cast<std::size_t>(limit)];
      if (count > 0) fields[std::string(name)] = count;
      count = 0;
    }
  }
  LogEvent(LogLevel::kWarning, "callers-limited", fields);
}

BoundedTaskQueue::BoundedTaskQueue(std::size_t threads, std::size_t max_waiting)
    : max_waiting_(max_waiting) {
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Work(); });
  }
}

void BoundedTaskQueue::enqueue(std::function<void()> fn) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (waiting_.size() < max_waiting_) {
      waiting_.push_back(std::move(fn));
      ++callers_waiting;
      wake_.notify_one();
      return;
    }
  }
  refusing = true;
  fn();
  refusing = false;
}

void BoundedTaskQueue::shutdown() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

bool BoundedTaskQueue::Refusing() { return refusing; }

void BoundedTaskQueue::Work() {
  while (true) {
    std::function<void()> fn;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
      if (waiting_.empty()) return;
      fn = std::move(waiting_.front());
      waiting_.pop_front();
      --callers_waiting;
    }
    fn();
  }
}

bool CallersWait() { return callers_waiting > 0; }

}  // namespace basilusher
