// Records of pools and instances, and the pure decisions on drains and moves.
#ifndef BASILUSHER_CONTROL_FLEETPLAN_H_
#define BASILUSHER_CONTROL_FLEETPLAN_H_

#include <map>
#include <string>
#include <vector>

#include "basilusher/Model/ClusterView.h"
#include "basilusher/Support/EnumTable.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Why an instance holds a place in its pool's availability budget.
enum class PlaceReason { kMaintenance, kMove };

inline constexpr EnumTable<PlaceReason, 2> kPlaceReasonNames = {{
    {PlaceReason::kMaintenance, "maintenance"},
    {PlaceReason::kMove, "move"},
}};

/// A place in a pool's budget: only its holder may be drained.
struct BudgetPlace {
  PlaceReason reason = PlaceReason::kMaintenance;
  /// Pool that a moving instance goes to.
  std::string target;
  /// The instance's count of maintenances when the place was taken: a listing
  /// with the same count is from before the reboot.
  std::int64_t maintained = 0;
  /// Fencing token of the drain: a worker that was admitted under it refuses
  /// to be drained under it or a lower one, however late the call.
  std::int64_t fence = 0;

  friend bool operator==(const BudgetPlace&, const BudgetPlace&) = default;
};

/// What the store keeps of a pool: the places taken in its budget.
struct PoolRecord {
  std::map<std::string, BudgetPlace> places;
  /// Places taken so far; part of the next place's fencing token.
  std::int64_t taken = 0;
};

/// Fencing token of the next place of an instance with `generation` in the pool
/// of `record`; grows with every place and every move. Thread-safe.
std::int64_t NextFence(const PoolRecord& record, std::int64_t generation);

void to_json(Json& json, const PoolRecord& record);
void from_json(const Json& json, PoolRecord& record);

/// Key of a pool's record, and the prefix of all of them. Thread-safe.
std::string PoolKey(const std::string& pool);
inline constexpr char kPoolPrefix[] = "fleet/pool/";
/// Key of the one document that assigns every instance to its pool.
inline constexpr char kAssignmentKey[] = "fleet/instances";

/// One step towards maintenance or a move.
enum class FleetStep {
  kTakePlace,
  /// Stop new work on the instance and ask what still runs.
  kDrain,
  /// Let the platform reboot the drained instance.
  kRelease,
  /// Assign the drained instance to its new pool.
  kReassign,
  /// Let the instance take work again.
  kAdmit,
  kReturnPlace,
};

struct FleetAction {
  FleetStep step = FleetStep::kDrain;
  std::string instance;
  BudgetPlace place;
};

/// Everything a decision on one pool rests on.
struct PoolSnapshot {
  std::string pool;
  int budget = 0;
  PoolRecord record;
  /// Members of the pool by the assignment document.
  std::vector<std::string> members;
  /// The platform's list, which lags.
  std::map<std::string, WorkerInfo> listed;
  /// Pool of each instance by the intent.
  std::map<std::string, std::string> desired_pools;
  /// Instances with a place that have been asked and run nothing.
  std::vector<std::string> drained;
  /// Instances with a place that have been admitted again under it.
  std::vector<std::string> admitted;
};

/// Unannounced losses at which no new drain begins: they are likely to have one
/// cause, and it may spread.
inline constexpr int kCorrelatedLossThreshold = 2;

/// Members that are unavailable without a place: lost, leaving or rebooting
/// unannounced. Thread-safe.
int UnplannedLosses(const PoolSnapshot& snapshot);

/// The next steps for a pool; pure and idempotent: any entry may take any of
/// them again. Thread-safe.
std::vector<FleetAction> PlanPool(const PoolSnapshot& snapshot);

/// Assignments after taking in the instances of the intent that have none; an
/// instance that is assigned stays where it is. Thread-safe.
Assignments WithNewInstances(const Assignments& current, const Intent& intent);

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_FLEETPLAN_H_
