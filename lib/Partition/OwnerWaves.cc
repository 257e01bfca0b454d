// Maintenance waves: which instances are due, done, or may be down.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Delay between attempts to read or write the record of a wave.
constexpr Millis kRecordRetryDelay{500};
/// An instance of a wave that the lists of this long have not shown no longer
/// exists.
constexpr Millis kInstanceGoneTimeout{6000};
/// In this last share of a wave's time lasting tasks are evicted although their
/// pool has no room at the moment; they are the first to get some.
constexpr double kShortTimeShare = 0.6;

}  // namespace

void PartitionOwner::SetWave(const MaintenanceWave& wave) {
  if (waves_.contains(wave.number)) return;
  WaveProgress& progress = waves_[wave.number];
  progress.wave = wave;
  progress.deadline = deps_.clock->Now() + Millis(wave.ramp_s * 1000);
  LogEvent(LogLevel::kInfo, "wave",
           {{"wave", wave.number},
            {"instances", wave.instances.size()},
            {"ramp_s", wave.ramp_s},
            {"max_at_once", wave.max_at_once}});
  LoadWave(wave.number);
}

void PartitionOwner::LoadWave(std::int64_t number) {
  deps_.store->Get(
      options_.keys.wave_prefix + std::to_string(number),
      [self = shared_from_this(), number](const StoreAnswer& answer) {
        if (self->closed_) return;
        if (answer.status != TxnStatus::kOk &&
            answer.status != TxnStatus::kNotFound) {
          self->deps_.timers->After(kRecordRetryDelay, [self, number] {
            if (!self->closed_) self->LoadWave(number);
          });
          return;
        }
        WaveProgress& progress = self->waves_[number];
        if (!answer.items.empty()) {
          progress.revision = answer.items.front().revision;
          const Json document =
              Json::parse(answer.items.front().value, nullptr, false);
          if (document.is_object()) {
            if (document.contains("done")) {
              for (const Json& id : document.at("done")) {
                if (id.is_string()) progress.done.insert(id);
              }
            }
            progress.finished = FieldOr(document, "finished", false);
            const std::int64_t begun =
                FieldOr(document, "begun_unix_ms", WallMicros() / 1000);
            const std::int64_t age =
                std::max<std::int64_t>(0, WallMicros() / 1000 - begun);
            progress.begun_unix_ms = begun;
            progress.deadline = self->deps_.clock->Now() +
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
      {.key = deps_.formats->WaveStatusKey(number),
       .value = deps_.formats->EncodeWaveStatus(progress.finished)});
  deps_.store->Commit(
      txn, [self = shared_from_this(), number, key](const StoreAnswer& answer) {
        if (self->closed_) return;
        const bool stored = answer.status == TxnStatus::kOk;
        std::int64_t& revision = self->waves_.at(number).revision;
        if (stored) revision = answer.revision;
        if (answer.status == TxnStatus::kConflict &&
            !self->UpdateRevisionOnConflict(answer, key, &revision)) {
          return;
        }
        self->deps_.timers->After(
            stored ? Millis(0) : kRecordRetryDelay, [self, number, stored] {
              if (self->closed_) return;
              WaveProgress& wave = self->waves_.at(number);
              wave.saving = false;
              if (!stored || wave.changed) self->SaveWave(number);
            });
      });
}

bool PartitionOwner::MayBeDown(const std::string& id) const {
  const auto op = instance_operations_.find(id);
  const auto instance = instances_.find(id);
  return (op != instance_operations_.end() && op->second.wave > 0) ||
         (instance != instances_.end() &&
          instance->second.state == InstanceState::kMaintenance) ||
         OrderedByEarlierOwner(id);
}

bool PartitionOwner::WaveTimeIsShort(std::int64_t number) const {
  const auto it = waves_.find(number);
  if (it == waves_.end()) return false;
  const Millis left = it->second.deadline - deps_.clock->Now();
  return static_cast<double>(left.count()) <
         kShortTimeShare * static_cast<double>(it->second.wave.ramp_s * 1000);
}

void PartitionOwner::PlanWaves() {
  for (auto& [number, progress] : waves_) {
    if (!progress.loaded || progress.finished) continue;
    const TimePoint now = deps_.clock->Now();
    WaveState state;
    state.max_at_once = progress.wave.max_at_once;
    state.time_left = progress.deadline - now;
    bool all_done = true;
    for (const std::string& id : progress.wave.instances) {
      if (progress.done.contains(id)) {
        if (MayBeDown(id)) ++state.in_progress;
        continue;
      }
      const auto it = instances_.find(id);
      if (it == instances_.end()) {
        const TimePoint since =
            instance_missing_since_.try_emplace(id, instances_asked_at_)
                .first->second;
        if (instances_asked_at_ - since < kInstanceGoneTimeout) {
          all_done = false;
        }
        continue;
      }
      all_done = false;
      const auto op = instance_operations_.find(id);
      if (op != instance_operations_.end()) {
        if (op->second.wave > 0) ++state.in_progress;
        continue;
      }
      if (OrderedByEarlierOwner(id)) {
        ++state.in_progress;
        continue;
      }
      if (it->second.state == InstanceState::kMaintenance) ++state.in_progress;
      if (it->second.state != InstanceState::kUp) continue;
      const WorkerState* worker = WorkerOn(it->second);
      const auto pool = catalog_->pools.find(it->second.pool);
      const bool empty = IsSafeToTake(it->second);
      // The pool counts without the instances of an evacuated data centre.
      const bool evacuated = evacuation_.Blocks(it->second.data_centre);
      state.due.push_back(
          {.id = id,
           .pool = it->second.pool,
           .spare = (pool != catalog_->pools.end() && pool->second.spare) ||
                    (evacuated && empty),
           .empty = empty,
           .pool_has_surplus = evacuated || pool_surplus_[it->second.pool] > 0,
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
      BeginOperation(instances_.at(id), number, {});
    }
  }
}

}  // namespace basilusher
