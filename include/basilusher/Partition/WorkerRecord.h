// The stored record of the workers on which tasks may run. An owner writes it
// before it starts tasks on a worker; the next owner reads it to know which
// workers it must ask for their runs.
#ifndef BASILUSHER_PARTITION_WORKERRECORD_H_
#define BASILUSHER_PARTITION_WORKERRECORD_H_

#include <cstdint>
#include <map>
#include <string>

#include "basilusher/Partition/WorkerLease.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

struct RecordedWorker {
  std::string address;
  /// The last incarnation that an owner has fenced.
  FencedIncarnation fenced;
};

struct WorkerRecord {
  /// Term of the last owner that had read all workers; zero if none had.
  std::int64_t fully_read_term = 0;
  /// Longest of the leases that the owner and those shortly before it gave by
  /// default; zero if that is not known.
  Millis usual_lease{0};
  std::map<std::string, RecordedWorker> workers;
  /// Incarnations fenced last of workers that the owner has dropped lately:
  /// nobody needs to read them, but they may return in another incarnation.
  std::map<std::string, FencedIncarnation> former;
};

/// True if the record has place for a worker of this id. Thread-safe.
bool IsRecordable(const std::string& worker_id);

/// Thread-safe.
std::string EncodeWorkerRecord(const WorkerRecord& record);
/// Leaves out what names no worker. A record of an earlier release, which has
/// no incarnations, is read too. Thread-safe.
WorkerRecord DecodeWorkerRecord(const std::string& bytes);

/// Incarnations of workers to which this or an earlier owner may have given
/// orders, as far as no open link knows of them. Not thread-safe.
class FormerIncarnations {
 public:
  /// `retention` is the time after which no order to an incarnation can be
  /// executed any more and no lease that it gave can last.
  explicit FormerIncarnations(Millis retention) : retention_(retention) {}

  /// The link to the worker was closed at `now`; `fenced` is the last
  /// incarnation that an owner has fenced. `may_return` tells whether the
  /// worker can come back under its id, for all that this owner knows.
  void NoteClosed(const std::string& worker, const FencedIncarnation& fenced,
                  bool may_return, TimePoint now);
  /// Returns the last incarnation of the worker that an owner has fenced, or
  /// null if no order to an earlier incarnation of it matters any more. The
  /// object lives until the next call of NoteClosed().
  const FencedIncarnation* Find(const std::string& worker, TimePoint now) const;
  Millis Retention() const { return retention_; }
  /// What a later owner has to know: the workers that may return.
  std::map<std::string, FencedIncarnation> MayReturn(TimePoint now) const;

 private:
  struct Closed {
    FencedIncarnation fenced;
    bool may_return = true;
    TimePoint at{};
  };
  Millis retention_;
  std::map<std::string, Closed> closed_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_WORKERRECORD_H_
