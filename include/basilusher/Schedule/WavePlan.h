// Which instances of a maintenance wave are maintained next. Load pattern: half
// of the fleet is due within less than a minute while queues burst in turn.
// Idle instances go first; busy ones are drained only as the deadline requires.
#ifndef BASILUSHER_SCHEDULE_WAVEPLAN_H_
#define BASILUSHER_SCHEDULE_WAVEPLAN_H_

#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"

namespace basilusher {

struct WaveInstance {
  std::string id;
  std::string pool;
  /// It is switched off, so maintenance takes no capacity away.
  bool spare = false;
  /// No task runs on it.
  bool empty = false;
  /// Its pool has more instances than it needs.
  bool pool_has_surplus = false;
  /// Number of tasks that would have to end or move first.
  int tasks = 0;
};

struct WaveState {
  /// Instances of the wave that are up and whose maintenance is neither done
  /// nor in progress.
  std::vector<WaveInstance> due;
  /// Number of instances that are being drained or maintained.
  int in_progress = 0;
  int max_at_once = 1;
  Millis time_left{0};
  /// Duration of one instance's maintenance, including draining.
  Millis time_per_instance{3000};
};

/// Returns the instances whose maintenance is to begin now, in order. With
/// those in progress they are never more than `max_at_once`. Thread-safe.
std::vector<std::string> PlanWave(const WaveState& wave);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_WAVEPLAN_H_
