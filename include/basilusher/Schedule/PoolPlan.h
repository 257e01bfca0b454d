// Autoscaling: how many instances each pool needs now, and which ones move.
// Load pattern: queues burst in turn for a few seconds at several times their
// mean load, which exceeds the capacity of their own pool, while the other
// pools are idle. An idle instance in a pool is paid for; a move costs about as
// much as one second of an idle instance and takes longer than a short task. So
// instances are moved in at the first signs of a burst and moved out when they
// have been idle for some time.
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

/// Sliding window over the work that arrived at a pool, to predict its load.
/// Not thread-safe.
class ArrivalWindow {
 public:
  /// Adds a job whose tasks take `core_ms` core-milliseconds in total.
  void Add(TimePoint now, double core_ms);
  /// Number of cores that arrivals at the present rate keep busy.
  double ArrivingCores(TimePoint now);

 private:
  std::deque<std::pair<TimePoint, double>> arrivals_;
  double sum_ = 0;
};

struct PoolDemand {
  /// Used by tasks that are starting, running or stopping.
  Resources running;
  /// Needed by tasks that could start now.
  Resources waiting;
  /// The part of `waiting` that belongs to jobs that are late already.
  Resources waiting_late;
  /// Used or needed by lasting tasks, active or waiting.
  Resources lasting;
  /// Cores that arrivals at the present rate keep busy.
  double arriving_cores = 0;
  /// Minimum number of workers for steps that must spread their tasks or that
  /// the advisor has refused on some workers, whatever the tasks' size.
  int distinct_workers = 0;
};

/// Number of instances with capacity `room` that can serve `demand`, at least
/// one. Thread-safe.
int InstancesNeeded(const PoolDemand& demand, const Resources& room);

/// One instance, as input to the planner.
struct PoolInstance {
  std::string id;
  /// No task runs on it and no other operation is planned for it.
  bool free = false;
  /// How long no task has run on it.
  Millis idle{0};
  /// It is being moved into the pool.
  bool arriving = false;
  /// It may be drained for a pool that is served much worse: it takes new tasks
  /// and none of its tasks is a lasting one.
  bool reclaimable = false;
  /// Number of its tasks.
  int tasks = 0;
};

struct PoolState {
  std::string name;
  /// Instances in this pool are switched off.
  bool spare = false;
  /// Result of InstancesNeeded().
  int needed = 0;
  /// The same without waiting tasks of jobs that are late already; at most
  /// `needed`.
  int needed_in_time = 0;
  /// How long the pool has had more instances than it needs.
  Millis surplus_duration{0};
  std::vector<PoolInstance> instances;
};

struct InstanceMove {
  std::string instance;
  std::string from;
  std::string to;
};

/// Returns the moves to make now. Pools with too few instances get them from
/// spare pools first, then from pools with a lasting surplus. If there are not
/// enough, the pool with the smallest share of what it needs in time comes
/// first, and late work comes after all work that can be in time; busy
/// instances are drained for a pool whose share is less than half of their own
/// pool's. Instances that have been idle long enough in a pool with a surplus
/// move to a spare pool. Thread-safe.
std::vector<InstanceMove> PlanMoves(const std::vector<PoolState>& pools);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_POOLPLAN_H_
