// Loads and stores the record of workers for one owner.
#ifndef BASILUSHER_PARTITION_WORKERRECORDER_H_
#define BASILUSHER_PARTITION_WORKERRECORDER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Partition/WorkerRecord.h"
#include "basilusher/Store/TransactionalStore.h"

namespace basilusher {

struct WorkerRecorderKeys {
  /// Key whose revision changes when this owner's term ends, and the revision
  /// that it has during the term.
  std::string term_key;
  std::int64_t term_revision = 0;
  /// Key of the record.
  std::string record_key;
};

/// Stores the owner's view of its workers whenever that has changed, one write
/// at a time, and tries again while the store refuses. Not thread-safe: I/O
/// thread only.
class WorkerRecorder : public std::enable_shared_from_this<WorkerRecorder> {
 public:
  struct Listener {
    /// The record as it is to be stored now.
    std::function<WorkerRecord()> snapshot;
    /// `record` is durable.
    std::function<void(const WorkerRecord& record)> on_stored;
    /// The owner record has the revision `found`, zero if it is gone: the term
    /// has ended.
    std::function<void(std::int64_t found)> on_deposed;
  };

  WorkerRecorder(TransactionalStore* store, TimerService* timers,
                 WorkerRecorderKeys keys, Listener listener);

  /// Reads the record of the owner before; calls `done` once the store has
  /// answered. An absent record is empty.
  void Load(std::function<void(const WorkerRecord&)> done);
  /// Stores a snapshot that is taken now or later. Precondition: Load() has
  /// called `done`; before that, the call has no effect.
  void Save();
  /// Save() after a short time, once for all calls until then.
  void SaveSoon();
  /// No callback runs after this.
  void Close() { closed_ = true; }

 private:
  void OnCommitted(const StoreAnswer& answer, const WorkerRecord& record);
  /// Takes over the record's revision from a conflict. Returns false if the
  /// term has ended.
  bool TakeRevision(const StoreAnswer& conflict);

  TransactionalStore* store_;
  TimerService* timers_;
  WorkerRecorderKeys keys_;
  Listener listener_;
  std::int64_t revision_ = 0;
  bool loaded_ = false;
  bool saving_ = false;
  bool changed_ = false;
  bool save_scheduled_ = false;
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_WORKERRECORDER_H_
