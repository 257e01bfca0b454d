// Which waiting jobs a pool can serve in time. Load pattern: a burst of
// several times the mean load brings more work than the pool can serve in time,
// for some seconds, while instances for it are on their way. With the least
// slack first alone, each job starts when it can only just be in time, and all
// of them are late. Jobs for which there is no capacity in time are deferred,
// so that the others are served in time.
#ifndef BASILUSHER_SCHEDULE_BACKLOG_H_
#define BASILUSHER_SCHEDULE_BACKLOG_H_

#include <cstdint>
#include <vector>

namespace basilusher {

/// A job that waits in a pool and can still meet its objective.
struct BacklogJob {
  /// Time until its last task must start.
  std::int64_t slack_ms = 0;
  /// Work of its waiting tasks, core-milliseconds.
  double work_core_ms = 0;
  /// A task of it has been started: it is finished even if another job is
  /// deferred for it, since its work would be lost.
  bool started = false;
};

/// What a pool can do now and soon.
struct PoolCapacity {
  /// Cores of its usable workers, less those of lasting tasks.
  double cores = 0;
  /// Work that is left of the tasks that run, core-milliseconds.
  double running_core_ms = 0;
  /// Cores of instances that are on their way, and when they are expected.
  double arriving_cores = 0;
  std::int64_t arriving_in_ms = 0;
};

/// Returns for each job whether the pool can start all its tasks in time, after
/// the work that it runs and after the servable jobs before it. `jobs` are in
/// the order in which they get workers. All count as servable while those that
/// are not are a small part of the work. Thread-safe.
std::vector<bool> ServableInTime(const std::vector<BacklogJob>& jobs,
                                 const PoolCapacity& pool);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_BACKLOG_H_
