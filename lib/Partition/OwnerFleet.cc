// Instances: moves between pools and maintenance waves.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kFleetPeriod{100};
/// The list is read at this pace while nothing is under way, and while
/// something is.
constexpr Millis kQuietListPeriod{1000};
constexpr Millis kBusyListPeriod{250};
/// An order without a clear answer is repeated after this.
constexpr Millis kOrderAgain{500};
/// Emptying an instance for a move is given up after this; for maintenance it
/// goes on.
constexpr Millis kMoveGivesUp{3000};
/// An instance of a wave that the list has not shown for this long is gone.
constexpr Millis kGoneAfter{6000};
/// Two nodes' times of day may differ by this much.
constexpr Millis kClockTolerance{2500};
/// The list of instances may be this old.
constexpr Millis kListLag{1000};
/// A worker appears in the directory this long after its instance at the
/// latest.
constexpr Millis kLifeAppears{3000};
constexpr Millis kPoolLogPeriod{1000};
constexpr int kPercentAtWork = 100;

}  // namespace

void PartitionOwner::SetWave(const MaintenanceWave& wave) {
  if (waves_.contains(wave.number)) return;
  WaveProgress& progress = waves_[wave.number];
  progress.wave = wave;
  progress.deadline = ports_.clock->Now() + Millis(wave.ramp_s * 1000);
  LogEvent(LogLevel::kInfo, "wave",
           {{"wave", wave.number},
            {"instances", wave.instances.size()},
            {"ramp_s", wave.ramp_s},
            {"max_at_once", wave.max_at_once}});
  LoadWave(wave.number);
}

void PartitionOwner::LoadWave(std::int64_t number) {
  ports_.store->Get(
      options_.keys.wave_prefix + std::to_string(number),
      [self = shared_from_this(), number](const StoreAnswer& answer) {
        if (self->closed_) return;
        if (answer.status != TxnStatus::kOk &&
            answer.status != TxnStatus::kNotFound) {
          self->ports_.timers->After(kOrderAgain, [self, number] {
            if (!self->closed_) self->LoadWave(number);
          });
          return;
        }
        WaveProgress& progress = self->waves_[number];
        if (!answer.items.empty()) {
          progress.revision = answer.items.front().revision;
          const Json in =
              Json::parse(answer.items.front().value, nullptr, false);
          if (in.is_object()) {
            for (const Json& id : in.value("done", Json::array())) {
              progress.done.insert(id.get<std::string>());
            }
            progress.finished = in.value("finished", false);
            const std::int64_t begun =
                in.value("begun_unix_ms", WallMicros() / 1000);
            const std::int64_t age =
                std::max<std::int64_t>(0, WallMicros() / 1000 - begun);
            progress.begun_unix_ms = begun;
            progress.deadline = self->ports_.clock->Now() +
                                Millis(progress.wave.ramp_s * 1000 - age);
          }
        }
        if (progress.begun_unix_ms == 0) {
          progress.begun_unix_ms = WallMicros() / 1000;
        }
        progress.loaded = true;
        self->SaveWave(number);
      });
}

void PartitionOwner::SaveWave(std::int64_t number) {
  WaveProgress& progress = waves_.at(number);
  if (progress.saving) {
    progress.changed = true;
    return;
  }
  progress.saving = true;
  progress.changed = false;
  Txn txn;
  txn.conditions.push_back({options_.keys.owner, options_.term_revision});
  const std::string key = options_.keys.wave_prefix + std::to_string(number);
  txn.conditions.push_back({key, progress.revision});
  txn.writes.push_back(
      {.key = key,
       .value = Json({{"done", progress.done},
                      {"finished", progress.finished},
                      {"begun_unix_ms", progress.begun_unix_ms}})
                    .dump()});
  txn.writes.push_back(
      {.key = ports_.formats->WaveStatusKey(number),
       .value = ports_.formats->EncodeWaveStatus(progress.finished)});
  ports_.store->Commit(
      txn, [self = shared_from_this(), number, key](const StoreAnswer& answer) {
        if (self->closed_) return;
        const bool stored = answer.status == TxnStatus::kOk;
        std::int64_t& revision = self->waves_.at(number).revision;
        if (stored) revision = answer.revision;
        if (answer.status == TxnStatus::kConflict &&
            !self->TakeRevision(answer, key, &revision)) {
          return;
        }
        self->ports_.timers->After(
            stored ? Millis(0) : kOrderAgain, [self, number, stored] {
              if (self->closed_) return;
              WaveProgress& wave = self->waves_.at(number);
              wave.saving = false;
              if (!stored || wave.changed) self->SaveWave(number);
            });
      });
}

void PartitionOwner::FleetTick() {
  if (closed_) return;
  const TimePoint now = ports_.clock->Now();
  // An owner that may have been replaced orders nothing.
  const bool may_order = loaded_ && catalog_ != nullptr && orders_loaded_ &&
                         now < listener_.confirmed_until();
  const Millis period =
      instance_ops_.empty() ? kQuietListPeriod : kBusyListPeriod;
  if (loaded_ && !listing_ && now - listed_at_ >= period) ListInstances();
  if (may_order && instances_known_) {
    PlanWaves();
    PlanPools();
    for (auto& [id, op] : instance_ops_) ProgressOp(id, &op);
    SaveOrders();
  }
  if (loaded_) EvictFromDraining();
  ports_.timers->After(kFleetPeriod,
                       [self = shared_from_this()] { self->FleetTick(); });
}

void PartitionOwner::ListInstances() {
  listing_ = true;
  const TimePoint asked_at = ports_.clock->Now();
  listed_at_ = asked_at;
  ports_.instances->List(
      [self = shared_from_this(), asked_at](const InstanceList& list) {
        self->listing_ = false;
        if (self->closed_ || !list.complete) return;
        self->OnInstances(list, asked_at);
      });
}

void PartitionOwner::OnInstances(const InstanceList& list, TimePoint asked_at) {
  std::map<std::string, Instance> fresh;
  for (const Instance& instance : list.instances) {
    fresh[instance.id] = instance;
    instance_seen_at_[instance.id] = asked_at;
    life_seen_at_.try_emplace(instance.worker, asked_at);
  }
  instances_ = std::move(fresh);
  instances_known_ = true;
  std::erase_if(life_seen_at_, [this](const auto& entry) {
    return std::none_of(instances_.begin(), instances_.end(),
                        [&entry](const auto& instance) {
                          return instance.second.worker == entry.first;
                        });
  });
  if (asked_at - began_at_ > kListLag) ForgetEndedLives();
  std::vector<std::string> over;
  for (auto& [id, op] : instance_ops_) {
    if (!op.accepted || op.accepted_at >= asked_at) continue;
    const auto it = instances_.find(id);
    if (it == instances_.end()) {
      over.push_back(id);
      continue;
    }
    // An instance that is switched off has no worker before and after; the
    // list may lag, so its state counts only well after the order.
    const bool new_life =
        it->second.worker != op.worker ||
        (op.worker.empty() && asked_at - op.accepted_at > kListLag);
    if (it->second.state == InstanceState::kUp && new_life) over.push_back(id);
  }
  for (const std::string& id : over) {
    LogEvent(
        LogLevel::kInfo, "instance-back",
        {{"instance", id},
         {"after_ms", (asked_at - instance_ops_.at(id).accepted_at).count()}});
    instance_ops_.erase(id);
  }
}

void PartitionOwner::ForgetEndedLives() {
  if (unread_workers_.empty()) return;
  std::set<std::string> living;
  for (const auto& [id, instance] : instances_) living.insert(instance.worker);
  const std::set<std::string> unread = unread_workers_;
  for (const std::string& id : unread) {
    if (!living.contains(id)) OnWorkerLost(id, "no instance carries it");
  }
}

PartitionOwner::WorkerState* PartitionOwner::WorkerOn(
    const Instance& instance) {
  return instance.worker.empty() ? nullptr : FindWorker(instance.worker);
}

bool PartitionOwner::IsEmpty(const Instance& instance) {
  WorkerState* worker = WorkerOn(instance);
  if (worker == nullptr) {
    const auto pool = catalog_->pools.find(instance.pool);
    return pool != catalog_->pools.end() && pool->second.spare;
  }
  return worker->tasks.empty() && worker->strangers_listed == 0 &&
         worker->link->Synced();
}

bool PartitionOwner::MayBeDown(const std::string& id) const {
  const auto op = instance_ops_.find(id);
  const auto instance = instances_.find(id);
  return (op != instance_ops_.end() && op->second.wave > 0) ||
         (instance != instances_.end() &&
          instance->second.state == InstanceState::kMaintenance) ||
         OrderedByEarlierOwner(id);
}

void PartitionOwner::PlanWaves() {
  for (auto& [number, progress] : waves_) {
    if (!progress.loaded || progress.finished) continue;
    const TimePoint now = ports_.clock->Now();
    WaveState state;
    state.max_at_once = progress.wave.max_at_once;
    state.time_left = progress.deadline - now;
    bool all_done = true;
    for (const std::string& id : progress.wave.instances) {
      if (progress.done.contains(id)) {
        if (MayBeDown(id)) ++state.under_way;
        continue;
      }
      const auto it = instances_.find(id);
      if (it == instances_.end()) {
        const auto seen = instance_seen_at_.find(id);
        const TimePoint last =
            seen == instance_seen_at_.end() ? began_at_ : seen->second;
        if (now - last < kGoneAfter) all_done = false;
        continue;
      }
      all_done = false;
      const auto op = instance_ops_.find(id);
      if (op != instance_ops_.end()) {
        if (op->second.wave > 0) ++state.under_way;
        continue;
      }
      if (OrderedByEarlierOwner(id)) {
        ++state.under_way;
        continue;
      }
      if (it->second.state == InstanceState::kMaintenance) ++state.under_way;
      if (it->second.state != InstanceState::kUp) continue;
      const WorkerState* worker = WorkerOn(it->second);
      const auto pool = catalog_->pools.find(it->second.pool);
      state.due.push_back(
          {.id = id,
           .pool = it->second.pool,
           .spare = pool != catalog_->pools.end() && pool->second.spare,
           .empty = IsEmpty(it->second),
           .dispensable = pool_surplus_[it->second.pool] > 0,
           .tasks =
               worker == nullptr ? 0 : static_cast<int>(worker->tasks.size())});
    }
    if (all_done) {
      progress.finished = true;
      LogEvent(LogLevel::kInfo, "wave-finished", {{"wave", number}});
      SaveWave(number);
      continue;
    }
    for (const std::string& id : PlanWave(state)) {
      BeginOp(instances_.at(id), number, {});
    }
  }
}

void PartitionOwner::BeginOp(const Instance& instance, std::int64_t wave,
                             const std::string& to_pool) {
  WorkerState* worker = WorkerOn(instance);
  if (worker != nullptr) worker->reserved = true;
  instance_ops_[instance.id] = {.wave = wave,
                                .to_pool = to_pool,
                                .worker = instance.worker,
                                .begun_at = ports_.clock->Now()};
  LogEvent(LogLevel::kInfo, "instance-reserved",
           {{"instance", instance.id},
            {"pool", instance.pool},
            {"to", to_pool},
            {"wave", wave},
            {"tasks", worker == nullptr ? 0 : worker->tasks.size()}});
}

void PartitionOwner::ProgressOp(const std::string& id, InstanceOp* op) {
  if (op->accepted || op->in_flight) return;
  const TimePoint now = ports_.clock->Now();
  const auto it = instances_.find(id);
  if (it == instances_.end()) {
    CancelOpLater(id);
    return;
  }
  WorkerState* worker = WorkerOn(it->second);
  const bool unsure = op->sent_at != TimePoint{};
  if (!unsure && it->second.worker != op->worker) {
    // Another life has begun since; plan anew.
    CancelOpLater(id);
    return;
  }
  if (!unsure && !IsEmpty(it->second)) {
    if (worker == nullptr ||
        (op->wave == 0 && now - op->begun_at > kMoveGivesUp)) {
      CancelOpLater(id);
      return;
    }
    EvictLasting(worker, /*leaving_soon=*/false);
    return;
  }
  if (unsure && now - op->sent_at < kOrderAgain) return;
  if (!op->recorded) {
    ordered_at_[id] = now;  // SaveOrders makes it durable first
    return;
  }
  ordered_at_[id] = now;
  op->in_flight = true;
  op->sent_at = now;
  const auto done = [self = shared_from_this(), id](InstanceResult result) {
    if (!self->closed_) self->OnInstanceResult(id, result);
  };
  if (op->wave > 0) {
    ports_.instances->Maintain(id, op->wave, options_.term, done);
  } else {
    ports_.instances->Move(id, op->to_pool, options_.term, done);
  }
}

bool PartitionOwner::OrderedByEarlierOwner(const std::string& instance) const {
  return ports_.clock->Now() - began_at_ <= options_.holder_lease &&
         earlier_orders_.contains(instance);
}

void PartitionOwner::LoadOrders() {
  ports_.store->Get(options_.keys.orders, [self = shared_from_this()](
                                              const StoreAnswer& answer) {
    if (self->closed_) return;
    if (answer.status != TxnStatus::kOk &&
        answer.status != TxnStatus::kNotFound) {
      self->ports_.timers->After(kOrderAgain, [self] {
        if (!self->closed_) self->LoadOrders();
      });
      return;
    }
    if (!answer.items.empty()) {
      self->orders_revision_ = answer.items.front().revision;
      const Json in = Json::parse(answer.items.front().value, nullptr, false);
      const std::int64_t oldest =
          WallMicros() / 1000 -
          (self->options_.holder_lease + kClockTolerance).count();
      if (in.is_object()) {
        for (const auto& [id, at_unix_ms] : in.items()) {
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
  const TimePoint now = ports_.clock->Now();
  std::vector<std::string> fresh;
  for (const auto& [id, op] : instance_ops_) {
    if (!op.recorded && ordered_at_.contains(id)) fresh.push_back(id);
  }
  if (fresh.empty()) return;
  std::erase_if(ordered_at_, [&](const auto& entry) {
    return now - entry.second > options_.holder_lease + kOrderAgain;
  });
  Json recent = Json::object();
  for (const auto& [id, at] : ordered_at_) {
    recent[id] = WallMicros() / 1000 - (now - at).count();
  }
  Txn txn;
  txn.conditions.push_back({options_.keys.owner, options_.term_revision});
  txn.conditions.push_back({options_.keys.orders, orders_revision_});
  txn.writes.push_back({.key = options_.keys.orders, .value = recent.dump()});
  saving_orders_ = true;
  ports_.store->Commit(
      txn, [self = shared_from_this(), fresh](const StoreAnswer& answer) {
        if (self->closed_) return;
        self->saving_orders_ = false;
        if (answer.status == TxnStatus::kConflict) {
          self->TakeRevision(answer, self->options_.keys.orders,
                             &self->orders_revision_);
        }
        // The next tick tries again.
        if (answer.status != TxnStatus::kOk) return;
        self->orders_revision_ = answer.revision;
        const TimePoint until = self->listener_.confirmed_until();
        if (self->ports_.clock->Now() >= until) return;
        for (const std::string& id : fresh) {
          const auto it = self->instance_ops_.find(id);
          if (it == self->instance_ops_.end()) continue;
          it->second.recorded = true;
          self->ProgressOp(id, &it->second);
        }
      });
}

void PartitionOwner::CancelOpLater(const std::string& id) {
  // The map of operations is being walked.
  ports_.timers->After(Millis(0), [self = shared_from_this(), id] {
    const auto it = self->instance_ops_.find(id);
    if (it == self->instance_ops_.end() || it->second.in_flight) return;
    WorkerState* worker = self->FindWorker(it->second.worker);
    if (worker != nullptr) worker->reserved = false;
    self->instance_ops_.erase(it);
    self->ScheduleDispatch();
  });
}

void PartitionOwner::OnInstanceResult(const std::string& id,
                                      InstanceResult result) {
  const auto it = instance_ops_.find(id);
  if (it == instance_ops_.end()) return;
  InstanceOp& op = it->second;
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
      op.accepted_at = ports_.clock->Now();
      if (op.wave > 0) {
        waves_.at(op.wave).done.insert(id);
        SaveWave(op.wave);
      }
      WorkerState* worker = FindWorker(op.worker);
      if (worker != nullptr) {
        worker->ended = true;
        OnWorkerLost(op.worker, "its instance was taken");
        SaveWorkers();
      }
      return;
    }
    case InstanceResult::kRefused:
    case InstanceResult::kUnknown:
      // Tried again; the order may have been carried out.
      return;
    case InstanceResult::kFenced:
      listener_.on_deposed();
      return;
    case InstanceResult::kBusy:
    case InstanceResult::kNotInWave:
    case InstanceResult::kMalformed:
      CancelOpLater(id);
      return;
  }
}

void PartitionOwner::EvictLasting(WorkerState* worker, bool leaving_soon) {
  const std::set<TaskId> tasks = worker->tasks;
  for (const TaskId& id : tasks) {
    JobRecord* job = jobs_.Find(id.job);
    TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr || task->state != TaskState::kRunning) continue;
    const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(id.step)];
    if (!spec.lasting) continue;
    const StepRecord& step = job->occurrences.at(id.occurrence)
                                 .steps[static_cast<std::size_t>(id.step)];
    const int away = static_cast<int>(std::count_if(
        step.tasks.begin(), step.tasks.end(),
        [this](const TaskRecord& sibling) { return !IsAtWork(sibling); }));
    if (!leaving_soon &&
        away >= std::max(1, spec.max_unavailable.value_or(1))) {
      continue;
    }
    if (!HasRoomElsewhere(*job, id, *worker)) continue;
    LogEvent(LogLevel::kInfo, "task-evicted",
             {{"task", FormatTaskId(id)},
              {"worker", worker->slot.id},
              {"away", away}});
    StopTask(job, id, task);
  }
}

bool PartitionOwner::IsAtWork(const TaskRecord& task) {
  if (task.state != TaskState::kRunning || task.percent < kPercentAtWork) {
    return false;
  }
  const WorkerState* worker = FindWorker(task.worker);
  return worker != nullptr && worker->listed && !worker->link->Silent();
}

bool PartitionOwner::HasRoomElsewhere(const JobRecord& job, const TaskId& id,
                                      const WorkerState& from) {
  const StepSpec& spec = job.spec.steps[static_cast<std::size_t>(id.step)];
  const StepRecord& step = job.occurrences.at(id.occurrence)
                               .steps[static_cast<std::size_t>(id.step)];
  PlacementRequest request;
  request.step = &spec;
  request.siblings = [&step](const WorkerSlot& slot) {
    return static_cast<int>(std::count_if(
        step.tasks.begin(), step.tasks.end(),
        [&slot](const TaskRecord& task) { return task.worker == slot.id; }));
  };
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const WorkerState& worker = *entry.second;
    return &worker != &from && worker.slot.pool == from.slot.pool &&
           Usable(worker) && CanPlace(request, worker.slot);
  });
}

void PartitionOwner::EvictFromDraining() {
  for (const auto& [id, worker] : workers_) {
    if (worker->listed && worker->entry.draining && !worker->tasks.empty() &&
        worker->link->Ready()) {
      EvictLasting(worker.get(), /*leaving_soon=*/true);
    }
  }
}

PoolDemand PartitionOwner::DemandOf(const std::string& pool) {
  PoolDemand demand;
  for (const auto& [id, job] : jobs_.All()) {
    const QueueConfig* queue = QueueOf(*job);
    if (queue == nullptr || queue->pool != pool) continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const StepRecord& step = occurrence.steps[s];
        const StepSpec& spec = job->spec.steps[s];
        const Resources charge = Charge(spec);
        demand.running += charge * step.active;
        if (IsFinal(job->state)) continue;
        const int waiting =
            static_cast<int>(step.tasks.size()) - step.done - step.active;
        if (spec.lasting) {
          demand.lasting += charge * (waiting + step.active);
        }
        if (spec.max_per_worker > 0 && waiting + step.active > 0) {
          const int spread = (waiting + step.active + spec.max_per_worker - 1) /
                             spec.max_per_worker;
          demand.distinct_workers = std::max(demand.distinct_workers, spread);
        }
        if (waiting > 0 && StepReady(*job, occurrence, static_cast<int>(s))) {
          demand.waiting += charge * waiting;
        }
      }
    }
  }
  demand.arriving_cores = arrivals_[pool].BusyCores(ports_.clock->Now());
  return demand;
}

void PartitionOwner::LogPool(const PoolState& pool,
                             const PoolDemand& demand) const {
  int free = 0;
  int arriving = 0;
  for (const PoolInstance& instance : pool.instances) {
    free += instance.free ? 1 : 0;
    arriving += instance.arriving ? 1 : 0;
  }
  LogEvent(LogLevel::kInfo, "pool",
           {{"pool", pool.name},
            {"instances", pool.instances.size()},
            {"free", free},
            {"arriving", arriving},
            {"needed", pool.needed},
            {"running_cpu", demand.running.cpu_millis},
            {"waiting_cpu", demand.waiting.cpu_millis},
            {"lasting_cpu", demand.lasting.cpu_millis},
            {"arriving_cores", static_cast<int>(demand.arriving_cores)}});
}

void PartitionOwner::PlanPools() {
  const TimePoint now = ports_.clock->Now();
  std::map<std::string, PoolState> states;
  std::map<std::string, Resources> rooms;
  for (const auto& [name, pool] : catalog_->pools) {
    states[name] = {.name = name, .spare = pool.spare};
  }
  for (const auto& [id, instance] : instances_) {
    const auto op = instance_ops_.find(id);
    const bool moving = op != instance_ops_.end() && op->second.wave == 0;
    const std::string& pool = moving ? op->second.to_pool : instance.pool;
    const auto state = states.find(pool);
    if (state == states.end() || instance.state == InstanceState::kDown) {
      continue;
    }
    PoolInstance view{.id = id, .arriving = moving};
    WorkerState* worker = WorkerOn(instance);
    rooms[pool] = instance.room;
    if (op == instance_ops_.end() && instance.state == InstanceState::kUp &&
        IsEmpty(instance) && !OrderedByEarlierOwner(id)) {
      view.free = true;
      view.idle = worker == nullptr ? Millis(0) : now - worker->idle_since;
    }
    // An instance that is maintained, drains or does not answer carries nothing
    // new now; one whose worker is not known yet is expected to.
    const bool silent =
        worker == nullptr
            ? !instance.worker.empty() &&
                  now - life_seen_at_[instance.worker] > kLifeAppears
            : worker->entry.draining || !worker->listed ||
                  worker->link->Silent() || worker->track.Strikes(now) > 0;
    const bool away = (op != instance_ops_.end() && op->second.wave > 0) ||
                      instance.state == InstanceState::kMaintenance || silent;
    if (!away) state->second.instances.push_back(view);
  }
  std::vector<PoolState> pools;
  for (auto& [name, state] : states) {
    if (!state.spare) {
      const Resources room =
          rooms.contains(name) ? rooms[name] : Resources{.cpu_millis = 1};
      const PoolDemand demand = DemandOf(name);
      state.needed = InstancesNeeded(demand, room);
      if (now - pools_logged_at_ >= kPoolLogPeriod) {
        LogPool(state, demand);
      }
      const int surplus =
          static_cast<int>(state.instances.size()) - state.needed;
      pool_surplus_[name] = surplus;
      TimePoint& since = surplus_since_[name];
      if (surplus <= 0) since = TimePoint{};
      if (surplus > 0 && since == TimePoint{}) since = now;
      state.surplus_for = surplus > 0 ? now - since : Millis(0);
    }
    pools.push_back(std::move(state));
  }
  if (now - pools_logged_at_ >= kPoolLogPeriod) pools_logged_at_ = now;
  for (const InstanceMove& move : PlanMoves(pools)) {
    BeginOp(instances_.at(move.instance), 0, move.to);
  }
}

}  // namespace basilusher
