// Selection of the worker for a task. Load pattern: short bursts of many small
// tasks in a pool whose instances are paid for by the second, beside lasting
// tasks that keep their instances in use. Tasks are packed onto the fullest
// worker with enough capacity, so that other workers become empty and their
// instances can be released.
#ifndef BASILUSHER_SCHEDULE_PLACEMENT_H_
#define BASILUSHER_SCHEDULE_PLACEMENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Jobs/Job.h"

namespace basilusher {

/// Capacity and current use of one worker, as input to placement.
struct WorkerCapacity {
  std::string id;
  std::string pool;
  std::string rack;
  std::vector<std::string> labels;
  /// Total capacity.
  Resources room;
  /// Used by tasks that are starting, running or stopping.
  Resources used;
  /// Number of tasks that use capacity.
  int tasks = 0;
  /// Number of tasks that run until they are cancelled.
  int lasting = 0;
  /// Number of tasks that serve users under a latency target, and number of
  /// fillers.
  int serving = 0;
  int fillers = 0;
  /// Score of the worker's outlier detector; zero is healthy.
  int outlier_score = 0;
  /// A task that may crash the worker has just been started there: no other
  /// task may be placed.
  bool isolated = false;
  /// A task has just been started there.
  bool recent_start = false;
};

/// Resources that one task of `step` uses on a worker. Fillers are charged no
/// processor time.
Resources Charge(const StepSpec& step);

struct PlacementRequest {
  const StepSpec* step = nullptr;
  /// Worker to avoid if another has enough capacity, as the task has failed
  /// there.
  std::string avoid_worker;
  /// The only worker on which the task may start, if there is one: the empty
  /// name stands for none.
  std::optional<std::string> only_worker;
  /// The task may crash its worker: prefer one with few tasks, on which none
  /// has just been started.
  bool may_crash_worker = false;
  /// Preferred rack for a member of a gang with `same_rack`: that of the first
  /// member placed in a known rack. Otherwise empty. The step's
  /// `preferred_rack` takes precedence.
  std::string rack;
  /// Returns the number of tasks of the same step on a worker.
  std::function<int(const WorkerCapacity&)> count_siblings;
  /// Returns false for workers that may not run the step.
  std::function<bool(const WorkerCapacity&)> allowed;
};

/// True if the worker may run the task and has enough free capacity.
/// Thread-safe.
bool CanPlace(const PlacementRequest& request, const WorkerCapacity& worker);

/// Charges for which no worker of a pool has had room in this round of
/// placement. Free capacity only shrinks during a round, so a step that asks
/// for at least as much need not be tried. Not thread-safe.
class FullPoolMemo {
 public:
  /// Records that no worker has room for `charge`.
  void Add(const Resources& charge) { without_room_.push_back(charge); }
  /// True if there is no room for `charge`, since there was none for another
  /// one that needs at most as much in every dimension.
  bool HasNoRoomFor(const Resources& charge) const;
  /// Begins another round.
  void Clear() { without_room_.clear(); }

 private:
  std::vector<Resources> without_room_;
};

/// True if at least one worker has room for `charge`. Thread-safe.
bool AnyHasRoom(const Resources& charge,
                const std::vector<WorkerCapacity*>& workers);

/// Workers among which tasks are placed in one round, and what is known of
/// their room. Used again in the next round, so that its memory is. Not
/// thread-safe.
class CandidateWorkers {
 public:
  /// Begins a round without workers.
  void Clear();
  void Add(WorkerCapacity* worker) { workers_.push_back(worker); }
  const std::vector<WorkerCapacity*>& Workers() const { return workers_; }
  FullPoolMemo* Full() { return &full_; }
  /// False if no worker has room for `charge`. The answer holds until the end
  /// of the round, during which free capacity only shrinks.
  bool MayHold(const Resources& charge);

 private:
  std::vector<WorkerCapacity*> workers_;
  FullPoolMemo full_;
  /// Maximum of what is free on any of the workers, in each dimension, once it
  /// is asked for.
  std::optional<Resources> most_free_;
};

/// Returns the worker with the lowest placement cost; null if no worker can
/// take the task. Thread-safe.
WorkerCapacity* ChooseWorker(const PlacementRequest& request,
                             const std::vector<WorkerCapacity*>& workers);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_PLACEMENT_H_
