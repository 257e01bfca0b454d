// Selects the runs that leave an evacuated data centre.
#include "basilusher/Schedule/EvacuationPlan.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace basilusher {
namespace {

/// Runs that one call selects. With a call each 100 ms a fleet of a thousand
/// runs is moved within seconds, and stops do not delay other commands.
constexpr std::size_t kMaxMigrations = 16;
/// A task that ends by itself is left where it is from this progress on: the
/// stop, the new start and the work since the last checkpoint cost more than
/// what is left.
constexpr int kNearlyDonePercent = 80;

TaskId StepOf(TaskId task) {
  task.index = 0;
  return task;
}

/// Room on the workers elsewhere, less what has been promised.
class Room {
 public:
  explicit Room(std::vector<WorkerCapacity>* workers) {
    for (WorkerCapacity& worker : *workers) workers_.push_back(&worker);
  }

  /// Takes room for the run on some worker. Returns false if there is none.
  bool Take(const EvacuationRun& run) {
    const TaskId step = StepOf(run.task);
    PlacementRequest request = run.request;
    request.count_siblings = [&](const WorkerCapacity& worker) {
      const auto promised = promised_.find({step, worker.id});
      return (run.request.count_siblings ? run.request.count_siblings(worker)
                                         : 0) +
             (promised == promised_.end() ? 0 : promised->second);
    };
    WorkerCapacity* worker = ChooseWorker(request, workers_);
    if (worker == nullptr) return false;
    worker->used += Charge(*request.step);
    ++promised_[{step, worker->id}];
    return true;
  }

 private:
  std::vector<WorkerCapacity*> workers_;
  std::map<std::pair<TaskId, std::string>, int> promised_;
};

/// Most tasks of the step that may be unavailable; nothing if it states no
/// limit and its tasks end by themselves.
std::optional<int> MaxUnavailable(const StepSpec& step) {
  if (step.max_unavailable) return step.max_unavailable;
  return step.lasting ? std::optional<int>(1) : std::nullopt;
}

}  // namespace

bool MayMigrate(const StepSpec& step) {
  return !step.gang && (step.lasting || step.checkpointable);
}

std::vector<TaskId> PlanMigrations(const std::vector<EvacuationRun>& runs,
                                   std::vector<WorkerCapacity> workers) {
  Room room(&workers);
  for (const EvacuationRun& run : runs) {
    if (run.leaving) room.Take(run);
  }
  std::vector<TaskId> stopped;
  std::map<TaskId, int> stopped_of_step;
  for (const EvacuationRun& run : runs) {
    if (stopped.size() >= kMaxMigrations) break;
    const StepSpec& step = *run.request.step;
    if (run.leaving || !MayMigrate(step)) continue;
    if (!step.lasting && run.percent >= kNearlyDonePercent) continue;
    int& others = stopped_of_step[StepOf(run.task)];
    const std::optional<int> limit = MaxUnavailable(step);
    if (limit && run.unavailable + others >= *limit) continue;
    if (!room.Take(run)) continue;
    ++others;
    stopped.push_back(run.task);
  }
  return stopped;
}

}  // namespace basilusher
