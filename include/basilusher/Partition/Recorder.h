// Group commit of job records, conditional on the owner's term.
#ifndef BASILUSHER_PARTITION_RECORDER_H_
#define BASILUSHER_PARTITION_RECORDER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Store/TransactionalStore.h"

namespace basilusher {

/// State of one job as it is to be stored.
struct JobSnapshot {
  /// There is nothing to store because the job is no longer known.
  bool absent = false;
  /// The job has ended: `bytes` is its final record, which replaces all its
  /// other records.
  bool final = false;
  std::string bytes;
};

struct RecorderKeys {
  /// Key whose revision changes when this owner's term ends, and the revision
  /// that it has during the term.
  std::string term_key;
  std::int64_t term_revision = 0;
  std::string progress_prefix;
  std::string final_prefix;
  /// Prefixes of records that are removed along with writing the final record;
  /// each key is prefix + job id.
  std::vector<std::string> removed_prefixes;
};

enum class SavePriority {
  kUsual,
  /// Written before what waits: something is to begin once it is stored.
  kUrgent,
};

/// Writes the latest snapshot of each changed job. Several jobs share a
/// transaction and few transactions are in flight at a time, so that the number
/// of writes follows the speed of the store and not the number of ended runs.
/// Not thread-safe: I/O thread only.
class Recorder : public std::enable_shared_from_this<Recorder> {
 public:
  struct Listener {
    std::function<JobSnapshot(const std::string& job)> snapshot;
    /// The final record of the job is durable.
    std::function<void(const std::string& job)> on_final;
    /// The owner record has the revision `found`, zero if it is gone: the term
    /// has ended.
    std::function<void(std::int64_t found)> on_deposed;
  };

  Recorder(TransactionalStore* store, TimerService* timers, RecorderKeys keys,
           Listener listener);

  /// Sets the revision of a record that an earlier owner stored.
  void SetRevision(const std::string& job, std::int64_t revision);
  /// Stores a snapshot of each job that is taken now or later, then calls
  /// `on_durable`.
  void Save(const std::vector<std::string>& jobs,
            std::function<void()> on_durable,
            SavePriority priority = SavePriority::kUsual);
  /// Jobs whose latest snapshot is not being written yet.
  std::size_t Waiting() const { return dirty_.size(); }
  /// True if no write is pending or in flight.
  bool Idle() const { return dirty_.empty() && in_flight_ == 0; }
  /// No callback runs after this.
  void Close() { closed_ = true; }

 private:
  struct PendingSave {
    std::size_t jobs_left = 0;
    std::function<void()> on_durable;
  };
  struct JobWrite {
    std::string job;
    JobSnapshot snapshot;
    std::vector<std::shared_ptr<PendingSave>> waiters;
  };
  using Batch = std::vector<JobWrite>;

  /// Calls Flush() after a short delay, so that changes within it share
  /// transactions.
  void ScheduleFlush();
  void Flush();
  /// Limit on transactions in flight: more while many jobs wait, since the time
  /// of a transaction then bounds how many are written.
  int MaxInFlight() const;
  Txn MakeTxn(const Batch& batch) const;
  void Send(std::shared_ptr<Batch> batch, std::shared_ptr<const Txn> txn);
  void OnAnswer(const std::shared_ptr<Batch>& batch,
                const std::shared_ptr<const Txn>& txn,
                const StoreAnswer& answer);
  /// Ends the writes of `batch`, whose waiters are called.
  void OnStored(Batch* batch, std::int64_t revision);
  void OnConflict(const std::shared_ptr<Batch>& batch,
                  const StoreAnswer& answer);
  void FinishWrite(JobWrite* write);

  TransactionalStore* store_;
  TimerService* timers_;
  RecorderKeys keys_;
  Listener listener_;
  /// Jobs to be written, in this order. Those that have become urgent stand
  /// here twice; one that is not in `dirty_` has been written.
  std::deque<std::string> dirty_order_;
  std::map<std::string, std::vector<std::shared_ptr<PendingSave>>> dirty_;
  std::map<std::string, std::int64_t> revisions_;
  /// Jobs with a write in flight. Their next write waits for it.
  std::map<std::string, bool> writing_;
  int in_flight_ = 0;
  bool flush_scheduled_ = false;
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_RECORDER_H_
