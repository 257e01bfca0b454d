// Every choice of a worker is compared with a straightforward reference.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "basilusher/Schedule/Placement.h"

namespace basilusher {
namespace {

/// The conditions and costs of a placement, each worker looked at in full.
class Reference {
 public:
  static bool CanPlace(const PlacementRequest& request,
                       const WorkerCapacity& worker) {
    const StepSpec& step = *request.step;
    if (worker.isolated) return false;
    if (!Fits(Charge(step), worker.room - worker.used)) return false;
    if (!step.required_label.empty() &&
        std::find(worker.labels.begin(), worker.labels.end(),
                  step.required_label) == worker.labels.end()) {
      return false;
    }
    if (request.allowed && !request.allowed(worker)) return false;
    return step.max_per_worker <= 0 || !request.count_siblings ||
           request.count_siblings(worker) < step.max_per_worker;
  }

  static WorkerCapacity* Choose(const PlacementRequest& request,
                                const std::vector<WorkerCapacity*>& workers) {
    WorkerCapacity* best = nullptr;
    double best_cost = 0;
    for (WorkerCapacity* worker : workers) {
      if (!CanPlace(request, *worker)) continue;
      const double cost = Cost(request, *worker);
      if (best == nullptr || cost < best_cost) {
        best = worker;
        best_cost = cost;
      }
    }
    return best;
  }

 private:
  static double FreeShare(const WorkerCapacity& worker) {
    if (worker.room.cpu_millis <= 0) return 1.0;
    return static_cast<double>(worker.room.cpu_millis -
                               worker.used.cpu_millis) /
           static_cast<double>(worker.room.cpu_millis);
  }

  static double Cost(const PlacementRequest& request,
                     const WorkerCapacity& worker) {
    const StepSpec& step = *request.step;
    double cost = FreeShare(worker);
    if (worker.lasting == 0) cost += 2.0;
    if (!request.avoid_worker.empty() && worker.id == request.avoid_worker) {
      cost += 1000.0;
    }
    cost += worker.outlier_score * 100.0;
    if (request.may_crash_worker) {
      cost += worker.tasks * 5.0;
      if (worker.recent_start) cost += 50.0;
    }
    const std::string& rack =
        step.preferred_rack.empty() ? request.rack : step.preferred_rack;
    if (!rack.empty() && worker.rack != rack) cost += 50.0;
    if (step.filler) cost += worker.serving * 20.0;
    if (step.target_ms > 0) cost += worker.fillers * 20.0;
    return cost;
  }
};

class SeededPool {
 public:
  explicit SeededPool(std::uint32_t seed) : random_(seed), pool_(70) {
    for (std::size_t i = 0; i < pool_.size(); ++i) {
      WorkerCapacity& worker = pool_[i];
      worker.id = "worker-" + std::to_string(i);
      worker.rack = Rack();
      if (Below(3) == 0) worker.labels = {"ssd", "fast"};
      worker.room = {.cpu_millis = 32000, .memory_mb = 65536};
      worker.used = {.cpu_millis = std::int64_t{4000} * Below(9),
                     .memory_mb = std::int64_t{4096} * Below(17)};
      worker.tasks = Below(8);
      worker.lasting = Below(4) == 0 ? 1 : 0;
      worker.serving = Below(3);
      worker.fillers = Below(3);
      worker.outlier_score = Below(10) == 0 ? 1 + Below(3) : 0;
      worker.isolated = Below(20) == 0;
      worker.recent_start = Below(2) == 0;
      workers_.push_back(&worker);
    }
    // Some are at zero or beyond: their entry has changed under their tasks.
    pool_[3].room = {};
    pool_[5].used.cpu_millis = 40000;
  }

  int Below(int bound) {
    return static_cast<int>(random_() % static_cast<std::uint32_t>(bound));
  }
  std::string Rack() { return "rack-" + std::to_string(Below(4)); }

  StepSpec NextStep() {
    StepSpec step;
    step.count = 1 + Below(8);
    step.need = {.cpu_millis = std::int64_t{4000} * (1 + Below(3)),
                 .memory_mb = std::int64_t{2048} * (1 + Below(6))};
    step.filler = Below(6) == 0;
    step.target_ms = Below(6) == 0 ? 100 : 0;
    if (Below(5) == 0) step.required_label = "ssd";
    if (Below(3) == 0) step.preferred_rack = Rack();
    if (Below(3) == 0) step.max_per_worker = 1 + Below(2);
    return step;
  }

  /// A request whose answers depend on `siblings` and `tickets`.
  PlacementRequest NextRequest(const StepSpec& step,
                               std::map<std::string, int>* siblings,
                               std::map<std::string, bool>* tickets) {
    PlacementRequest request;
    request.step = &step;
    if (Below(4) == 0) {
      request.avoid_worker = "worker-" + std::to_string(Below(70));
    }
    request.may_crash_worker = Below(6) == 0;
    if (Below(4) == 0) request.rack = Rack();
    request.count_siblings = [siblings](const WorkerCapacity& worker) {
      return (*siblings)[worker.id];
    };
    if (Below(4) == 0) {
      for (const WorkerCapacity& worker : pool_) {
        (*tickets)[worker.id] = Below(2) == 0;
      }
      request.allowed = [tickets](const WorkerCapacity& worker) {
        return (*tickets)[worker.id];
      };
    }
    return request;
  }

  const std::vector<WorkerCapacity*>& Workers() const { return workers_; }

 private:
  std::mt19937 random_;
  std::vector<WorkerCapacity> pool_;
  std::vector<WorkerCapacity*> workers_;
};

/// Guards against a shortcut in ChooseWorker() that changes a choice. The pool
/// fills up, so that the last steps find no worker.
TEST(PlacementChoice, IsThatOfTheReference) {
  int placed = 0;
  int not_placed = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    SeededPool pool(seed);
    for (int n = 0; n < 60; ++n) {
      const StepSpec step = pool.NextStep();
      std::map<std::string, int> siblings;
      std::map<std::string, bool> tickets;
      const PlacementRequest request =
          pool.NextRequest(step, &siblings, &tickets);
      for (int i = 0; i < step.count; ++i) {
        for (const WorkerCapacity* worker : pool.Workers()) {
          ASSERT_EQ(CanPlace(request, *worker),
                    Reference::CanPlace(request, *worker))
              << "seed " << seed << ", step " << n << ", " << worker->id;
        }
        WorkerCapacity* worker = ChooseWorker(request, pool.Workers());
        ASSERT_EQ(worker, Reference::Choose(request, pool.Workers()))
            << "seed " << seed << ", step " << n << ", task " << i;
        if (worker == nullptr) {
          ++not_placed;
          break;
        }
        ++placed;
        worker->used += Charge(step);
        ++worker->tasks;
        ++siblings[worker->id];
      }
    }
  }
  EXPECT_GT(placed, 1000);
  EXPECT_GT(not_placed, 100);
}

/// Guards against a round that is left out although a worker has room.
TEST(CandidateWorkers, MayHoldWhatAWorkerHasRoomFor) {
  CandidateWorkers candidates;
  int held = 0;
  int without_room = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    SeededPool pool(seed);
    candidates.Clear();
    for (WorkerCapacity* worker : pool.Workers()) candidates.Add(worker);
    for (int n = 0; n < 900; ++n) {
      const StepSpec step = pool.NextStep();
      const Resources charge = Charge(step);
      const bool has_room = AnyHasRoom(charge, pool.Workers());
      ASSERT_EQ(candidates.MayHold(charge), has_room)
          << "seed " << seed << ", step " << n;
      ++(has_room ? held : without_room);
      PlacementRequest request;
      request.step = &step;
      WorkerCapacity* worker = ChooseWorker(request, pool.Workers());
      if (worker != nullptr) worker->used += charge;
    }
  }
  EXPECT_GT(held, 1000);
  EXPECT_GT(without_room, 1000);
}

TEST(CandidateWorkers, HaveNoRoomWithoutWorkers) {
  CandidateWorkers candidates;
  EXPECT_FALSE(candidates.MayHold({}));
}

}  // namespace
}  // namespace basilusher
