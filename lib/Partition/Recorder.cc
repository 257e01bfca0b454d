// Group commit of job records.
#include "basilusher/Partition/Recorder.h"

#include <algorithm>

namespace basilusher {
namespace {

/// Limits on transactions in flight, without a backlog and with a long one. The
/// node has 16 connections to the store, of which watches and leases need some.
constexpr int kUsualInFlight = 3;
constexpr int kMostInFlight = 10;
/// Waiting jobs for each transaction in flight: about three transactions full.
constexpr std::size_t kWaitingPerTransaction = 30;
/// Changes within this time share transactions. In a burst runs end every few
/// milliseconds, and each transaction has a cost. The delay postpones the
/// acknowledgement that lets the worker forget an end; no start waits for it.
constexpr Millis kCommitDelay{20};
/// Delay between attempts while the store refuses or does not answer.
constexpr Millis kRetryDelay{100};
/// Upper bound of the transaction entries for one job that ends: condition,
/// final record, and removals.
constexpr std::size_t kMaxEntriesPerJob = 6;

}  // namespace

Recorder::Recorder(TransactionalStore* store, TimerService* timers,
                   RecorderKeys keys, Listener listener)
    : store_(store),
      timers_(timers),
      keys_(std::move(keys)),
      listener_(std::move(listener)) {}

void Recorder::SetRevision(const std::string& job, std::int64_t revision) {
  revisions_[job] = revision;
}

void Recorder::Save(const std::vector<std::string>& jobs,
                    std::function<void()> on_durable, SavePriority priority) {
  const std::shared_ptr<PendingSave> pending = std::make_shared<PendingSave>();
  pending->jobs_left = jobs.size();
  pending->on_durable = std::move(on_durable);
  if (jobs.empty()) {
    if (pending->on_durable) pending->on_durable();
    return;
  }
  for (const std::string& job : jobs) {
    const auto [it, added] = dirty_.try_emplace(job);
    if (priority == SavePriority::kUrgent) {
      dirty_order_.push_front(job);
    } else if (added) {
      dirty_order_.push_back(job);
    }
    it->second.push_back(pending);
  }
  ScheduleFlush();
}

void Recorder::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  timers_->After(kCommitDelay, [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Flush();
  });
}

int Recorder::MaxInFlight() const {
  const std::size_t by_backlog = dirty_.size() / kWaitingPerTransaction;
  return std::clamp(
      static_cast<int>(std::min<std::size_t>(by_backlog, kMostInFlight)),
      kUsualInFlight, kMostInFlight);
}

void Recorder::Flush() {
  while (!closed_ && in_flight_ < MaxInFlight() && !dirty_order_.empty()) {
    const std::shared_ptr<Batch> batch = std::make_shared<Batch>();
    std::size_t entries = 1;
    std::deque<std::string> deferred;
    while (!dirty_order_.empty() &&
           entries + kMaxEntriesPerJob <= kMaxTxnEntries) {
      std::string job = std::move(dirty_order_.front());
      dirty_order_.pop_front();
      if (!dirty_.contains(job)) continue;
      if (writing_.contains(job)) {
        deferred.push_back(std::move(job));
        continue;
      }
      JobWrite write{
          .job = job, .snapshot = listener_.snapshot(job), .waiters = {}};
      const auto it = dirty_.find(job);
      write.waiters = std::move(it->second);
      dirty_.erase(it);
      if (write.snapshot.absent) {
        FinishWrite(&write);
        continue;
      }
      entries +=
          write.snapshot.final ? 2 + keys_.removed_prefixes.size() + 1 : 2;
      writing_.emplace(job, true);
      batch->push_back(std::move(write));
    }
    dirty_order_.insert(dirty_order_.begin(), deferred.begin(), deferred.end());
    if (batch->empty()) return;
    ++in_flight_;
    Send(batch, std::make_shared<const Txn>(MakeTxn(*batch)));
  }
}

Txn Recorder::MakeTxn(const Batch& batch) const {
  Txn txn;
  txn.conditions.push_back({keys_.term_key, keys_.term_revision});
  for (const JobWrite& write : batch) {
    const auto it = revisions_.find(write.job);
    const std::int64_t revision = it == revisions_.end() ? 0 : it->second;
    const std::string progress = keys_.progress_prefix + write.job;
    txn.conditions.push_back({progress, revision});
    if (!write.snapshot.final) {
      txn.writes.push_back({.key = progress, .value = write.snapshot.bytes});
      continue;
    }
    txn.writes.push_back(
        {.key = keys_.final_prefix + write.job, .value = write.snapshot.bytes});
    if (revision != 0) txn.removals.push_back(progress);
    for (const std::string& prefix : keys_.removed_prefixes) {
      txn.removals.push_back(prefix + write.job);
    }
  }
  return txn;
}

void Recorder::Send(std::shared_ptr<Batch> batch,
                    std::shared_ptr<const Txn> txn) {
  const std::shared_ptr<Recorder> self = shared_from_this();
  store_->Commit(*txn, [self, batch, txn](const StoreAnswer& answer) {
    if (!self->closed_) self->OnAnswer(batch, txn, answer);
  });
}

void Recorder::OnAnswer(const std::shared_ptr<Batch>& batch,
                        const std::shared_ptr<const Txn>& txn,
                        const StoreAnswer& answer) {
  switch (answer.status) {
    case TxnStatus::kOk:
      --in_flight_;
      OnStored(batch.get(), answer.revision);
      ScheduleFlush();
      return;
    case TxnStatus::kConflict:
      OnConflict(batch, answer);
      return;
    default:
      // The retry has the same bytes and the same conditions, so it is safe
      // whether or not the first attempt was carried out.
      timers_->After(kRetryDelay, [self = shared_from_this(), batch, txn] {
        if (!self->closed_) self->Send(batch, txn);
      });
      return;
  }
}

void Recorder::FinishWrite(JobWrite* write) {
  for (const std::shared_ptr<PendingSave>& pending : write->waiters) {
    if (--pending->jobs_left == 0 && pending->on_durable) pending->on_durable();
  }
  write->waiters.clear();
}

void Recorder::OnStored(Batch* batch, std::int64_t revision) {
  for (JobWrite& write : *batch) {
    writing_.erase(write.job);
    if (write.snapshot.final) {
      revisions_.erase(write.job);
      listener_.on_final(write.job);
    } else {
      revisions_[write.job] = revision;
    }
  }
  for (JobWrite& write : *batch) FinishWrite(&write);
}

void Recorder::OnConflict(const std::shared_ptr<Batch>& batch,
                          const StoreAnswer& answer) {
  std::map<std::string, StoredItem> current;
  for (const StoredItem& item : answer.items) current[item.key] = item;
  if (current[keys_.term_key].revision != keys_.term_revision) {
    closed_ = true;
    listener_.on_deposed(current[keys_.term_key].revision);
    return;
  }
  // Either an earlier attempt of this batch was carried out and its answer
  // lost, or a record has changed: then take over the current revisions and
  // write the jobs again.
  --in_flight_;
  bool already_stored = true;
  for (const JobWrite& write : *batch) {
    const StoredItem& item = current[keys_.progress_prefix + write.job];
    const bool matches =
        write.snapshot.final
            ? item.revision == 0 && revisions_.contains(write.job)
            : item.value == write.snapshot.bytes;
    already_stored = already_stored && matches;
  }
  if (already_stored) {
    std::int64_t revision = 0;
    for (const JobWrite& write : *batch) {
      const StoredItem& item = current[keys_.progress_prefix + write.job];
      revision = std::max(revision, item.revision);
    }
    OnStored(batch.get(), revision);
    Flush();
    return;
  }
  for (JobWrite& write : *batch) {
    const StoredItem& item = current[keys_.progress_prefix + write.job];
    writing_.erase(write.job);
    if (item.revision == 0) {
      revisions_.erase(write.job);
    } else {
      revisions_[write.job] = item.revision;
    }
    const auto [it, added] = dirty_.try_emplace(write.job);
    if (added) dirty_order_.push_back(write.job);
    it->second.insert(it->second.end(), write.waiters.begin(),
                      write.waiters.end());
  }
  Flush();
}

}  // namespace basilusher
