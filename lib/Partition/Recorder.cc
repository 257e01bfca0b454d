// Group commit.
#include "basilusher/Partition/Recorder.h"

#include <algorithm>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Transactions under way at a time.
constexpr int kMaxInFlight = 3;
/// Changes of this time share transactions. In a burst ends come every few
/// milliseconds, and each transaction is paid for; an end waits so long before
/// its worker may forget it, and no start waits for that.
constexpr Millis kGatherTime{20};
/// Between tries while the store refuses or is silent.
constexpr Millis kRetryDelay{100};
/// Rows of one job that ends: condition, final record, and removals.
constexpr std::size_t kMaxRowsPerJob = 6;

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
                    std::function<void()> durable) {
  const std::shared_ptr<PendingSave> pending = std::make_shared<PendingSave>();
  pending->jobs_left = jobs.size();
  pending->durable = std::move(durable);
  if (jobs.empty()) {
    if (pending->durable) pending->durable();
    return;
  }
  for (const std::string& job : jobs) {
    const auto [it, added] = dirty_.try_emplace(job);
    if (added) order_.push_back(job);
    it->second.push_back(pending);
  }
  ScheduleFlush();
}

void Recorder::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  timers_->After(kGatherTime, [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Flush();
  });
}

void Recorder::Flush() {
  while (!closed_ && in_flight_ < kMaxInFlight && !order_.empty()) {
    const std::shared_ptr<Batch> batch = std::make_shared<Batch>();
    std::size_t rows = 1;
    std::deque<std::string> later;
    while (!order_.empty() && rows + kMaxRowsPerJob <= kMaxTxnEntries) {
      std::string job = std::move(order_.front());
      order_.pop_front();
      if (writing_.contains(job)) {
        later.push_back(std::move(job));
        continue;
      }
      JobWrite row{
          .job = job, .snapshot = listener_.snapshot(job), .waiters = {}};
      const auto it = dirty_.find(job);
      row.waiters = std::move(it->second);
      dirty_.erase(it);
      if (row.snapshot.absent) {
        FinishWrite(&row);
        continue;
      }
      rows += row.snapshot.final ? 2 + keys_.removed_prefixes.size() + 1 : 2;
      writing_.emplace(job, true);
      batch->push_back(std::move(row));
    }
    order_.insert(order_.begin(), later.begin(), later.end());
    if (batch->empty()) return;
    ++in_flight_;
    Send(batch, MakeTxn(*batch));
  }
}

Txn Recorder::MakeTxn(const Batch& batch) const {
  Txn txn;
  txn.conditions.push_back({keys_.term_key, keys_.term_revision});
  for (const JobWrite& row : batch) {
    const auto it = revisions_.find(row.job);
    const std::int64_t revision = it == revisions_.end() ? 0 : it->second;
    const std::string progress = keys_.progress_prefix + row.job;
    txn.conditions.push_back({progress, revision});
    if (!row.snapshot.final) {
      txn.writes.push_back({.key = progress, .value = row.snapshot.bytes});
      continue;
    }
    txn.writes.push_back(
        {.key = keys_.final_prefix + row.job, .value = row.snapshot.bytes});
    if (revision != 0) txn.removals.push_back(progress);
    for (const std::string& prefix : keys_.removed_prefixes) {
      txn.removals.push_back(prefix + row.job);
    }
  }
  return txn;
}

void Recorder::Send(std::shared_ptr<Batch> batch, Txn txn) {
  const std::shared_ptr<Recorder> self = shared_from_this();
  store_->Commit(txn, [self, batch, txn](const StoreAnswer& answer) {
    if (!self->closed_) self->OnAnswer(batch, txn, answer);
  });
}

void Recorder::OnAnswer(const std::shared_ptr<Batch>& batch, const Txn& txn,
                        const StoreAnswer& answer) {
  switch (answer.status) {
    case TxnStatus::kOk:
      --in_flight_;
      OnStored(*batch, answer.revision);
      ScheduleFlush();
      return;
    case TxnStatus::kConflict:
      OnConflict(batch, answer);
      return;
    default:
      // The same bytes under the same conditions: safe to send again, whether
      // or not the first try was done.
      timers_->After(kRetryDelay, [self = shared_from_this(), batch, txn] {
        if (!self->closed_) self->Send(batch, txn);
      });
      return;
  }
}

void Recorder::FinishWrite(JobWrite* row) {
  for (const std::shared_ptr<PendingSave>& pending : row->waiters) {
    if (--pending->jobs_left == 0 && pending->durable) pending->durable();
  }
  row->waiters.clear();
}

void Recorder::OnStored(const Batch& batch, std::int64_t revision) {
  Batch rows = batch;
  for (JobWrite& row : rows) {
    writing_.erase(row.job);
    if (row.snapshot.final) {
      revisions_.erase(row.job);
      listener_.on_final(row.job);
    } else {
      revisions_[row.job] = revision;
    }
  }
  for (JobWrite& row : rows) FinishWrite(&row);
}

void Recorder::OnConflict(const std::shared_ptr<Batch>& batch,
                          const StoreAnswer& answer) {
  std::map<std::string, StoredItem> current;
  for (const StoredItem& item : answer.items) current[item.key] = item;
  if (current[keys_.term_key].revision != keys_.term_revision) {
    LogEvent(LogLevel::kWarning, "owner-deposed",
             {{"term_revision", keys_.term_revision},
              {"found", current[keys_.term_key].revision}});
    closed_ = true;
    listener_.on_deposed();
    return;
  }
  // An earlier try of this batch was done and its answer lost, or a record has
  // moved: take the revisions over and write the rows again.
  --in_flight_;
  bool mine = true;
  for (const JobWrite& row : *batch) {
    const StoredItem& item = current[keys_.progress_prefix + row.job];
    const bool same = row.snapshot.final
                          ? item.revision == 0 && revisions_.contains(row.job)
                          : item.value == row.snapshot.bytes;
    mine = mine && same;
  }
  if (mine) {
    std::int64_t revision = 0;
    for (const JobWrite& row : *batch) {
      const StoredItem& item = current[keys_.progress_prefix + row.job];
      revision = std::max(revision, item.revision);
    }
    OnStored(*batch, revision);
    Flush();
    return;
  }
  for (JobWrite& row : *batch) {
    const StoredItem& item = current[keys_.progress_prefix + row.job];
    writing_.erase(row.job);
    if (item.revision == 0) {
      revisions_.erase(row.job);
    } else {
      revisions_[row.job] = item.revision;
    }
    const auto [it, added] = dirty_.try_emplace(row.job);
    if (added) order_.push_back(row.job);
    it->second.insert(it->second.end(), row.waiters.begin(), row.waiters.end());
  }
  Flush();
}

}  // namespace basilusher
