// Log lines and metrics that tell why an owner's lasting tasks wait: which
// condition of their placement holds them, and since when.
#ifndef BASILUSHER_PARTITION_OWNERWAITREPORT_H_
#define BASILUSHER_PARTITION_OWNERWAITREPORT_H_

#include <cstdint>
#include <map>

#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Partition/TaskWaits.h"

namespace basilusher {

class PartitionOwner;

/// Reports on one owner and changes nothing of it. Not thread-safe: I/O thread
/// only.
class OwnerWaitReport {
 public:
  /// `owner` must outlive the report.
  explicit OwnerWaitReport(PartitionOwner* owner) : owner_(owner) {}

  /// Logs the lasting tasks that have waited for long, with what holds them,
  /// and those of them that run again. At most once a second; may be called
  /// more often.
  void Report();
  /// Sets the metrics to zero, as the owner's term is over.
  void Clear();

 private:
  void NoteWaitsOf(const JobRecord& job, int occurrence, int step);
  /// Sets what a waiting task has in common with those of its step.
  WaitFacts FactsOf(const JobRecord& job, int occurrence, int step) const;
  /// Sets what is known of the task alone.
  void AddFacts(const JobRecord& job, const StepSpec& step,
                const TaskRecord& task, WaitFacts* facts) const;
  EligibleWorkers CountEligible(const JobRecord& job, int occurrence,
                                int step) const;
  void LogDueWaits();
  void LogWait(const TaskId& id, TaskWaits::Wait* wait);
  void LogWaitEnded(const TaskId& id, const TaskWaits::Wait& wait);
  void SetGauges();

  PartitionOwner* owner_;
  TaskWaits waits_;
  TimePoint reported_at_{};
  /// Lines about waits that this second may still have, and those left out.
  int lines_left_ = 0;
  int lines_omitted_ = 0;
  /// Number of tasks in the last report, by what holds them.
  std::map<WaitCondition, std::int64_t> held_tasks_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_OWNERWAITREPORT_H_
