// Which worker runs a task. Load pattern: short bursts of many small tasks over
// a pool whose instances are paid for by the second, beside lasting tasks that
// pin theirs. Tasks go to the fullest worker that has room, so that the others
// become empty and can be given away.
#ifndef BASILUSHER_SCHEDULE_PLACEMENT_H_
#define BASILUSHER_SCHEDULE_PLACEMENT_H_

#include <functional>
#include <string>
#include <vector>

#include "basilusher/Jobs/Job.h"

namespace basilusher {

/// What placement needs to know of one worker.
struct WorkerCapacity {
  std::string id;
  std::string pool;
  std::string rack;
  std::vector<std::string> labels;
  Resources room;
  /// Taken by tasks that are starting, running or stopping.
  Resources used;
  int tasks = 0;
  /// Tasks that run until they are cancelled.
  int lasting = 0;
  /// Lasting tasks that serve users, and tasks that fill beside them.
  int serving = 0;
  int fillers = 0;
  /// Evidence against the worker: zero is sound.
  int outlier_score = 0;
};

/// What one task takes of a worker. Fillers take no processor share.
Resources Charge(const StepSpec& step);

struct PlacementRequest {
  const StepSpec* step = nullptr;
  /// Worker on which the task failed last; avoided if another has room.
  std::string avoid_worker;
  /// Rack that the step's other tasks run on; empty if none or of no matter.
  std::string rack;
  /// Tasks of the same step that run on a worker.
  std::function<int(const WorkerCapacity&)> count_siblings;
  /// False for workers that may not run the step.
  std::function<bool(const WorkerCapacity&)> allowed;
};

/// True if the worker may run the task at all and has room now. Thread-safe.
bool CanPlace(const PlacementRequest& request, const WorkerCapacity& worker);

/// The best of `workers` for the task; null if none has room. Thread-safe.
WorkerCapacity* ChooseWorker(const PlacementRequest& request,
                             const std::vector<WorkerCapacity*>& workers);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_PLACEMENT_H_
