// Group commit of job progress, conditional on the owner's term.
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

/// What the store shall hold of one job.
struct JobSnapshot {
  /// Nothing is left to store: the job is not known any more.
  bool absent = false;
  /// The job has ended: `bytes` replaces all its other records.
  bool final = false;
  std::string bytes;
};

struct RecorderKeys {
  /// Key and revision that stand while this owner's term lasts.
  std::string term_key;
  std::int64_t term_revision = 0;
  std::string progress_prefix;
  std::string final_prefix;
  /// Removed with the final record: prefix + job id.
  std::vector<std::string> removed_prefixes;
};

/// Writes the latest image of each changed job; several jobs share a
/// transaction and few transactions are under way at a time, so that the number
/// of writes follows the store's speed and not the number of ends. Not
/// thread-safe: I/O thread only.
class Recorder : public std::enable_shared_from_this<Recorder> {
 public:
  struct Listener {
    std::function<JobSnapshot(const std::string& job)> snapshot;
    /// A job's final record is durable.
    std::function<void(const std::string& job)> on_final;
    /// Another owner's term has begun.
    std::function<void()> on_deposed;
  };

  Recorder(TransactionalStore* store, TimerService* timers, RecorderKeys keys,
           Listener listener);

  /// Revision of a record that an earlier owner stored.
  void SetRevision(const std::string& job, std::int64_t revision);
  /// Stores the jobs' images of now or later, then runs `durable`.
  void Save(const std::vector<std::string>& jobs,
            std::function<void()> durable);
  /// Nothing waits and nothing is under way.
  bool Idle() const { return dirty_.empty() && in_flight_ == 0; }
  /// No callback runs after this.
  void Close() { closed_ = true; }

 private:
  struct PendingSave {
    std::size_t jobs_left = 0;
    std::function<void()> durable;
  };
  struct JobWrite {
    std::string job;
    JobSnapshot snapshot;
    std::vector<std::shared_ptr<PendingSave>> waiters;
  };
  using Batch = std::vector<JobWrite>;

  /// Writes what has come since, together, after a short while.
  void ScheduleFlush();
  void Flush();
  Txn MakeTxn(const Batch& batch) const;
  void Send(std::shared_ptr<Batch> batch, Txn txn);
  void OnAnswer(const std::shared_ptr<Batch>& batch, const Txn& txn,
                const StoreAnswer& answer);
  void OnStored(const Batch& batch, std::int64_t revision);
  void OnConflict(const std::shared_ptr<Batch>& batch,
                  const StoreAnswer& answer);
  void FinishWrite(JobWrite* row);

  TransactionalStore* store_;
  TimerService* timers_;
  RecorderKeys keys_;
  Listener listener_;
  std::deque<std::string> order_;
  std::map<std::string, std::vector<std::shared_ptr<PendingSave>>> dirty_;
  std::map<std::string, std::int64_t> revisions_;
  /// Jobs with a write under way; they wait for it before the next.
  std::map<std::string, bool> writing_;
  int in_flight_ = 0;
  bool flush_scheduled_ = false;
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_RECORDER_H_
