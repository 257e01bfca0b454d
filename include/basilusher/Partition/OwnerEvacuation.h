// What one owner does about data centres that are evacuated: it starts nothing
// there, and moves the runs that can be moved.
#ifndef BASILUSHER_PARTITION_OWNEREVACUATION_H_
#define BASILUSHER_PARTITION_OWNEREVACUATION_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Schedule/EvacuationPlan.h"

namespace basilusher {

class PartitionOwner;
struct WorkerState;

/// Not thread-safe: I/O thread only.
class OwnerEvacuation {
 public:
  /// `owner` must outlive this object.
  explicit OwnerEvacuation(PartitionOwner* owner) : owner_(owner) {}

  /// True if nothing may be started in the data centre.
  bool Blocks(const std::string& data_centre) const;
  /// True if the view of the operators' requests is too old to start tasks by,
  /// or if they have not been read.
  bool ViewIsStale() const;
  /// Stops the runs in evacuated data centres that can be started elsewhere.
  /// Does nothing while the owner may start nothing.
  void MoveRuns();

 private:
  /// Adds the runs on the worker that can be moved, or are being stopped.
  void CollectRuns(const WorkerState& worker, std::vector<EvacuationRun>* runs);
  /// Number of the step's tasks that are not at work.
  int CountUnavailable(const StepSpec& spec, const StepRecord& step);
  void MoveRunsOfPool(const std::string& pool,
                      const std::vector<EvacuationRun>& runs);
  /// Logs, once for each, the requests for data centres of which the owner
  /// knows neither a worker nor an instance.
  void LogUnknown(const std::set<std::string>& evacuated);

  PartitionOwner* owner_;
  std::set<std::string> unknown_logged_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_OWNEREVACUATION_H_
