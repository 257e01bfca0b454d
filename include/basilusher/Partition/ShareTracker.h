// Which of an owner's jobs are within their workspace's share, and the order
// that follows from it while a pool is full.
#ifndef BASILUSHER_PARTITION_SHARETRACKER_H_
#define BASILUSHER_PARTITION_SHARETRACKER_H_

#include <map>
#include <string>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Partition/OwnerState.h"
#include "basilusher/Partition/RoundPools.h"
#include "basilusher/Schedule/WorkspaceShare.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Applies WorkspaceShares to the jobs of one owner. Does nothing if it is not
/// enabled. Nothing is stored: a new owner classifies the jobs that it finds
/// again. Not thread-safe: I/O thread only.
class ShareTracker {
 public:
  /// `counters` may be null.
  ShareTracker(bool enabled, Counters* counters)
      : enabled_(enabled), counters_(counters) {}

  /// Classifies a job that has just become known. Scheduled and lasting jobs
  /// and those without a workspace are not counted.
  void NoteArrival(JobRecord* job, const Catalog& catalog);
  /// Classifies the jobs that a new owner has found.
  void Restore(JobTable* jobs, const Catalog& catalog);
  /// Marks the candidates that go behind others: those over their share in the
  /// pools that have less free room than their waiting tasks need.
  void Order(const std::map<std::string, PoolWorkers>& pools,
             std::vector<PlacementCandidate>* candidates);

 private:
  bool enabled_;
  Counters* counters_;
  WorkspaceShares shares_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_SHARETRACKER_H_
