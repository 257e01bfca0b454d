// How many instances each pool needs now, and which ones move. Load pattern:
// queues burst in turn for a few seconds at several times their mean, more than
// their own pool holds, while the other pools rest. An instance that rests in a
// pool is paid for; a move costs about one such second and takes longer than a
// short task, so instances are fetched at the first signs of a burst and given
// back after a rest of seconds.
#ifndef BASILUSHER_SCHEDULE_POOLPLAN_H_
#define BASILUSHER_SCHEDULE_POOLPLAN_H_

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Work that arrived at a pool lately, for the load that it will bring.
class ArrivalWindow {
 public:
  /// Notes a job whose tasks take `core_ms` in all.
  void Add(TimePoint now, double core_ms);
  /// Cores that the arrivals of the last moments keep busy, if they go on.
  double ArrivingCores(TimePoint now);

 private:
  std::deque<std::pair<TimePoint, double>> arrivals_;
  double sum_ = 0;
};

struct PoolDemand {
  /// Taken by tasks that run now.
  Resources running;
  /// Asked for by tasks that could start now.
  Resources waiting;
  /// Taken by lasting tasks, running or waiting.
  Resources lasting;
  /// Cores that arrivals will keep busy.
  double arriving_cores = 0;
  /// Workers that spread tasks need, whatever their size.
  int distinct_workers = 0;
};

/// Instances of size `room` that carry `demand`. Thread-safe.
int InstancesNeeded(const PoolDemand& demand, const Resources& room);

/// One instance as the planner sees it.
struct PoolInstance {
  std::string id;
  /// Nothing runs on it and nothing else is planned for it.
  bool free = false;
  /// How long nothing has run on it.
  Millis idle{0};
  /// On its way into the pool.
  bool arriving = false;
};

struct PoolState {
  std::string name;
  /// Instances in this pool are switched off.
  bool spare = false;
  int needed = 0;
  /// Since when the pool has had more than it needs.
  Millis surplus_duration{0};
  std::vector<PoolInstance> instances;
};

struct InstanceMove {
  std::string instance;
  std::string from;
  std::string to;
};

/// Moves to order now: pools in need are served from spare pools first, then
/// from pools that rest; what has rested long enough goes to a spare pool.
/// Thread-safe.
std::vector<InstanceMove> PlanMoves(const std::vector<PoolState>& pools);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_POOLPLAN_H_
