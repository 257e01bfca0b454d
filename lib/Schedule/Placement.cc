// Placement cost of workers for a task.
#include "basilusher/Schedule/Placement.h"

#include <algorithm>

namespace basilusher {
namespace {

// Weights of the placement cost. One unit of each outweighs one unit of all
// below it together: the last two apply to values between 0 and 1. The weights
// of the outlier score and of interference are multiplied by counts.
constexpr double kFailedThere = 1000.0;
constexpr double kOutlier = 100.0;
constexpr double kFarFromData = 50.0;
constexpr double kInterference = 20.0;
/// For each task that a crash of the worker would end.
constexpr double kTaskAtRisk = 5.0;
/// A crash would not tell which of two tasks that were just started caused it.
constexpr double kRecentStart = 50.0;
/// After a burst, workers without lasting tasks become empty and their
/// instances can be switched off; instances with lasting tasks stay in use, so
/// they are filled first.
constexpr double kNoLastingTasks = 2.0;
constexpr double kFreeShare = 1.0;

double FreeShare(const WorkerCapacity& worker) {
  if (worker.room.cpu_millis <= 0) return 1.0;
  return static_cast<double>(worker.room.cpu_millis - worker.used.cpu_millis) /
         static_cast<double>(worker.room.cpu_millis);
}

/// True if `charge` fits into what is free on the worker. Evaluated for each
/// worker of a pool and each task.
bool HasRoom(const Resources& charge, const WorkerCapacity& worker) {
  return charge.cpu_millis <= worker.room.cpu_millis - worker.used.cpu_millis &&
         charge.memory_mb <= worker.room.memory_mb - worker.used.memory_mb &&
         charge.accelerators <=
             worker.room.accelerators - worker.used.accelerators;
}

/// The conditions of CanPlace() other than room, the cheapest first.
bool IsEligible(const PlacementRequest& request, const WorkerCapacity& worker) {
  const StepSpec& step = *request.step;
  if (request.only_worker && worker.id != *request.only_worker) return false;
  if (!step.required_label.empty() &&
      std::find(worker.labels.begin(), worker.labels.end(),
                step.required_label) == worker.labels.end()) {
    return false;
  }
  if (request.allowed && !request.allowed(worker)) return false;
  return step.max_per_worker <= 0 || !request.count_siblings ||
         request.count_siblings(worker) < step.max_per_worker;
}

/// `rack` is the rack that the task prefers; empty if none.
double Cost(const PlacementRequest& request, const std::string& rack,
            const WorkerCapacity& worker) {
  const StepSpec& step = *request.step;
  double cost = FreeShare(worker) * kFreeShare;
  if (worker.lasting == 0) cost += kNoLastingTasks;
  if (!request.avoid_worker.empty() && worker.id == request.avoid_worker) {
    cost += kFailedThere;
  }
  cost += worker.outlier_score * kOutlier;
  if (request.may_crash_worker) {
    cost += worker.tasks * kTaskAtRisk;
    if (worker.recent_start) cost += kRecentStart;
  }
  if (!rack.empty() && worker.rack != rack) cost += kFarFromData;
  // Fillers slow down tasks that serve users: keep the two on separate workers
  // while capacity allows it.
  if (step.filler) cost += worker.serving * kInterference;
  if (step.target_ms > 0) cost += worker.fillers * kInterference;
  return cost;
}

}  // namespace

Resources Charge(const StepSpec& step) {
  Resources charge = step.need;
  if (step.filler) charge.cpu_millis = 0;
  return charge;
}

bool CanPlace(const PlacementRequest& request, const WorkerCapacity& worker) {
  return !worker.isolated && HasRoom(Charge(*request.step), worker) &&
         IsEligible(request, worker);
}

bool FullPoolMemo::HasNoRoomFor(const Resources& charge) const {
  return std::any_of(
      without_room_.begin(), without_room_.end(),
      [&charge](const Resources& tried) { return Fits(tried, charge); });
}

bool AnyHasRoom(const Resources& charge,
                const std::vector<WorkerCapacity*>& workers) {
  return std::any_of(workers.begin(), workers.end(),
                     [&charge](const WorkerCapacity* worker) {
                       return HasRoom(charge, *worker);
                     });
}

void CandidateWorkers::Clear() {
  workers_.clear();
  full_.Clear();
  most_free_.reset();
}

bool CandidateWorkers::MayHold(const Resources& charge) {
  if (workers_.empty()) return false;
  if (!most_free_) {
    most_free_ = workers_.front()->room - workers_.front()->used;
    for (const WorkerCapacity* worker : workers_) {
      most_free_ = ElementwiseMax(*most_free_, worker->room - worker->used);
    }
  }
  if (!Fits(charge, *most_free_) || full_.HasNoRoomFor(charge)) return false;
  if (AnyHasRoom(charge, workers_)) return true;
  full_.Add(charge);
  return false;
}

WorkerCapacity* ChooseWorker(const PlacementRequest& request,
                             const std::vector<WorkerCapacity*>& workers) {
  const Resources charge = Charge(*request.step);
  const std::string& rack = request.step->preferred_rack.empty()
                                ? request.rack
                                : request.step->preferred_rack;
  WorkerCapacity* best = nullptr;
  double best_cost = 0;
  for (WorkerCapacity* worker : workers) {
    if (!HasRoom(charge, *worker) || worker->isolated) continue;
    const double cost = Cost(request, rack, *worker);
    // Whether a worker that costs no less may run the task does not matter.
    if (best != nullptr && !(cost < best_cost)) continue;
    if (!IsEligible(request, *worker)) continue;
    best = worker;
    best_cost = cost;
  }
  return best;
}

}  // namespace basilusher
