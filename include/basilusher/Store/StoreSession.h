// Runs calls to the store on threads of its own, the most pressing first and
// within a rate.
#ifndef BASILUSHER_STORE_STORESESSION_H_
#define BASILUSHER_STORE_STORESESSION_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "basilusher/Store/HttpStore.h"
#include "basilusher/Store/KeyValueStore.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Pure token bucket that keeps a part of the rate for pressing purposes. Not
/// thread-safe.
class StoreLimiter {
 public:
  /// At most `per_second` calls a second in the long run.
  explicit StoreLimiter(double per_second) : rate_(per_second) {
    tokens_ = rate_;
  }
  /// Draws a call for `purpose` if the rate allows it: the less pressing the
  /// purpose, the more of the bucket it must leave.
  bool TryDraw(StorePurpose purpose, TimePoint now);

 private:
  double rate_;
  double tokens_ = 0;
  TimePoint refilled_{};
};

struct StoreSessionOptions {
  HttpStoreOptions store;
  double calls_per_second = 120;
  int threads = 3;
  /// A call that can't be made within this time comes back as kUnavailable.
  Millis queue_timeout{1000};
};

/// Thread-safe. Callbacks run on the session's threads; the caller's adapter
/// moves them to its actor.
class StoreSession : public KeyValueStore {
 public:
  StoreSession(const StoreSessionOptions& options, Counters* counters);
  ~StoreSession() override;

  void Get(StorePurpose purpose, const std::string& key,
           StoreCallback done) override;
  void List(StorePurpose purpose, const std::string& prefix,
            StoreCallback done) override;
  void Swap(StorePurpose purpose, const SwapRequest& request,
            StoreCallback done) override;
  void KeepLease(const std::string& id, Millis ttl,
                 StoreCallback done) override;
  void EndLease(const std::string& id, StoreCallback done) override;

  /// Starts the thread that waits on the watch; `on_changes` runs on it.
  void StartWatch(
      const std::vector<std::string>& prefixes,
      std::function<void(const WatchReply&, TimePoint asked_at)> on_changes);
  /// Starts the thread that reads the platform's list each `period`.
  void StartInstanceList(Millis period,
                         std::function<void(const InstanceLists&)> on_lists);
  /// Finishes queued calls and ends the threads.
  void Stop();

 private:
  struct Call {
    StorePurpose purpose = StorePurpose::kBackground;
    std::string name;
    std::function<StoreReply(HttpStore*)> run;
    StoreCallback done;
    TimePoint since{};
  };

  void Enqueue(Call call);
  void RunThread();
  bool TakeCall(Call* call, bool* overdue);

  StoreSessionOptions options_;
  Counters* counters_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::condition_variable stop_wake_;
  StoreLimiter limiter_;
  /// Queued calls, the most pressing purpose first, in order within it.
  std::multimap<StorePurpose, Call> queue_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_STORESESSION_H_
