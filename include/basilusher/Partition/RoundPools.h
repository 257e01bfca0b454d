// Pools and queues as rounds of placement see them. Load pattern: several
// hundred reports and job changes a second, each followed by a round, over some
// hundred jobs and workers, while most rounds find no room for what waits. So
// jobs find their queue and pool without comparing names, and a round ranks
// only the jobs of pools in which a task may start.
#ifndef BASILUSHER_PARTITION_ROUNDPOOLS_H_
#define BASILUSHER_PARTITION_ROUNDPOOLS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Schedule/Placement.h"

namespace basilusher {

/// Usable workers of one pool in a round of placement.
struct PoolWorkers {
  CandidateWorkers healthy;
  /// Also the suspect ones.
  CandidateWorkers all;
  /// Cores of the healthy workers that lasting tasks leave to other tasks.
  double cores = 0;
  /// Work that is left of the other tasks that run, core-milliseconds.
  double running_core_ms = 0;
  /// A task of a step that is ready waits.
  bool has_waiting = false;
  /// A waiting task may start, so the pool's jobs are ranked in this round.
  bool open = false;
  /// Jobs that could not be served in time when the pool's jobs were last
  /// ranked.
  std::int64_t deferred = 0;
};

/// The pools' workers of one round. Keeps the pools and their memory between
/// rounds. Not thread-safe.
class RoundPools {
 public:
  /// Forgets the last round's workers and queues.
  void BeginRound();
  /// The pool of this name, added if it is new. Stays valid.
  PoolWorkers* Named(const std::string& pool) { return &pools_[pool]; }
  /// The pool of the job's queue; null if it has no usable worker. All jobs
  /// belong to one table.
  PoolWorkers* Of(const JobRecord& job, const QueueConfig& queue);
  std::map<std::string, PoolWorkers>& All() { return pools_; }

 private:
  struct QueueRow {
    bool known = false;
    PoolWorkers* pool = nullptr;
  };
  std::map<std::string, PoolWorkers> pools_;
  /// By JobRecord::queue_number.
  std::vector<QueueRow> queues_;
};

/// Configuration of the jobs' queues by JobRecord::queue_number, so that names
/// are looked up once for each catalog. All jobs belong to one table. Not
/// thread-safe.
class QueueTable {
 public:
  /// `catalog` may be null; otherwise it must outlive its use here.
  void SetCatalog(const Catalog* catalog);
  /// Null if the catalog does not have the job's queue.
  const QueueConfig* Of(const JobRecord& job) const {
    const std::size_t n = job.queue_number;
    return n < rows_.size() && rows_[n].known ? rows_[n].queue : LookUp(job);
  }

 private:
  struct Row {
    bool known = false;
    const QueueConfig* queue = nullptr;
  };
  const QueueConfig* LookUp(const JobRecord& job) const;

  const Catalog* catalog_ = nullptr;
  /// What has been looked up so far.
  mutable std::vector<Row> rows_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_ROUNDPOOLS_H_
