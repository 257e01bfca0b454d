// Which instances of a maintenance wave go next. Load pattern: half of the
// fleet is due within less than a minute while queues burst in turn. Instances
// that rest go first; busy ones are emptied only as the deadline needs it.
#ifndef BASILUSHER_SCHEDULE_WAVEPLAN_H_
#define BASILUSHER_SCHEDULE_WAVEPLAN_H_

#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"

namespace basilusher {

struct WaveInstance {
  std::string id;
  std::string pool;
  /// Switched off: nothing is lost by maintaining it now.
  bool spare = false;
  /// Nothing runs on it.
  bool empty = false;
  /// Its pool has more instances than it needs.
  bool pool_has_surplus = false;
  /// Tasks that would have to end or move first.
  int tasks = 0;
};

struct WaveState {
  /// Instances that are not done, not under way and up.
  std::vector<WaveInstance> due;
  /// Instances being emptied or maintained.
  int in_progress = 0;
  int max_at_once = 1;
  Millis time_left{0};
  /// One instance's maintenance, emptying included.
  Millis time_per_instance{3000};
};

/// Instances to begin with now, in order. Never more than the wave's bound
/// allows. Thread-safe.
std::vector<std::string> PlanWave(const WaveState& wave);

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_WAVEPLAN_H_
