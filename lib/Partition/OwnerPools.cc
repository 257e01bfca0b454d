// Demand of the pools, and eviction of lasting tasks to make room.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Longest time between a worker's first appearance on an instance and its
/// directory entry.
constexpr Millis kDirectoryEntryDelay{3000};
constexpr Millis kPoolLogPeriod{1000};

}  // namespace

void PartitionOwner::EvictLasting(WorkerState* worker, Eviction eviction) {
  if (StartsHeld()) return;
  const std::set<TaskId> tasks = worker->tasks;
  for (const TaskId& id : tasks) {
    JobRecord* job = jobs_.Find(id.job);
    TaskRecord* task = jobs_.FindTask(id);
    if (task == nullptr || task->state != TaskState::kRunning) continue;
    const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(id.step)];
    if (!spec.lasting) continue;
    const StepRecord& step = job->occurrences.at(id.occurrence)
                                 .steps[static_cast<std::size_t>(id.step)];
    const int unavailable = static_cast<int>(std::count_if(
        step.tasks.begin(), step.tasks.end(),
        [this](const TaskRecord& sibling) { return !IsAtWork(sibling); }));
    if (eviction != Eviction::kWorkerLeaves &&
        unavailable >= std::max(1, spec.max_unavailable.value_or(1))) {
      continue;
    }
    if (eviction != Eviction::kWithoutRoom &&
        !HasRoomElsewhere(*job, id, *worker)) {
      continue;
    }
    LogEvent(LogLevel::kInfo, "task-evicted",
             {{"task", FormatTaskId(id)},
              {"worker", worker->capacity.id},
              {"away", unavailable}});
    StopTask(job, id, task);
  }
}

bool PartitionOwner::IsAtWork(const TaskRecord& task) {
  if (task.state != TaskState::kRunning || task.percent < kFullSpeedPercent) {
    return false;
  }
  const WorkerState* worker = FindWorker(task.worker);
  return worker != nullptr && worker->listed && !worker->link->Silent();
}

bool PartitionOwner::HasRoomElsewhere(const JobRecord& job, const TaskId& id,
                                      const WorkerState& from) {
  // Nothing starts while the queue is not in the configuration.
  if (QueueOf(job) == nullptr) return false;
  const StepSpec& spec = job.spec.steps[static_cast<std::size_t>(id.step)];
  const StepRecord& step = job.occurrences.at(id.occurrence)
                               .steps[static_cast<std::size_t>(id.step)];
  PlacementRequest request;
  request.step = &spec;
  request.count_siblings = [&step](const WorkerCapacity& candidate) {
    return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(),
                                          [&candidate](const TaskRecord& task) {
                                            return task.worker == candidate.id;
                                          }));
  };
  const bool needs_advice = NeedsAdvice(job);
  if (needs_advice) {
    RequireTickets(
        {.job = id.job, .occurrence = id.occurrence, .step = id.step},
        &request);
  }
  std::vector<WorkerCapacity*> others;
  for (const auto& [other_id, worker] : workers_) {
    if (worker.get() == &from || worker->capacity.pool != from.capacity.pool ||
        !Usable(*worker)) {
      continue;
    }
    if (CanPlace(request, worker->capacity)) return true;
    others.push_back(&worker->capacity);
  }
  if (needs_advice) {
    AskAdvice(job, id.occurrence, id.step, others, AdviceNeed::kNow);
  }
  return false;
}

void PartitionOwner::EvictFromDraining() {
  for (const auto& [id, worker] : workers_) {
    if (worker->listed && worker->entry.draining && !worker->tasks.empty() &&
        worker->link->Ready()) {
      EvictLasting(worker.get(), Eviction::kWorkerLeaves);
    }
  }
}

bool PartitionOwner::IsLate(const JobRecord& job,
                            const OccurrenceRecord& occurrence,
                            const QueueConfig& queue) {
  const TimePoint now = deps_.clock->Now();
  const Urgency urgency = durations_.Learned()
                              ? RankJob(job, occurrence, queue, durations_, now)
                              : RankJob(job, occurrence, queue,
                                        durations_.Ratio(job.spec.queue), now);
  return urgency.lateness >= Lateness::kLate;
}

std::map<std::string, PoolDemand> PartitionOwner::CollectDemand() {
  std::map<std::string, PoolDemand> demands;
  for (const auto& [id, job] : jobs_.All()) {
    const QueueConfig* queue = QueueOf(*job);
    if (queue == nullptr || job->occurrences.empty()) continue;
    PoolDemand& demand = demands[queue->pool];
    for (const auto& [number, occurrence] : job->occurrences) {
      AddDemand(*job, number, occurrence, *queue, &demand);
    }
  }
  const TimePoint now = deps_.clock->Now();
  for (auto& [pool, arrivals] : arrivals_) {
    demands[pool].arriving_cores = arrivals.ArrivingCores(now);
  }
  return demands;
}

void PartitionOwner::AddDemand(const JobRecord& job, int number,
                               const OccurrenceRecord& occurrence,
                               const QueueConfig& queue, PoolDemand* demand) {
  const bool is_final = IsFinal(job.state);
  // All steps of an occurrence are late together.
  std::optional<bool> late;
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    const StepRecord& step = occurrence.steps[s];
    const StepSpec& spec = job.spec.steps[s];
    const Resources charge = Charge(spec);
    demand->running += charge * step.active;
    if (is_final) continue;
    const int waiting =
        static_cast<int>(step.tasks.size()) - step.done - step.active;
    if (spec.lasting) {
      demand->lasting += charge * (waiting + step.active);
    }
    if (spec.max_per_worker > 0 && waiting + step.active > 0) {
      const int spread = (waiting + step.active + spec.max_per_worker - 1) /
                         spec.max_per_worker;
      demand->distinct_workers = std::max(demand->distinct_workers, spread);
    }
    if (waiting <= 0 || !StepReady(job, occurrence, static_cast<int>(s))) {
      continue;
    }
    demand->waiting += charge * waiting;
    if (!late) late = IsLate(job, occurrence, queue);
    if (*late) demand->waiting_late += charge * waiting;
    // Workers that the advisor refused offer no room for the step.
    const int refused = advice_.RefusedCount({.job = job.spec.id,
                                              .occurrence = number,
                                              .step = static_cast<int>(s)});
    if (refused > 0) {
      demand->distinct_workers =
          std::max(demand->distinct_workers, refused + 1);
    }
  }
}

void PartitionOwner::LogPool(const PoolState& pool,
                             const PoolDemand& demand) const {
  int free = 0;
  int arriving = 0;
  for (const PoolInstance& instance : pool.instances) {
    free += instance.free ? 1 : 0;
    arriving += instance.arriving ? 1 : 0;
  }
  LogEvent(LogLevel::kNotice, "pool",
           {{"pool", pool.name},
            {"instances", pool.instances.size()},
            {"free", free},
            {"arriving", arriving},
            {"needed", pool.needed},
            {"needed_in_time", pool.needed_in_time},
            {"running_cpu", demand.running.cpu_millis},
            {"waiting_cpu", demand.waiting.cpu_millis},
            {"lasting_cpu", demand.lasting.cpu_millis},
            {"arriving_cores", static_cast<int>(demand.arriving_cores)}});
}

void PartitionOwner::PlanPools() {
  const TimePoint now = deps_.clock->Now();
  std::map<std::string, PoolState> states;
  std::map<std::string, Resources> instance_capacities;
  for (const auto& [name, pool] : catalog_->pools) {
    states[name] = {.name = name, .spare = pool.spare};
  }
  for (const auto& [id, instance] : instances_) {
    const auto op = instance_operations_.find(id);
    const bool moving =
        op != instance_operations_.end() && op->second.wave == 0;
    const std::string& pool = moving ? op->second.to_pool : instance.pool;
    const auto state = states.find(pool);
    if (state == states.end() || instance.state == InstanceState::kDown) {
      continue;
    }
    PoolInstance view{.id = id, .arriving = moving};
    WorkerState* worker = WorkerOn(instance);
    instance_capacities[pool] = instance.room;
    if (op == instance_operations_.end() &&
        instance.state == InstanceState::kUp && IsSafeToTake(instance) &&
        !OrderedByEarlierOwner(id)) {
      view.free = true;
      view.idle = worker == nullptr ? Millis(0) : now - worker->idle_since;
    }
    // An instance that is in maintenance, is draining or does not answer takes
    // no new tasks now. One whose worker is not known yet is expected to take
    // some soon.
    const bool unusable =
        worker == nullptr ? !instance.worker.empty() &&
                                now - worker_first_seen_at_[instance.worker] >
                                    kDirectoryEntryDelay
                          : worker->entry.draining || !worker->listed ||
                                worker->link->Silent() ||
                                worker->outlier_detector.OutlierScore(now) > 0;
    view.reclaimable = op == instance_operations_.end() && worker != nullptr &&
                       Usable(*worker) && worker->capacity.lasting == 0 &&
                       !OrderedByEarlierOwner(id);
    view.tasks = worker == nullptr ? 0 : static_cast<int>(worker->tasks.size());
    const bool unavailable =
        (op != instance_operations_.end() && op->second.wave > 0) ||
        instance.state == InstanceState::kMaintenance || unusable ||
        evacuation_.Blocks(instance.data_centre);
    if (!unavailable) state->second.instances.push_back(view);
  }
  std::map<std::string, PoolDemand> demands = CollectDemand();
  std::vector<PoolState> pools;
  for (auto& [name, state] : states) {
    if (!state.spare) {
      const Resources instance_capacity = instance_capacities.contains(name)
                                              ? instance_capacities[name]
                                              : Resources{.cpu_millis = 1};
      const PoolDemand& demand = demands[name];
      state.needed = InstancesNeeded(demand, instance_capacity);
      PoolDemand in_time = demand;
      in_time.waiting -= demand.waiting_late;
      state.needed_in_time = InstancesNeeded(in_time, instance_capacity);
      if (now - pools_logged_at_ >= kPoolLogPeriod) {
        LogPool(state, demand);
      }
      const int surplus =
          static_cast<int>(state.instances.size()) - state.needed;
      pool_surplus_[name] = surplus;
      TimePoint& since = surplus_since_[name];
      if (surplus <= 0) since = TimePoint{};
      if (surplus > 0 && since == TimePoint{}) since = now;
      state.surplus_duration = surplus > 0 ? now - since : Millis(0);
    }
    pools.push_back(std::move(state));
  }
  if (now - pools_logged_at_ >= kPoolLogPeriod) pools_logged_at_ = now;
  for (const InstanceMove& move : PlanMoves(pools)) {
    BeginOperation(instances_.at(move.instance), 0, move.to);
  }
}

}  // namespace basilusher
