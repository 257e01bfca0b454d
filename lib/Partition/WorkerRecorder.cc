// Reads and writes of the record of workers.
#include "basilusher/Partition/WorkerRecorder.h"

#include <utility>

namespace basilusher {
namespace {

/// Delay between attempts while the store refuses or does not answer.
constexpr Millis kRetryDelay{100};
/// One write of the record for all changes within this time that may wait.
constexpr Millis kSaveSoonDelay{100};

}  // namespace

WorkerRecorder::WorkerRecorder(TransactionalStore* store, TimerService* timers,
                               WorkerRecorderKeys keys, Listener listener)
    : store_(store),
      timers_(timers),
      keys_(std::move(keys)),
      listener_(std::move(listener)) {}

void WorkerRecorder::Load(std::function<void(const WorkerRecord&)> done) {
  store_->Get(keys_.record_key,
              [self = shared_from_this(), done](const StoreAnswer& answer) {
                if (self->closed_) return;
                if (answer.status != TxnStatus::kOk &&
                    answer.status != TxnStatus::kNotFound) {
                  self->timers_->After(kRetryDelay, [self, done] {
                    if (!self->closed_) self->Load(done);
                  });
                  return;
                }
                self->loaded_ = true;
                if (answer.items.empty()) return done({});
                self->revision_ = answer.items.front().revision;
                done(DecodeWorkerRecord(answer.items.front().value));
              });
}

void WorkerRecorder::Save() {
  if (!loaded_ || closed_) return;
  if (saving_) {
    changed_ = true;
    return;
  }
  saving_ = true;
  changed_ = false;
  const WorkerRecord record = listener_.snapshot();
  Txn txn;
  txn.conditions.push_back({keys_.term_key, keys_.term_revision});
  // An earlier write whose answer was lost may be carried out late. The
  // condition on the revision keeps it from replacing this one.
  txn.conditions.push_back({keys_.record_key, revision_});
  txn.writes.push_back(
      {.key = keys_.record_key, .value = EncodeWorkerRecord(record)});
  store_->Commit(
      txn, [self = shared_from_this(), record](const StoreAnswer& answer) {
        if (!self->closed_) self->OnCommitted(answer, record);
      });
}

void WorkerRecorder::SaveSoon() {
  if (save_scheduled_) return;
  save_scheduled_ = true;
  timers_->After(kSaveSoonDelay, [self = shared_from_this()] {
    self->save_scheduled_ = false;
    self->Save();
  });
}

void WorkerRecorder::OnCommitted(const StoreAnswer& answer,
                                 const WorkerRecord& record) {
  const bool stored = answer.status == TxnStatus::kOk;
  if (stored) revision_ = answer.revision;
  if (answer.status == TxnStatus::kConflict && !TakeRevision(answer)) return;
  timers_->After(stored ? Millis(0) : kRetryDelay,
                 [self = shared_from_this(), stored] {
                   self->saving_ = false;
                   if (!stored || self->changed_) self->Save();
                 });
  if (stored) listener_.on_stored(record);
}

bool WorkerRecorder::TakeRevision(const StoreAnswer& conflict) {
  for (const StoredItem& item : conflict.items) {
    if (item.key == keys_.term_key && item.revision != keys_.term_revision) {
      listener_.on_deposed(item.revision);
      return false;
    }
    if (item.key == keys_.record_key) revision_ = item.revision;
  }
  return true;
}

}  // namespace basilusher
