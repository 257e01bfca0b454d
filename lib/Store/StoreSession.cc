// Threads, priorities and rate of the calls to the store.
#include "basilusher/Store/StoreSession.h"

#include <algorithm>
#include <utility>

namespace basilusher {
namespace {

constexpr Millis kWatchWait{1000};
constexpr Millis kFailurePause{200};
constexpr Millis kLimiterPause{5};

/// Part of the bucket that a purpose must leave to more pressing ones.
double ReserveFor(StorePurpose purpose) {
  switch (purpose) {
    case StorePurpose::kLease:
      return 0.0;
    case StorePurpose::kClaim:
      return 0.1;
    case StorePurpose::kPlace:
      return 0.2;
    case StorePurpose::kConfig:
      return 0.3;
    case StorePurpose::kBackground:
      return 0.5;
  }
  return 0.5;
}

}  // namespace

bool StoreLimiter::TryDraw(StorePurpose purpose, TimePoint now) {
  if (refilled_ == TimePoint{}) refilled_ = now;
  const double seconds = static_cast<double>((now - refilled_).count()) / 1000;
  tokens_ = std::min(rate_, tokens_ + seconds * rate_);
  refilled_ = now;
  if (tokens_ - 1 < ReserveFor(purpose) * rate_) return false;
  tokens_ -= 1;
  return true;
}

StoreSession::StoreSession(const StoreSessionOptions& options,
                           Counters* counters)
    : options_(options),
      counters_(counters),
      limiter_(options.calls_per_second) {
  for (int n = 0; n < options_.threads; ++n) {
    threads_.emplace_back([this] { RunThread(); });
  }
}

StoreSession::~StoreSession() { Stop(); }

void StoreSession::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) return;
    stopping_ = true;
  }
  wake_.notify_all();
  stop_wake_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void StoreSession::Enqueue(Call call) {
  call.since = SteadyClock().Now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queue_.emplace(call.purpose, std::move(call));
  }
  wake_.notify_one();
}

bool StoreSession::TakeCall(Call* call, bool* overdue) {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    if (queue_.empty()) {
      if (stopping_) return false;
      wake_.wait(lock);
      continue;
    }
    const TimePoint now = SteadyClock().Now();
    const auto it = queue_.begin();
    *overdue = now - it->second.since > options_.queue_timeout;
    if (*overdue || limiter_.TryDraw(it->first, now)) {
      *call = std::move(it->second);
      queue_.erase(it);
      return true;
    }
    wake_.wait_for(lock, kLimiterPause);
  }
}

void StoreSession::RunThread() {
  HttpStore store(options_.store);
  Call call;
  bool overdue = false;
  while (TakeCall(&call, &overdue)) {
    if (overdue) {
      counters_->Add("store_calls_given_up");
      call.done({.status = StoreStatus::kUnavailable});
      continue;
    }
    counters_->Add("store_calls_" + call.name + "_" +
                   std::string(NameOf(kStorePurposeNames, call.purpose)));
    const StoreReply reply = call.run(&store);
    if (reply.status == StoreStatus::kUnavailable ||
        reply.status == StoreStatus::kAnswerLost) {
      counters_->Add("store_failures");
    }
    call.done(reply);
  }
}

void StoreSession::Get(StorePurpose purpose, const std::string& key,
                       StoreCallback done) {
  Enqueue({.purpose = purpose,
           .name = "get",
           .run = [key](HttpStore* store) { return store->Get(key); },
           .done = std::move(done)});
}

void StoreSession::List(StorePurpose purpose, const std::string& prefix,
                        StoreCallback done) {
  Enqueue({.purpose = purpose,
           .name = "list",
           .run = [prefix](HttpStore* store) { return store->List(prefix); },
           .done = std::move(done)});
}

void StoreSession::Swap(StorePurpose purpose, const SwapRequest& request,
                        StoreCallback done) {
  Enqueue({.purpose = purpose,
           .name = "swap",
           .run = [request](HttpStore* store) { return store->Swap(request); },
           .done = std::move(done)});
}

void StoreSession::KeepLease(const std::string& id, Millis ttl,
                             StoreCallback done) {
  Enqueue(
      {.purpose = StorePurpose::kLease,
       .name = "lease",
       .run = [id, ttl](HttpStore* store) { return store->KeepLease(id, ttl); },
       .done = std::move(done)});
}

void StoreSession::EndLease(const std::string& id, StoreCallback done) {
  Enqueue({.purpose = StorePurpose::kLease,
           .name = "lease",
           .run = [id](HttpStore* store) { return store->EndLease(id); },
           .done = std::move(done)});
}

void StoreSession::StartWatch(
    const std::vector<std::string>& prefixes,
    std::function<void(const WatchReply&, TimePoint)> on_changes) {
  threads_.emplace_back([this, prefixes, on_changes = std::move(on_changes)] {
    HttpStore store(options_.store);
    std::int64_t revision = 0;
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      lock.unlock();
      const TimePoint asked_at = SteadyClock().Now();
      counters_->Add("store_calls_watch");
      const WatchReply reply = store.Watch(prefixes, revision, kWatchWait);
      if (reply.status == StoreStatus::kOk) {
        revision = reply.revision;
        on_changes(reply, asked_at);
      }
      lock.lock();
      if (reply.status != StoreStatus::kOk) {
        stop_wake_.wait_for(lock, kFailurePause, [this] { return stopping_; });
      }
    }
  });
}

void StoreSession::StartInstanceList(
    Millis period, std::function<void(const InstanceLists&)> on_lists) {
  threads_.emplace_back([this, period, on_lists = std::move(on_lists)] {
    HttpStore store(options_.store);
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      lock.unlock();
      counters_->Add("store_calls_instances");
      const InstanceLists lists = store.ListInstances();
      if (lists.status == StoreStatus::kOk) on_lists(lists);
      lock.lock();
      stop_wake_.wait_for(lock, period, [this] { return stopping_; });
    }
  });
}

}  // namespace basilusher
