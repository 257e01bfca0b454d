// Virtual clock and simulated store.
#include <algorithm>

#include "FleetSim.h"

namespace basilusher {
namespace {

constexpr Millis kStoreLatency{4};
constexpr Millis kCallTimeout{450};
constexpr Millis kDelayedBy{2500};

}  // namespace

void SimTimers::After(Millis delay, std::function<void()> task) {
  queue_.push({now_ + std::max(delay, Millis(0)), order_++, std::move(task)});
}

void SimTimers::Run(Millis duration) {
  const TimePoint until = now_ + duration;
  while (!queue_.empty() && queue_.top().at <= until) {
    Entry entry = queue_.top();
    queue_.pop();
    now_ = std::max(now_, entry.at);
    entry.task();
  }
  now_ = until;
}

// Store.

void SimStore::Answer(const StoreAnswerCallback& done, StoreAnswer answer) {
  timers_->After(kStoreLatency, [done, answer] { done(answer); });
}

bool SimStore::InjectFault(const StoreAnswerCallback& done, bool write) {
  switch (fault) {
    case SimFault::kNone:
      return false;
    case SimFault::kRefused:
      Answer(done, {.status = TxnStatus::kRefused});
      return true;
    case SimFault::kAnswerLost:
    case SimFault::kDelayed:
      if (!write) return false;
      break;
    case SimFault::kRequestLost:
      break;
  }
  timers_->After(kCallTimeout, [done] { done({.status = TxnStatus::kLost}); });
  return true;
}

void SimStore::Get(const std::string& key, StoreAnswerCallback done) {
  if (InjectFault(done, false)) return;
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return Answer(done, {.status = TxnStatus::kNotFound});
  }
  Answer(
      done,
      {.status = TxnStatus::kOk, .items = {it->second}, .revision = revision_});
}

void SimStore::List(const std::string& prefix, StoreAnswerCallback done,
                    StoreProgressCallback) {
  ++lists[prefix];
  if (InjectFault(done, false)) return;
  StoreAnswer answer{.status = TxnStatus::kOk, .revision = revision_};
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) answer.items.push_back(item);
  }
  Answer(done, answer);
}

void SimStore::Watch(const std::string& prefix, std::int64_t revision,
                     Millis wait, StoreAnswerCallback done,
                     StoreProgressCallback) {
  if (InjectFault(done, false)) return;
  PollWatch(prefix, revision, timers_->Now() + wait, done);
}

void SimStore::PollWatch(const std::string& prefix, std::int64_t revision,
                         TimePoint until, const StoreAnswerCallback& done) {
  if (revision < compacted_) {
    return Answer(done, {.status = TxnStatus::kCompacted});
  }
  StoreAnswer answer{.status = TxnStatus::kOk, .revision = revision_};
  for (const StoredItem& item : history_) {
    if (item.revision > revision && item.key.starts_with(prefix)) {
      answer.items.push_back(item);
    }
  }
  if (!answer.items.empty() || timers_->Now() >= until) {
    const Millis delay =
        prefix.starts_with(delayed_prefix) ? watch_delay : Millis(0);
    timers_->After(delay, [this, done, answer] { Answer(done, answer); });
    return;
  }
  timers_->After(kStoreLatency, [this, prefix, revision, until, done] {
    if (InjectFault(done, false)) return;
    PollWatch(prefix, revision, until, done);
  });
}

StoreAnswer SimStore::Apply(const Txn& txn) {
  StoreAnswer answer;
  bool holds = true;
  for (const TxnCondition& condition : txn.conditions) {
    const auto it = items_.find(condition.key);
    StoredItem item;
    if (it != items_.end()) item = it->second;
    item.key = condition.key;
    holds = holds && item.revision == condition.revision;
    answer.items.push_back(item);
  }
  if (!holds) {
    answer.status = TxnStatus::kConflict;
    return answer;
  }
  ++revision_;
  ++commits;
  for (const TxnWrite& write : txn.writes) {
    items_[write.key] = {
        .key = write.key, .value = write.value, .revision = revision_};
    history_.push_back(items_[write.key]);
  }
  for (const std::string& key : txn.removals) {
    if (items_.erase(key) == 0) continue;
    history_.push_back({.key = key, .revision = revision_, .removed = true});
  }
  return {.status = TxnStatus::kOk, .revision = revision_};
}

bool SimStore::IsRefused(const Txn& txn) const {
  return std::any_of(
      txn.writes.begin(), txn.writes.end(), [this](const TxnWrite& write) {
        return std::any_of(refused_prefixes.begin(), refused_prefixes.end(),
                           [&write](const std::string& prefix) {
                             return write.key.starts_with(prefix);
                           });
      });
}

void SimStore::Commit(const Txn& txn, StoreAnswerCallback done) {
  if (IsRefused(txn)) return Answer(done, {.status = TxnStatus::kRefused});
  if (txn.conditions.size() + txn.writes.size() + txn.removals.size() >
      kMaxTxnEntries) {
    return Answer(done, {.status = TxnStatus::kRefused});
  }
  if (fault == SimFault::kAnswerLost) Apply(txn);
  if (fault == SimFault::kDelayed) {
    timers_->After(kDelayedBy, [this, txn] { Apply(txn); });
  }
  if (InjectFault(done, true)) return;
  Answer(done, Apply(txn));
}

void SimStore::GrantLease(Millis, StoreAnswerCallback done) {
  Answer(done, {.status = TxnStatus::kOk, .revision = 1});
}
void SimStore::KeepLease(std::int64_t, StoreAnswerCallback done) {
  Answer(done, {.status = TxnStatus::kOk});
}
void SimStore::EndLease(std::int64_t, StoreAnswerCallback done) {
  ++leases_ended;
  Answer(done, {.status = TxnStatus::kOk});
}

std::int64_t SimStore::Put(const std::string& key, const std::string& value) {
  Txn txn;
  txn.writes.push_back({.key = key, .value = value});
  return Apply(txn).revision;
}

void SimStore::Remove(const std::string& key) {
  Txn txn;
  txn.removals.push_back(key);
  Apply(txn);
}

std::string SimStore::Value(const std::string& key) const {
  const auto it = items_.find(key);
  return it == items_.end() ? std::string() : it->second.value;
}

// Connection to the store.

bool StoreConnection::FailIfCut(const StoreAnswerCallback& done) {
  if (!cut) return false;
  timers_->After(kCallTimeout, [done] { done({.status = TxnStatus::kLost}); });
  return true;
}

StoreAnswerCallback StoreConnection::Guard(const StoreAnswerCallback& done) {
  return [this, done](const StoreAnswer& answer) {
    if (!FailIfCut(done)) done(answer);
  };
}

void StoreConnection::Get(const std::string& key, StoreAnswerCallback done) {
  if (!FailIfCut(done)) store_->Get(key, Guard(done));
}
void StoreConnection::List(const std::string& prefix, StoreAnswerCallback done,
                           StoreProgressCallback on_progress) {
  if (FailIfCut(done)) return;
  store_->List(prefix, Guard(done), std::move(on_progress));
}
void StoreConnection::Watch(const std::string& prefix, std::int64_t revision,
                            Millis wait, StoreAnswerCallback done,
                            StoreProgressCallback on_progress) {
  if (FailIfCut(done)) return;
  store_->Watch(prefix, revision, wait, Guard(done), std::move(on_progress));
}
void StoreConnection::Commit(const Txn& txn, StoreAnswerCallback done) {
  if (!FailIfCut(done)) store_->Commit(txn, Guard(done));
}
void StoreConnection::GrantLease(Millis ttl, StoreAnswerCallback done) {
  if (!FailIfCut(done)) store_->GrantLease(ttl, Guard(done));
}
void StoreConnection::KeepLease(std::int64_t lease, StoreAnswerCallback done) {
  if (!FailIfCut(done)) store_->KeepLease(lease, Guard(done));
}
void StoreConnection::EndLease(std::int64_t lease, StoreAnswerCallback done) {
  if (!FailIfCut(done)) store_->EndLease(lease, Guard(done));
}

}  // namespace basilusher
