// Selects the next instances of a maintenance wave.
#include "basilusher/Schedule/WavePlan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace basilusher {
namespace {

/// Busy instances are drained early enough that the wave is planned to end with
/// this share of its time left.
constexpr double kReserveShare = 0.25;
/// Maximum number of busy instances of one pool that one call selects, unless
/// time is short.
constexpr int kBusyPerPool = 2;

}  // namespace

std::vector<std::string> PlanWave(const WaveState& wave) {
  std::vector<const WaveInstance*> order;
  for (const WaveInstance& instance : wave.due) order.push_back(&instance);
  std::stable_sort(order.begin(), order.end(),
                   [](const WaveInstance* a, const WaveInstance* b) {
                     return std::make_tuple(!a->spare, !a->empty,
                                            !a->pool_has_surplus, a->tasks) <
                            std::make_tuple(!b->spare, !b->empty,
                                            !b->pool_has_surplus, b->tasks);
                   });
  int free_starts = wave.max_at_once - wave.in_progress;
  // Rounds of `max_at_once` instances that the wave still needs, against the
  // rounds for which there is time.
  const double rounds =
      std::ceil(static_cast<double>(
                    order.size() + static_cast<std::size_t>(wave.in_progress)) /
                std::max(1, wave.max_at_once));
  const double left = static_cast<double>(wave.time_left.count()) *
                      (1.0 - kReserveShare) /
                      static_cast<double>(std::max<std::int64_t>(
                          1, wave.time_per_instance.count()));
  const bool time_is_short = left <= rounds + 1.0;
  std::vector<std::string> chosen;
  std::map<std::string, int> busy;
  for (const WaveInstance* instance : order) {
    if (free_starts <= 0) break;
    const bool no_capacity_lost =
        instance->spare || (instance->empty && instance->pool_has_surplus);
    if (!no_capacity_lost && !time_is_short &&
        ++busy[instance->pool] > kBusyPerPool) {
      continue;
    }
    chosen.push_back(instance->id);
    --free_starts;
  }
  return chosen;
}

}  // namespace basilusher
