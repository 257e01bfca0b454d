// Execution of maintenance and moves by calls to the store, the workers and the
// platform.
#include "basilusher/Control/FleetAgent.h"

#include <utility>
#include <vector>

namespace basilusher {
namespace {

/// Time between two reconciliation rounds.
constexpr Millis kRoundPeriod{500};

}  // namespace

std::string FleetSubject(const std::string& pool) { return "fleet/" + pool; }

FleetAgent::FleetAgent(Context context, FleetDelegate* delegate)
    : context_(std::move(context)), delegate_(delegate) {}

void FleetAgent::OnMessage(const PeerId& /*from*/, const Message& /*message*/) {
}

bool FleetAgent::IsHome(const std::string& subject) const {
  return HomeOrSelf(context_, subject) == context_.self.instance;
}

void FleetAgent::OnStoreChanges(const StoreChanges& changes) {
  // The first reply of the watch holds all entries, so a missing assignment
  // document is now known to be absent.
  assignments_known_ = true;
  const std::string prefix = kPoolPrefix;
  for (const StoreEntry& entry : changes.entries) {
    if (entry.version == 0) continue;
    if (entry.key == kAssignmentKey && entry.version > assignment_version_) {
      assignment_version_ = entry.version;
      assignments_ = Json::parse(entry.value).get<Assignments>();
    }
    if (entry.key.compare(0, prefix.size(), prefix) != 0) continue;
    PoolState& state = pools_[entry.key.substr(prefix.size())];
    if (entry.version <= state.version) continue;
    state.version = entry.version;
    state.record = Json::parse(entry.value).get<PoolRecord>();
  }
  UpdateView();
}

void FleetAgent::UpdateView() {
  std::set<std::string> draining;
  for (const auto& pool : pools_) {
    for (const auto& place : pool.second.record.places) {
      draining.insert(place.first);
    }
  }
  const ViewPtr view = context_.views->Current();
  if (view->draining == draining && view->assignments != nullptr &&
      *view->assignments == assignments_) {
    return;
  }
  context_.views->Update([&](ClusterView* next) {
    next->draining = std::move(draining);
    next->assignments = std::make_shared<const Assignments>(assignments_);
  });
}

void FleetAgent::OnTick() {
  const TimePoint now = context_.clock->Now();
  const ViewPtr view = context_.views->Current();
  if (shutting_down_ || now < next_round_ || view->intent == nullptr) return;
  next_round_ = now + kRoundPeriod;
  if (!assignments_known_) return;
  TickAssignments();
  // Until the platform's list has been read, every member would count as lost.
  if (view->workers.empty()) return;
  const Round round = BeginRound(view);
  for (const auto& row : view->intent->pools) {
    if (IsHome(FleetSubject(row.first))) {
      TickPool(round, row.first, row.second.availability_budget);
    }
  }
}

FleetAgent::Round FleetAgent::BeginRound(const ViewPtr& view) const {
  Round round{.view = view};
  for (const auto& row : assignments_) {
    round.members[row.second.pool].push_back(row.first);
  }
  for (const auto& row : view->intent->pools) {
    for (const std::string& instance : row.second.workers) {
      round.desired_pools[instance] = row.first;
    }
  }
  return round;
}

void FleetAgent::TickAssignments() {
  if (assignments_swap_in_flight_ || !IsHome(FleetSubject(""))) return;
  const ViewPtr view = context_.views->Current();
  const Assignments next = WithNewInstances(assignments_, *view->intent);
  if (next != assignments_) SwapAssignments(next);
}

void FleetAgent::SwapAssignments(const Assignments& next) {
  assignments_swap_in_flight_ = true;
  context_.store->Swap(StorePurpose::kBackground,
                       {.key = kAssignmentKey,
                        .expected_version = assignment_version_,
                        .value = Json(next).dump()},
                       [this, next](const StoreReply& reply) {
                         assignments_swap_in_flight_ = false;
                         if (reply.status != StoreStatus::kOk ||
                             reply.version <= assignment_version_) {
                           // The watch delivers the document now stored.
                           return;
                         }
                         assignment_version_ = reply.version;
                         assignments_ = next;
                         UpdateView();
                       });
}

std::vector<std::string> FleetAgent::ConfirmedUnderCurrentPlace(
    const PoolState& state, const Confirmations& confirmations) {
  std::vector<std::string> names;
  for (const auto& row : confirmations) {
    // A confirmation under an earlier place does not apply to the current one.
    const auto place = state.record.places.find(row.first);
    if (place != state.record.places.end() && place->second == row.second) {
      names.push_back(row.first);
    }
  }
  return names;
}

PoolSnapshot FleetAgent::SnapshotOf(const Round& round, const std::string& pool,
                                    int budget) const {
  PoolSnapshot snapshot{.pool = pool, .budget = budget};
  const auto members = round.members.find(pool);
  if (members != round.members.end()) snapshot.members = members->second;
  std::vector<std::string> instances = snapshot.members;
  const auto state = pools_.find(pool);
  if (state != pools_.end()) {
    snapshot.record = state->second.record;
    snapshot.drained =
        ConfirmedUnderCurrentPlace(state->second, state->second.drained);
    snapshot.admitted =
        ConfirmedUnderCurrentPlace(state->second, state->second.admitted);
    for (const auto& place : snapshot.record.places) {
      instances.push_back(place.first);
    }
  }
  for (const std::string& instance : instances) {
    const auto listed = round.view->workers.find(instance);
    if (listed != round.view->workers.end()) snapshot.listed.insert(*listed);
    const auto wanted = round.desired_pools.find(instance);
    if (wanted != round.desired_pools.end()) {
      snapshot.desired_pools.insert(*wanted);
    }
  }
  return snapshot;
}

void FleetAgent::TickPool(const Round& round, const std::string& pool,
                          int budget) {
  for (const FleetAction& action : PlanPool(SnapshotOf(round, pool, budget))) {
    Execute(pool, action);
  }
}

void FleetAgent::Execute(const std::string& pool, const FleetAction& action) {
  const ViewPtr view = context_.views->Current();
  const auto worker = view->workers.find(action.instance);
  PoolState& state = pools_[pool];
  PoolRecord next = state.record;
  switch (action.step) {
    case FleetStep::kTakePlace:
      next.places[action.instance] = action.place;
      next.places[action.instance].fence =
          NextFence(state.record, assignments_[action.instance].generation);
      ++next.taken;
      SwapRecord(pool, next);
      return;
    case FleetStep::kDrain:
      if (worker != view->workers.end()) CallDrain(pool, worker->second);
      return;
    case FleetStep::kRelease:
      if (worker == view->workers.end()) return;
      context_.counters->Add("fleet_releases");
      delegate_->Release(worker->second, action.place.maintained);
      return;
    case FleetStep::kReassign:
      Reassign(action);
      return;
    case FleetStep::kAdmit:
      if (worker != view->workers.end()) CallAdmit(pool, worker->second);
      return;
    case FleetStep::kReturnPlace:
      next.places.erase(action.instance);
      SwapRecord(pool, next);
      return;
  }
}

void FleetAgent::SwapRecord(const std::string& pool, const PoolRecord& next) {
  PoolState& state = pools_[pool];
  if (state.swap_in_flight) return;
  state.swap_in_flight = true;
  context_.counters->Add("fleet_record_swaps");
  context_.store->Swap(StorePurpose::kPlace,
                       {.key = PoolKey(pool),
                        .expected_version = state.version,
                        .value = Json(next).dump()},
                       [this, pool, next](const StoreReply& reply) {
                         PoolState& current = pools_[pool];
                         current.swap_in_flight = false;
                         // On any other outcome the watch delivers the record
                         // now stored.
                         if (reply.status != StoreStatus::kOk ||
                             reply.version <= current.version) {
                           return;
                         }
                         current.version = reply.version;
                         current.record = next;
                         UpdateView();
                       });
}

void FleetAgent::CallDrain(const std::string& pool, const WorkerInfo& worker) {
  PoolState& state = pools_[pool];
  if (!state.calls_in_flight.insert(worker.id).second) return;
  const BudgetPlace place = state.record.places.at(worker.id);
  delegate_->Drain(worker, place.fence,
                   [this, pool, place, id = worker.id](int running) {
                     PoolState& current = pools_[pool];
                     current.calls_in_flight.erase(id);
                     if (running == 0) current.drained[id] = place;
                   });
}

void FleetAgent::CallAdmit(const std::string& pool, const WorkerInfo& worker) {
  PoolState& state = pools_[pool];
  if (!state.calls_in_flight.insert(worker.id).second) return;
  const BudgetPlace place = state.record.places.at(worker.id);
  delegate_->Admit(worker, place.fence,
                   [this, pool, place, id = worker.id](bool admitted) {
                     PoolState& current = pools_[pool];
                     current.calls_in_flight.erase(id);
                     if (admitted) current.admitted[id] = place;
                   });
}

void FleetAgent::Reassign(const FleetAction& action) {
  if (assignments_swap_in_flight_) return;
  Assignments next = assignments_;
  const auto it = next.find(action.instance);
  if (it == next.end()) return;
  it->second.pool = action.place.target;
  ++it->second.generation;
  context_.counters->Add("fleet_moves");
  SwapAssignments(next);
}

}  // namespace basilusher
