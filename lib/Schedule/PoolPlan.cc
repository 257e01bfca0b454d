// Required size of pools and moves of instances between them.
#include "basilusher/Schedule/PoolPlan.h"

#include <algorithm>
#include <cmath>

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

/// Adds moves of up to `count` free instances out of `pool`, longest idle
/// first.
void TakeFree(const PoolState& pool, int count, Millis min_idle,
              const std::string& to, std::vector<InstanceMove>* moves) {
  std::vector<const PoolInstance*> free;
  for (const PoolInstance& instance : pool.instances) {
    const bool taken = std::any_of(moves->begin(), moves->end(),
                                   [&instance](const InstanceMove& move) {
                                     return move.instance == instance.id;
                                   });
    if (instance.free && instance.idle >= min_idle && !taken) {
      free.push_back(&instance);
    }
  }
  std::stable_sort(free.begin(), free.end(),
                   [](const PoolInstance* a, const PoolInstance* b) {
                     return a->idle > b->idle;
                   });
  for (const PoolInstance* instance : free) {
    if (count-- <= 0) return;
    moves->push_back({.instance = instance->id, .from = pool.name, .to = to});
  }
}

int Surplus(const PoolState& pool, const std::vector<InstanceMove>& moves) {
  int left = static_cast<int>(pool.instances.size()) - pool.needed;
  for (const InstanceMove& move : moves) {
    if (move.from == pool.name) --left;
  }
  return left;
}

int Missing(const PoolState& pool, const std::vector<InstanceMove>& moves) {
  int missing = pool.needed - static_cast<int>(pool.instances.size());
  for (const InstanceMove& move : moves) {
    if (move.to == pool.name) --missing;
  }
  return missing;
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
  std::vector<InstanceMove> moves;
  for (const PoolState& pool : pools) {
    if (pool.spare) continue;
    for (const PoolState& source : pools) {
      const int missing = Missing(pool, moves);
      if (missing <= 0) break;
      if (source.spare) TakeFree(source, missing, Millis(0), pool.name, &moves);
    }
  }
  for (const PoolState& pool : pools) {
    if (pool.spare) continue;
    for (const PoolState& source : pools) {
      const int missing = Missing(pool, moves);
      if (missing <= 0) break;
      if (source.spare || source.surplus_duration < kIdleBeforeLending) {
        continue;
      }
      TakeFree(source, std::min(missing, Surplus(source, moves)),
               kIdleBeforeLending, pool.name, &moves);
    }
  }
  const auto spare =
      std::find_if(pools.begin(), pools.end(),
                   [](const PoolState& pool) { return pool.spare; });
  if (spare == pools.end()) return moves;
  for (const PoolState& pool : pools) {
    if (pool.spare || pool.surplus_duration < kIdleBeforeSpare) continue;
    TakeFree(pool, Surplus(pool, moves), kIdleBeforeSpare, spare->name, &moves);
  }
  return moves;
}

}  // namespace basilusher
