// Which runs leave an evacuated data centre now. Load pattern: a whole data
// centre of a busy fleet must take no starts from one moment on, while hundreds
// of runs are on its workers and the other data centres have room for a few of
// them at a time. A run that is stopped without room elsewhere only waits, so
// each one is given room before it is stopped.
#ifndef BASILUSHER_SCHEDULE_EVACUATIONPLAN_H_
#define BASILUSHER_SCHEDULE_EVACUATIONPLAN_H_

#include <vector>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Schedule/Placement.h"

namespace basilusher {

/// A run on a worker of an evacuated data centre.
struct EvacuationRun {
  TaskId task;
  /// What the task asks of a worker elsewhere.
  PlacementRequest request;
  /// It is being stopped already, so it only needs room elsewhere.
  bool leaving = false;
  /// Progress of a task that ends by itself, percent.
  int percent = 0;
  /// Tasks of its step that are not at work now.
  int unavailable = 0;
};

/// True if runs of the step may be moved: they last, or resume from a
/// checkpoint, and no other member's run ends with them. Thread-safe.
bool MayMigrate(const StepSpec& step);

/// Returns the tasks of `runs` to be stopped now, in the order of `runs`, at
/// most 16. `workers` are those of one pool that take tasks. A task is returned
/// only if a worker has room for it beside the runs that leave already and the
/// tasks returned before it, if fewer tasks of its step are unavailable than
/// the step allows (one of a lasting step that states no limit), and if it does
/// not end soon by itself. Thread-safe.
std::vector<TaskId> PlanMigrations(const std::vector<EvacuationRun>& runs,
                                   std::vector<WorkerCapacity> workers);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_EVACUATIONPLAN_H_
