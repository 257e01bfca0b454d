// Required size of pools and moves of instances between them.
#include "basilusher/Schedule/PoolPlan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace basilusher {
namespace {

/// Length of the window over which the arrival rate is averaged.
constexpr Millis kArrivalWindow{1000};
/// Share of an instance that packing can fill; it is below 1 since tasks vary
/// in size.
constexpr double kPackingShare = 0.92;
/// A surplus that has lasted this long is taken as the end of a burst, and its
/// instances move to a spare pool. Moving an instance out and back costs about
/// two seconds of an instance's price, and the pause between bursts is longer.
constexpr Millis kIdleBeforeSpare{600};
/// A pool with too few instances takes them from pools that have had a surplus
/// for this long.
constexpr Millis kIdleBeforeLending{600};
/// A busy instance is drained for another pool only if its own pool keeps this
/// many times the other one's share: draining and moving take longer than a
/// short task, so a smaller difference is not worth it.
constexpr double kReclaimRatio = 2.0;

double Share(std::int64_t need, std::int64_t room) {
  if (need <= 0) return 0;
  return room <= 0 ? 1.0
                   : static_cast<double>(need) / static_cast<double>(room);
}

double LargestShare(const Resources& need, const Resources& room) {
  return std::max({Share(need.cpu_millis, room.cpu_millis),
                   Share(need.memory_mb, room.memory_mb),
                   Share(need.accelerators, room.accelerators)});
}

/// Builds the list of moves; keeps count of the instances that each pool has.
class MovePlanner {
 public:
  explicit MovePlanner(const std::vector<PoolState>& pools) : pools_(pools) {
    for (const PoolState& pool : pools) {
      have_[pool.name] = static_cast<int>(pool.instances.size());
    }
  }

  /// Gives up to `count` free instances of `from` that have been idle for
  /// `min_idle` to the pools that are short of instances, longest idle first.
  void Lend(const PoolState& from, int count, Millis min_idle);
  /// Drains busy instances for pools that are served much worse than their own.
  void Reclaim();
  /// Moves the surplus of `from` to the pool `spare`, longest idle first.
  void Release(const PoolState& from, const std::string& spare);
  int Surplus(const PoolState& pool) const {
    return have_.at(pool.name) - pool.needed;
  }
  std::vector<InstanceMove> TakeMoves() { return std::move(moves_); }

 private:
  /// The pool that is to get the next instance; null if none is short.
  const PoolState* NextReceiver() const;
  std::vector<const PoolInstance*> FreeInstances(const PoolState& pool,
                                                 Millis min_idle) const;
  void Move(const PoolInstance& instance, const std::string& from,
            const std::string& to);
  /// Instances of the pool by what it needs in time.
  double ServedShare(const PoolState& pool, int change) const {
    return static_cast<double>(have_.at(pool.name) + change) /
           static_cast<double>(std::max(1, pool.needed_in_time));
  }

  const std::vector<PoolState>& pools_;
  std::map<std::string, int> have_;
  std::set<std::string> taken_;
  std::vector<InstanceMove> moves_;
};

const PoolState* MovePlanner::NextReceiver() const {
  const PoolState* next = nullptr;
  std::pair<bool, double> best;
  for (const PoolState& pool : pools_) {
    const int have = have_.at(pool.name);
    if (pool.spare || have >= pool.needed) continue;
    const bool only_late_work = have >= pool.needed_in_time;
    const double share = only_late_work
                             ? static_cast<double>(have) / pool.needed
                             : ServedShare(pool, 0);
    const std::pair<bool, double> rank(only_late_work, share);
    if (next == nullptr || rank < best) {
      next = &pool;
      best = rank;
    }
  }
  return next;
}

std::vector<const PoolInstance*> MovePlanner::FreeInstances(
    const PoolState& pool, Millis min_idle) const {
  std::vector<const PoolInstance*> free;
  for (const PoolInstance& instance : pool.instances) {
    if (instance.free && instance.idle >= min_idle &&
        !taken_.contains(instance.id)) {
      free.push_back(&instance);
    }
  }
  std::stable_sort(free.begin(), free.end(),
                   [](const PoolInstance* a, const PoolInstance* b) {
                     return a->idle > b->idle;
                   });
  return free;
}

void MovePlanner::Move(const PoolInstance& instance, const std::string& from,
                       const std::string& to) {
  taken_.insert(instance.id);
  --have_[from];
  ++have_[to];
  moves_.push_back({.instance = instance.id, .from = from, .to = to});
}

void MovePlanner::Lend(const PoolState& from, int count, Millis min_idle) {
  for (const PoolInstance* instance : FreeInstances(from, min_idle)) {
    const PoolState* to = count-- > 0 ? NextReceiver() : nullptr;
    if (to == nullptr) return;
    Move(*instance, from.name, to->name);
  }
}

void MovePlanner::Reclaim() {
  struct Candidate {
    const PoolInstance* instance;
    const PoolState* pool;
  };
  std::vector<Candidate> busy;
  for (const PoolState& pool : pools_) {
    for (const PoolInstance& instance : pool.instances) {
      if (!pool.spare && instance.reclaimable &&
          !taken_.contains(instance.id)) {
        busy.push_back({&instance, &pool});
      }
    }
  }
  std::stable_sort(busy.begin(), busy.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.instance->tasks < b.instance->tasks;
                   });
  for (const Candidate& candidate : busy) {
    const PoolState* to = NextReceiver();
    if (to == nullptr || have_.at(to->name) >= to->needed_in_time) return;
    if (ServedShare(*candidate.pool, -1) <
        kReclaimRatio * ServedShare(*to, 1)) {
      continue;
    }
    Move(*candidate.instance, candidate.pool->name, to->name);
  }
}

void MovePlanner::Release(const PoolState& from, const std::string& spare) {
  int count = Surplus(from);
  for (const PoolInstance* instance : FreeInstances(from, kIdleBeforeSpare)) {
    if (count-- <= 0) return;
    Move(*instance, from.name, spare);
  }
}

}  // namespace

void ArrivalWindow::Add(TimePoint now, double core_ms) {
  arrivals_.emplace_back(now, core_ms);
  sum_ += core_ms;
}

double ArrivalWindow::ArrivingCores(TimePoint now) {
  while (!arrivals_.empty() && now - arrivals_.front().first > kArrivalWindow) {
    sum_ -= arrivals_.front().second;
    arrivals_.pop_front();
  }
  if (arrivals_.empty()) sum_ = 0;
  return sum_ / static_cast<double>(kArrivalWindow.count());
}

int InstancesNeeded(const PoolDemand& demand, const Resources& room) {
  const double present = LargestShare(demand.running + demand.waiting, room);
  Resources expected = demand.lasting;
  expected.cpu_millis +=
      static_cast<std::int64_t>(demand.arriving_cores * 1000.0);
  const double coming = LargestShare(expected, room);
  const double needed = std::max(present, coming) / kPackingShare;
  const int count = static_cast<int>(std::ceil(needed - 0.02));
  return std::max({count, demand.distinct_workers, 1});
}

std::vector<InstanceMove> PlanMoves(const std::vector<PoolState>& pools) {
  MovePlanner planner(pools);
  for (const PoolState& pool : pools) {
    if (pool.spare) {
      planner.Lend(pool, static_cast<int>(pool.instances.size()), Millis(0));
    }
  }
  for (const PoolState& pool : pools) {
    if (!pool.spare && pool.surplus_duration >= kIdleBeforeLending) {
      planner.Lend(pool, planner.Surplus(pool), kIdleBeforeLending);
    }
  }
  planner.Reclaim();
  const auto spare =
      std::find_if(pools.begin(), pools.end(),
                   [](const PoolState& pool) { return pool.spare; });
  if (spare == pools.end()) return planner.TakeMoves();
  for (const PoolState& pool : pools) {
    if (!pool.spare && pool.surplus_duration >= kIdleBeforeSpare) {
      planner.Release(pool, spare->name);
    }
  }
  return planner.TakeMoves();
}

}  // namespace basilusher
