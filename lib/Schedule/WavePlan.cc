// Order of a wave's instances.
#include "basilusher/Schedule/WavePlan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace basilusher {
namespace {

/// Busy instances are emptied so early that the wave ends with this share of
/// its time to spare.
constexpr double kReserveShare = 0.25;
/// Instances of one pool that are emptied at the same time.
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
  int places = wave.max_at_once - wave.in_progress;
  // Rounds that the wave still needs at full width, against those left.
  const double rounds =
      std::ceil(static_cast<double>(
                    order.size() + static_cast<std::size_t>(wave.in_progress)) /
                std::max(1, wave.max_at_once));
  const double left = static_cast<double>(wave.time_left.count()) *
                      (1.0 - kReserveShare) /
                      static_cast<double>(std::max<std::int64_t>(
                          1, wave.time_per_instance.count()));
  const bool hurry = left <= rounds + 1.0;
  std::vector<std::string> chosen;
  std::map<std::string, int> busy;
  for (const WaveInstance* instance : order) {
    if (places <= 0) break;
    const bool costless =
        instance->spare || (instance->empty && instance->pool_has_surplus);
    if (!costless && !hurry && ++busy[instance->pool] > kBusyPerPool) continue;
    chosen.push_back(instance->id);
    --places;
  }
  return chosen;
}

}  // namespace basilusher
