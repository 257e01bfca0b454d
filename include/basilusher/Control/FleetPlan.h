// Stored records of pools, and pure functions that plan drains and moves of
// instances.
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

/// A place (permit) in a pool's availability budget; only an instance that
/// holds one may be drained.
struct BudgetPlace {
  PlaceReason reason = PlaceReason::kMaintenance;
  /// Pool to which the instance moves; empty for maintenance.
  std::string target;
  /// Number of maintenances of the instance when the place was taken; a list of
  /// the platform with the same number predates the reboot.
  std::int64_t maintained = 0;
  /// Fencing token of the drain. A worker that has been admitted again under it
  /// refuses drains under it or a lower one, so a delayed drain call has no
  /// effect.
  std::int64_t fence = 0;

  friend bool operator==(const BudgetPlace&, const BudgetPlace&) = default;
};

/// The stored record of a pool: the places taken in its availability budget.
struct PoolRecord {
  std::map<std::string, BudgetPlace> places;
  /// Number of places ever taken; part of the next place's fencing token.
  std::int64_t taken = 0;
};

/// Returns the fencing token of the next place of an instance with assignment
/// generation `generation` in the pool of `record`. Grows with every place
/// taken and every move. Thread-safe.
std::int64_t NextFence(const PoolRecord& record, std::int64_t generation);

void to_json(Json& json, const PoolRecord& record);
void from_json(const Json& json, PoolRecord& record);

/// Returns the key of a pool's record. Thread-safe.
std::string PoolKey(const std::string& pool);
/// Prefix of the keys of all pool records.
inline constexpr char kPoolPrefix[] = "fleet/pool/";
/// Key of the document that assigns every instance to its pool.
inline constexpr char kAssignmentKey[] = "fleet/instances";

/// One step towards maintenance or a move.
enum class FleetStep {
  kTakePlace,
  /// Stop new work on the instance and query the number of runs left.
  kDrain,
  /// Allow the platform to reboot the drained instance.
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

/// The complete input of PlanPool for one pool.
struct PoolSnapshot {
  std::string pool;
  /// Largest number of members that may be unavailable at once.
  int budget = 0;
  PoolRecord record;
  /// Members of the pool by the assignment document.
  std::vector<std::string> members;
  /// The platform's list of the pool's workers, which may be stale.
  std::map<std::string, WorkerInfo> listed;
  /// Pool of each instance by the intent.
  std::map<std::string, std::string> desired_pools;
  /// Instances with a place that were drained under it and reported no runs.
  std::vector<std::string> drained;
  /// Instances with a place that have been admitted again under it.
  std::vector<std::string> admitted;
};

/// Number of unplanned losses at which no new drain begins: several losses
/// probably have a common cause that may affect further members.
inline constexpr int kCorrelatedLossThreshold = 2;

/// Returns the number of members that are unavailable without a place: not
/// listed, leaving or rebooting. Thread-safe.
int UnplannedLosses(const PoolSnapshot& snapshot);

/// Returns the next steps for a pool. Steps are idempotent: any entry may
/// repeat any of them. Thread-safe.
std::vector<FleetAction> PlanPool(const PoolSnapshot& snapshot);

/// Returns the assignments with the instances of the intent that have none
/// added; instances that are assigned keep their pool. Thread-safe.
Assignments WithNewInstances(const Assignments& current, const Intent& intent);

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_FLEETPLAN_H_
