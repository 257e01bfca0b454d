// Bounds on what callers outside the limits may use of an entry.
#ifndef BASILUSHER_LIB_DAEMON_CALLERLIMITS_H_
#define BASILUSHER_LIB_DAEMON_CALLERLIMITS_H_

#include <httplib.h>

#include <array>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// Why a request was rejected or a connection closed.
enum class CallerLimit { kHead, kBody, kTime, kMemory, kQueue };

inline constexpr EnumTable<CallerLimit, 5> kCallerLimitNames = {{
    {CallerLimit::kHead, "head"},
    {CallerLimit::kBody, "body"},
    {CallerLimit::kTime, "time"},
    {CallerLimit::kMemory, "memory"},
    {CallerLimit::kQueue, "queue"},
}};

/// Bytes of requests that are not answered yet, over all threads. Thread-safe.
class CallerBudget {
 public:
  CallerBudget(std::size_t max_bytes, Counters* counters)
      : max_bytes_(max_bytes), counters_(counters) {}

  /// Takes `n` more bytes; false, and nothing taken, if that is beyond the
  /// budget.
  bool Take(std::size_t n);
  void Release(std::size_t n);
  /// Counts and logs one rejection, at most one line a second.
  void NoteLimit(CallerLimit reason);

 private:
  const std::size_t max_bytes_;
  Counters* counters_;
  std::mutex mutex_;
  std::size_t held_bytes_ = 0;
  std::array<std::int64_t, kCallerLimitNames.size()> unlogged_{};
  TimePoint next_log_at_{};
};

/// Threads with a bounded queue of connections that wait for one. Thread-safe
/// as the library's own.
class BoundedTaskQueue : public httplib::TaskQueue {
 public:
  BoundedTaskQueue(std::size_t threads, std::size_t max_waiting);

  /// A task beyond the queue's bound runs at once, with Refusing() true.
  void enqueue(std::function<void()> fn)
      override;              // NOLINT(readability-identifier-naming)
  void shutdown() override;  // NOLINT(readability-identifier-naming)

  /// Whether this thread's task is to refuse its connection.
  static bool Refusing();

 private:
  void Work();

  const std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> waiting_;
  std::vector<std::thread> threads_;
  bool stopping_ = false;
};

/// Whether connections wait for a thread of any queue of the process.
/// Thread-safe.
bool CallersWait();

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_CALLERLIMITS_H_
