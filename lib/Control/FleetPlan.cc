// Planning of drains, reboots and moves.
#include "basilusher/Control/FleetPlan.h"

#include <algorithm>

namespace basilusher {
namespace {

bool IsServing(const PoolSnapshot& snapshot, const std::string& instance) {
  const auto it = snapshot.listed.find(instance);
  return it != snapshot.listed.end() && !it->second.leaving &&
         !it->second.rebooting;
}

/// Returns the pool to which `instance` should move; empty if it is in the pool
/// that the intent names, or if the intent does not name it.
std::string MoveTarget(const PoolSnapshot& snapshot,
                       const std::string& instance) {
  const auto it = snapshot.desired_pools.find(instance);
  if (it == snapshot.desired_pools.end() || it->second == snapshot.pool) {
    return "";
  }
  return it->second;
}

std::string RackOf(const PoolSnapshot& snapshot, const std::string& instance) {
  const auto it = snapshot.listed.find(instance);
  return it == snapshot.listed.end() ? "" : it->second.rack;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Returns the last step: the instance takes work again before its place is
/// returned.
FleetStep AdmitOrReturn(const PoolSnapshot& snapshot,
                        const std::string& instance) {
  return Contains(snapshot.admitted, instance) ? FleetStep::kReturnPlace
                                               : FleetStep::kAdmit;
}

/// Returns the next step of an instance that holds a place.
FleetAction NextStep(const PoolSnapshot& snapshot, const std::string& instance,
                     const BudgetPlace& place) {
  FleetAction action{.instance = instance, .place = place};
  const auto listed = snapshot.listed.find(instance);
  if (!Contains(snapshot.members, instance)) {
    // The assignment to the new pool is stored.
    action.step = AdmitOrReturn(snapshot, instance);
    return action;
  }
  if (place.reason == PlaceReason::kMaintenance &&
      listed != snapshot.listed.end() &&
      listed->second.maintained > place.maintained) {
    // The maintenance has been done; the place is kept until the instance
    // serves again. Until then kRelease has no effect at the platform, since
    // the number of maintenances has changed.
    action.step = IsServing(snapshot, instance)
                      ? AdmitOrReturn(snapshot, instance)
                      : FleetStep::kRelease;
    return action;
  }
  const bool is_drained = Contains(snapshot.drained, instance);
  if (!is_drained) {
    action.step = FleetStep::kDrain;
    return action;
  }
  action.step = place.reason == PlaceReason::kMove ? FleetStep::kReassign
                                                   : FleetStep::kRelease;
  return action;
}

/// Returns the members that need a place, those in racks with a place taken
/// first, so that a wave proceeds one failure domain at a time.
std::vector<FleetAction> Candidates(const PoolSnapshot& snapshot) {
  std::vector<std::string> busy_racks;
  for (const auto& row : snapshot.record.places) {
    busy_racks.push_back(RackOf(snapshot, row.first));
  }
  std::vector<std::pair<bool, FleetAction>> ranked;
  for (const std::string& instance : snapshot.members) {
    if (snapshot.record.places.contains(instance)) continue;
    if (!IsServing(snapshot, instance)) continue;
    const WorkerInfo& info = snapshot.listed.at(instance);
    const std::string target = MoveTarget(snapshot, instance);
    if (!info.wants_maintenance && target.empty()) continue;
    const PlaceReason reason =
        target.empty() ? PlaceReason::kMaintenance : PlaceReason::kMove;
    const bool other_rack = std::find(busy_racks.begin(), busy_racks.end(),
                                      info.rack) == busy_racks.end();
    ranked.emplace_back(other_rack,
                        FleetAction{.step = FleetStep::kTakePlace,
                                    .instance = instance,
                                    .place = {.reason = reason,
                                              .target = target,
                                              .maintained = info.maintained}});
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<FleetAction> actions;
  actions.reserve(ranked.size());
  for (const auto& row : ranked) actions.push_back(row.second);
  return actions;
}

}  // namespace

void to_json(Json& json, const PoolRecord& record) {
  json = {{"places", Json::object()}};
  for (const auto& row : record.places) {
    json["places"][row.first] = {
        {"reason", NameOf(kPlaceReasonNames, row.second.reason)},
        {"target", row.second.target},
        {"maintained", row.second.maintained},
        {"fence", row.second.fence}};
  }
  json["taken"] = record.taken;
}

void from_json(const Json& json, PoolRecord& record) {
  record.places.clear();
  for (const auto& row : json.at("places").items()) {
    const std::string reason = row.value().at("reason").get<std::string>();
    record.places[row.key()] = {
        .reason = ValueOf(kPlaceReasonNames, reason)
                      .value_or(PlaceReason::kMaintenance),
        .target = row.value().at("target").get<std::string>(),
        .maintained = row.value().at("maintained").get<std::int64_t>(),
        .fence = row.value().at("fence").get<std::int64_t>()};
  }
  record.taken = json.at("taken").get<std::int64_t>();
}

std::int64_t NextFence(const PoolRecord& record, std::int64_t generation) {
  constexpr int kGenerationShift = 32;
  return (generation << kGenerationShift) + record.taken + 1;
}

std::string PoolKey(const std::string& pool) { return kPoolPrefix + pool; }

int UnplannedLosses(const PoolSnapshot& snapshot) {
  int losses = 0;
  for (const std::string& instance : snapshot.members) {
    if (snapshot.record.places.contains(instance)) continue;
    if (!IsServing(snapshot, instance)) ++losses;
  }
  return losses;
}

std::vector<FleetAction> PlanPool(const PoolSnapshot& snapshot) {
  std::vector<FleetAction> actions;
  for (const auto& row : snapshot.record.places) {
    actions.push_back(NextStep(snapshot, row.first, row.second));
  }
  const int losses = UnplannedLosses(snapshot);
  if (losses >= kCorrelatedLossThreshold) return actions;
  const int taken = static_cast<int>(snapshot.record.places.size());
  if (taken + losses >= snapshot.budget) return actions;
  // At most one place is taken per plan, so that the next plan is based on the
  // updated record.
  const std::vector<FleetAction> candidates = Candidates(snapshot);
  if (!candidates.empty()) actions.push_back(candidates.front());
  return actions;
}

Assignments WithNewInstances(const Assignments& current, const Intent& intent) {
  Assignments next = current;
  for (const auto& pool : intent.pools) {
    for (const std::string& instance : pool.second.workers) {
      next.try_emplace(instance, Assignment{.pool = pool.first});
    }
  }
  return next;
}

}  // namespace basilusher
