// Orders for instances: moves between pools and maintenance.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Support/TurnTimer.h"

namespace basilusher {
namespace {

constexpr Millis kFleetPeriod{100};
/// Periods at which the list of instances is read: while no operation is in
/// progress, and while one is.
constexpr Millis kIdleListPeriod{1000};
constexpr Millis kBusyListPeriod{250};
/// An order without a definite answer is repeated after this time.
constexpr Millis kOrderRetryDelay{500};
/// A move is abandoned if the instance has not been drained after this time.
/// Draining for maintenance has no time limit.
constexpr Millis kMoveDrainTimeout{3000};
/// Upper bound of the difference between the wall clocks of two nodes.
constexpr Millis kClockTolerance{2500};

}  // namespace

void PartitionOwner::FleetTick() {
  const TurnTimer timer(deps_.clock, "fleet");
  if (closed_) return;
  const TimePoint now = deps_.clock->Now();
  // An owner that may have been replaced sends no orders.
  const bool may_order = loaded_ && catalog_ != nullptr && orders_loaded_ &&
                         now < listener_.confirmed_until();
  const Millis period =
      instance_operations_.empty() ? kIdleListPeriod : kBusyListPeriod;
  if (loaded_ && !listing_ && now - list_asked_at_ >= period) ListInstances();
  // Before what may wait: tasks that leave with their worker count among the
  // unavailable ones of their step.
  if (loaded_) EvictFromDraining();
  if (may_order && instances_known_) {
    PlanWaves();
    PlanPools();
    for (auto& [id, op] : instance_operations_) AdvanceOperation(id, &op);
    SaveOrders();
  }
  if (loaded_) evacuation_.MoveRuns();
  deps_.timers->After(kFleetPeriod,
                      [self = shared_from_this()] { self->FleetTick(); });
}

void PartitionOwner::ListInstances() {
  listing_ = true;
  const TimePoint asked_at = deps_.clock->Now();
  list_asked_at_ = asked_at;
  deps_.instances->List(
      [self = shared_from_this(), asked_at](const InstanceList& list) {
        self->listing_ = false;
        if (self->closed_ || !list.complete) return;
        self->OnInstances(list, asked_at);
      });
}

void PartitionOwner::OnInstances(const InstanceList& list, TimePoint asked_at) {
  std::map<std::string, Instance> instances;
  for (const Instance& instance : list.instances) {
    instances[instance.id] = instance;
    instance_missing_since_.erase(instance.id);
    worker_first_seen_at_.try_emplace(instance.worker, asked_at);
  }
  instances_ = std::move(instances);
  instances_asked_at_ = asked_at;
  instances_known_ = true;
  std::set<std::string_view> shown;
  for (const auto& [id, instance] : instances_) shown.insert(instance.worker);
  std::erase_if(worker_first_seen_at_, [&shown](const auto& entry) {
    return !shown.contains(entry.first);
  });
  DropWorkersWithoutInstance(asked_at);
  std::vector<std::string> completed;
  for (auto& [id, op] : instance_operations_) {
    if (!op.accepted || op.accepted_at >= asked_at) continue;
    const auto it = instances_.find(id);
    if (it == instances_.end()) {
      completed.push_back(id);
      continue;
    }
    if (it->second.state != InstanceState::kUp) continue;
    if (it->second.worker == op.worker) {
      // The list may be stale, so an unchanged instance counts only if it was
      // read more than kListLag after the order was accepted.
      if (asked_at - op.accepted_at <= kListLag) continue;
      // A powered-off instance has no worker before and after. If the same
      // worker is still alive, the order had already been carried out for an
      // earlier owner.
      if (!op.worker.empty()) KeepWorker(op.worker);
    }
    completed.push_back(id);
  }
  for (const std::string& id : completed) {
    LogEvent(LogLevel::kInfo, "instance-back",
             {{"instance", id},
              {"after_ms",
               (asked_at - instance_operations_.at(id).accepted_at).count()}});
    instance_operations_.erase(id);
  }
}

void PartitionOwner::KeepWorker(const std::string& id) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) return;
  LogEvent(LogLevel::kInfo, "worker-kept", {{"worker", id}});
  worker->instance_taken = false;
  worker->reserved = false;
  // It gets tasks again once the store has recorded that tasks may run there.
  worker->recorded = false;
  worker_recorder_->Save();
}

void PartitionOwner::DropWorkersWithoutInstance(TimePoint asked_at) {
  if (unread_workers_.empty()) return;
  std::set<std::string> workers_on_instances;
  for (const auto& [id, instance] : instances_) {
    workers_on_instances.insert(instance.worker);
  }
  const std::set<std::string> unread = unread_workers_;
  for (const std::string& id : unread) {
    if (workers_on_instances.contains(id)) {
      worker_missing_since_.erase(id);
      continue;
    }
    const TimePoint since =
        worker_missing_since_.try_emplace(id, asked_at).first->second;
    if (asked_at - since >= kListLag) {
      OnWorkerLost(id, WorkerLoss::kNoInstance);
    }
  }
}

WorkerState* PartitionOwner::WorkerOn(const Instance& instance) {
  return instance.worker.empty() ? nullptr : FindWorker(instance.worker);
}

bool PartitionOwner::IsSafeToTake(const Instance& instance) {
  WorkerState* worker = WorkerOn(instance);
  if (worker == nullptr) {
    const auto pool = catalog_->pools.find(instance.pool);
    return pool != catalog_->pools.end() && pool->second.spare;
  }
  // The last report of a silent worker is stale, and a new incarnation may have
  // begun. A start that may be executed late does not matter: the instance gets
  // a worker with another id, which refuses it.
  return worker->link->Synced() && !worker->link->Silent() &&
         worker->unowned_runs_reported == 0 && IsIdle(*worker);
}

void PartitionOwner::BeginOperation(const Instance& instance, std::int64_t wave,
                                    const std::string& to_pool) {
  WorkerState* worker = WorkerOn(instance);
  if (worker != nullptr) worker->reserved = true;
  instance_operations_[instance.id] = {.wave = wave,
                                       .to_pool = to_pool,
                                       .worker = instance.worker,
                                       .begun_at = deps_.clock->Now()};
  LogEvent(LogLevel::kInfo, "instance-reserved",
           {{"instance", instance.id},
            {"pool", instance.pool},
            {"to", to_pool},
            {"wave", wave},
            {"tasks", worker == nullptr ? 0 : worker->tasks.size()}});
}

void PartitionOwner::AdvanceOperation(const std::string& id,
                                      InstanceOperation* op) {
  if (op->accepted || op->in_flight) return;
  const TimePoint now = deps_.clock->Now();
  const auto it = instances_.find(id);
  if (it == instances_.end()) {
    CancelOperationLater(id);
    return;
  }
  WorkerState* worker = WorkerOn(it->second);
  const bool already_sent = op->sent_at != TimePoint{};
  if (it->second.worker != op->worker) {
    // Another worker has started on the instance and may have tasks: cancel, so
    // that the instance is planned for again.
    CancelOperationLater(id);
    return;
  }
  if (!already_sent && op->wave == 0 &&
      evacuation_.Blocks(it->second.data_centre)) {
    CancelOperationLater(id);
    return;
  }
  if (!already_sent && !IsSafeToTake(it->second)) {
    if (worker == nullptr ||
        (op->wave == 0 && now - op->begun_at > kMoveDrainTimeout)) {
      CancelOperationLater(id);
      return;
    }
    EvictLasting(worker, op->wave > 0 && WaveTimeIsShort(op->wave)
                             ? Eviction::kWithoutRoom
                             : Eviction::kIfRoomElsewhere);
    return;
  }
  if (already_sent && now - op->sent_at < kOrderRetryDelay) return;
  if (OrderedByEarlierOwner(id)) return;
  if (!op->recorded) {
    ordered_at_[id] = now;  // SaveOrders() records it first
    return;
  }
  ordered_at_[id] = now;
  op->in_flight = true;
  op->sent_at = now;
  const auto done = [self = shared_from_this(), id](InstanceResult result) {
    if (!self->closed_) self->OnInstanceResult(id, result);
  };
  if (op->wave > 0) {
    deps_.instances->Maintain(id, op->wave, options_.term, done);
  } else {
    deps_.instances->Move(id, op->to_pool, options_.term, done);
  }
}

bool PartitionOwner::OrderedByEarlierOwner(const std::string& instance) const {
  return deps_.clock->Now() - began_at_ <= options_.holder_lease &&
         earlier_orders_.contains(instance);
}

void PartitionOwner::LoadOrders() {
  deps_.store->Get(options_.keys.orders, [self = shared_from_this()](
                                             const StoreAnswer& answer) {
    if (self->closed_) return;
    if (answer.status != TxnStatus::kOk &&
        answer.status != TxnStatus::kNotFound) {
      self->deps_.timers->After(kOrderRetryDelay, [self] {
        if (!self->closed_) self->LoadOrders();
      });
      return;
    }
    if (!answer.items.empty()) {
      self->orders_revision_ = answer.items.front().revision;
      const Json document =
          Json::parse(answer.items.front().value, nullptr, false);
      const std::int64_t oldest =
          WallMicros() / 1000 -
          (self->options_.holder_lease + kClockTolerance).count();
      if (document.is_object()) {
        for (const auto& [id, at_unix_ms] : document.items()) {
          if (at_unix_ms.is_number() && at_unix_ms > oldest) {
            self->earlier_orders_.insert(id);
          }
        }
      }
    }
    self->orders_loaded_ = true;
  });
}

void PartitionOwner::SaveOrders() {
  if (saving_orders_) return;
  const TimePoint now = deps_.clock->Now();
  std::vector<std::string> unrecorded;
  for (const auto& [id, op] : instance_operations_) {
    if (!op.recorded && ordered_at_.contains(id)) unrecorded.push_back(id);
  }
  if (unrecorded.empty()) return;
  std::erase_if(ordered_at_, [&](const auto& entry) {
    return now - entry.second > options_.holder_lease + kOrderRetryDelay;
  });
  Json document = Json::object();
  for (const auto& [id, at] : ordered_at_) {
    document[id] = WallMicros() / 1000 - (now - at).count();
  }
  Txn txn;
  txn.conditions.push_back({options_.keys.owner, options_.term_revision});
  txn.conditions.push_back({options_.keys.orders, orders_revision_});
  txn.writes.push_back({.key = options_.keys.orders, .value = document.dump()});
  saving_orders_ = true;
  deps_.store->Commit(
      txn, [self = shared_from_this(), unrecorded](const StoreAnswer& answer) {
        if (self->closed_) return;
        self->saving_orders_ = false;
        if (answer.status == TxnStatus::kConflict) {
          self->UpdateRevisionOnConflict(answer, self->options_.keys.orders,
                                         &self->orders_revision_);
        }
        // The next tick retries.
        if (answer.status != TxnStatus::kOk) return;
        self->orders_revision_ = answer.revision;
        const TimePoint until = self->listener_.confirmed_until();
        if (self->deps_.clock->Now() >= until) return;
        for (const std::string& id : unrecorded) {
          const auto it = self->instance_operations_.find(id);
          if (it == self->instance_operations_.end()) continue;
          it->second.recorded = true;
          self->AdvanceOperation(id, &it->second);
        }
      });
}

void PartitionOwner::CancelOperationLater(const std::string& id) {
  // The caller may be iterating over the map of operations.
  deps_.timers->After(Millis(0), [self = shared_from_this(), id] {
    const auto it = self->instance_operations_.find(id);
    if (it == self->instance_operations_.end() || it->second.in_flight) return;
    WorkerState* worker = self->FindWorker(it->second.worker);
    if (worker != nullptr) worker->reserved = false;
    self->instance_operations_.erase(it);
    self->ScheduleDispatch();
  });
}

void PartitionOwner::OnInstanceResult(const std::string& id,
                                      InstanceResult result) {
  const auto it = instance_operations_.find(id);
  if (it == instance_operations_.end()) return;
  InstanceOperation& op = it->second;
  op.in_flight = false;
  LogEvent(
      result == InstanceResult::kDone ? LogLevel::kInfo : LogLevel::kWarning,
      op.wave > 0 ? "instance-maintain" : "instance-move",
      {{"instance", id},
       {"wave", op.wave},
       {"to", op.to_pool},
       {"fence", options_.term},
       {"result", NameOf(kInstanceResultNames, result)}});
  switch (result) {
    case InstanceResult::kDone: {
      op.accepted = true;
      Count(op.wave > 0 ? "instances_maintained_total"
                        : "instances_moved_total");
      op.accepted_at = deps_.clock->Now();
      if (op.wave > 0) {
        waves_.at(op.wave).done.insert(id);
        SaveWave(op.wave);
      }
      WorkerState* worker = FindWorker(op.worker);
      if (worker != nullptr) {
        worker->instance_taken = true;
        OnWorkerLost(op.worker, WorkerLoss::kInstanceTaken);
        worker_recorder_->Save();
      }
      return;
    }
    case InstanceResult::kRefused:
    case InstanceResult::kUnknown:
      // Will be retried. The order may have been carried out.
      return;
    case InstanceResult::kFenced:
      OnDeposed({.by = DeposedBy::kInstanceFence,
                 .source = id,
                 .ours = options_.term});
      return;
    case InstanceResult::kBusy:
    case InstanceResult::kNotInWave:
    case InstanceResult::kMalformed:
      CancelOperationLater(id);
      return;
  }
}

}  // namespace basilusher
