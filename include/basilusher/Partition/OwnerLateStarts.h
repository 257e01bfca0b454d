// What one owner does about starts that got no answer and may still be
// executed: their tasks wait, also if a report has settled the start.
#ifndef BASILUSHER_PARTITION_OWNERLATESTARTS_H_
#define BASILUSHER_PARTITION_OWNERLATESTARTS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Partition/EndedTerm.h"
#include "basilusher/Partition/LateStarts.h"

namespace basilusher {

class PartitionOwner;
struct WorkerState;

/// Sets TaskRecord::may_start_late. A lasting task may start meanwhile on the
/// worker to which the start was sent: such a run never ends as done, and ends
/// with the process, before another one can execute the start. Not thread-safe:
/// I/O thread only.
class OwnerLateStarts {
 public:
  /// `owner` must outlive this object. `longest_lease` as in LateStarts.
  OwnerLateStarts(PartitionOwner* owner, Millis longest_lease)
      : owner_(owner), starts_(longest_lease) {}

  /// The last start of a task that occupies a worker, unless it is known to
  /// have begun, or copies of the task may run side by side.
  std::optional<LateStart> FindUnanswered(const TaskId& id) const;
  /// Keeps a waiting task from starting again while the worker's next
  /// incarnation may still execute the start.
  void Hold(const WorkerState& worker, const LateStart& start);
  /// The start of this run is known to have been executed.
  void NoteExecuted(const TaskId& task, std::int64_t run);
  /// No process can be reached under the worker's id any more.
  void EndAllOn(const std::string& worker, std::string_view reason);
  /// Lets the tasks start again whose starts cannot be executed any more.
  void EndExpired();

  /// How soon a report of the worker has to be asked for that lets a task start
  /// again; nothing if no task waits for one.
  std::optional<Millis> ReportDueIn(const WorkerState& worker) const;

  bool MayHappenOn(const std::string& worker) const {
    return starts_.MayHappenOn(worker);
  }
  /// The only worker on which the task may start; empty if there is none.
  /// Precondition: its `may_start_late` is set.
  std::string OnlyWorkerFor(const TaskId& task) const;
  /// Adds what the late runs of waiting tasks would use of the limits of their
  /// workspaces. A lasting task would be replaced by its late run.
  void AddUse(std::map<std::string, Resources>* use) const;

  /// The starts of this owner that a later one has to know of. Precondition:
  /// the owner is closed.
  std::vector<UnsettledStart> Describe() const;
  /// The previous owner has told of these.
  void Inherit(const std::vector<UnsettledStart>& starts);
  /// A job has become known. Precondition: its occurrences are opened.
  void OnJobAdded(const std::string& job);

 private:
  /// A start of the task has been added or removed.
  void Update(const TaskId& id);
  void End(const std::string& worker, const LateStart& start,
           std::string_view reason);
  LateStartWorker FactsOf(const std::string& worker,
                          const LateStart& start) const;
  /// True if the list of instances, asked for since the worker last answered,
  /// has it on no running one. Unless the task is lasting, the list has to show
  /// a time at which the start cannot be executed any more: a process that
  /// began after an earlier list may run it.
  bool IsGone(const WorkerState& worker, const LateStart& start) const;

  PartitionOwner* owner_;
  LateStarts starts_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_OWNERLATESTARTS_H_
