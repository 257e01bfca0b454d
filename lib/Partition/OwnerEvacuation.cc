// Runs of evacuated data centres and where they move.
#include <algorithm>
#include <set>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

bool OwnerEvacuation::Blocks(const std::string& data_centre) const {
  const EvacuationView* view = owner_->deps_.evacuations;
  return view != nullptr && view->Evacuated(data_centre);
}

bool OwnerEvacuation::ViewIsStale() const {
  const EvacuationView* view = owner_->deps_.evacuations;
  return view != nullptr && view->IsStale(owner_->StoreSilence());
}

void OwnerEvacuation::MoveRuns() {
  const EvacuationView* view = owner_->deps_.evacuations;
  if (view == nullptr) return;
  const std::set<std::string> evacuated = view->All();
  if (evacuated.empty()) return;
  LogUnknown(evacuated);
  if (owner_->StartsHeld()) return;
  std::map<std::string, std::vector<EvacuationRun>> runs;
  for (const auto& [id, worker] : owner_->workers_) {
    if (!worker->dropped && evacuated.contains(worker->entry.data_centre) &&
        !worker->tasks.empty()) {
      CollectRuns(*worker, &runs[worker->capacity.pool]);
    }
  }
  for (const auto& [pool, pool_runs] : runs) {
    if (!pool_runs.empty()) MoveRunsOfPool(pool, pool_runs);
  }
}

void OwnerEvacuation::CollectRuns(const WorkerState& worker,
                                  std::vector<EvacuationRun>* runs) {
  const bool takes_orders = worker.listed && worker.link->Ready();
  for (const TaskId& id : worker.tasks) {
    const JobRecord* job = owner_->jobs_.Find(id.job);
    const TaskRecord* task = owner_->jobs_.FindTask(id);
    if (job == nullptr || task == nullptr || IsFinal(job->state)) continue;
    // Nothing starts while the queue is not in the configuration.
    if (owner_->QueueOf(*job) == nullptr) continue;
    const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(id.step)];
    const bool leaving = task->state == TaskState::kStopping;
    if (!MayMigrate(spec) ||
        (!leaving && (task->state != TaskState::kRunning || !takes_orders))) {
      continue;
    }
    const StepRecord& step = job->occurrences.at(id.occurrence)
                                 .steps[static_cast<std::size_t>(id.step)];
    EvacuationRun run{.task = id,
                      .leaving = leaving,
                      .percent = task->percent,
                      .unavailable = CountUnavailable(spec, step)};
    run.request.step = &spec;
    run.request.count_siblings = [&step](const WorkerCapacity& candidate) {
      return static_cast<int>(
          std::count_if(step.tasks.begin(), step.tasks.end(),
                        [&candidate](const TaskRecord& sibling) {
                          return sibling.worker == candidate.id;
                        }));
    };
    if (owner_->NeedsAdvice(*job)) {
      owner_->RequireTickets(
          {.job = id.job, .occurrence = id.occurrence, .step = id.step},
          &run.request);
    }
    runs->push_back(std::move(run));
  }
}

int OwnerEvacuation::CountUnavailable(const StepSpec& spec,
                                      const StepRecord& step) {
  return static_cast<int>(std::count_if(
      step.tasks.begin(), step.tasks.end(), [&](const TaskRecord& task) {
        if (spec.lasting) return !owner_->IsAtWork(task);
        if (task.state == TaskState::kDone) return false;
        const WorkerState* worker = owner_->FindWorker(task.worker);
        return task.state != TaskState::kRunning || worker == nullptr ||
               !worker->listed || worker->link->Silent();
      }));
}

void OwnerEvacuation::MoveRunsOfPool(const std::string& pool,
                                     const std::vector<EvacuationRun>& runs) {
  std::vector<WorkerCapacity> room;
  std::vector<WorkerCapacity*> others;
  for (const auto& [id, worker] : owner_->workers_) {
    if (worker->capacity.pool != pool || !owner_->Usable(*worker)) continue;
    room.push_back(worker->capacity);
    others.push_back(&worker->capacity);
  }
  std::set<TaskId> stopped;
  for (const TaskId& id : PlanMigrations(runs, std::move(room))) {
    JobRecord* job = owner_->jobs_.Find(id.job);
    TaskRecord* task = owner_->jobs_.FindTask(id);
    const WorkerState* worker = owner_->FindWorker(task->worker);
    const std::optional<Millis> age = owner_->deps_.evacuations->Age();
    LogEvent(LogLevel::kInfo, "task-evacuated",
             {{"task", FormatTaskId(id)},
              {"run", task->run},
              {"worker", task->worker},
              {"data_centre",
               worker == nullptr ? std::string() : worker->entry.data_centre},
              {"percent", task->percent},
              {"workers_elsewhere", others.size()},
              {"age_ms", age ? Json(age->count()) : Json()}});
    owner_->Count("evacuation_evictions_total");
    owner_->StopTask(job, id, task);
    stopped.insert(id);
  }
  // Permission to run elsewhere is asked for before the run is stopped.
  std::set<TaskId> asked;
  for (const EvacuationRun& run : runs) {
    const JobRecord* job = owner_->jobs_.Find(run.task.job);
    TaskId step = run.task;
    step.index = 0;
    if (job == nullptr || stopped.contains(run.task) || run.leaving ||
        !owner_->NeedsAdvice(*job) || !asked.insert(step).second) {
      continue;
    }
    owner_->AskAdvice(*job, run.task.occurrence, run.task.step, others,
                      AdviceNeed::kNow);
  }
}

void OwnerEvacuation::LogUnknown(const std::set<std::string>& evacuated) {
  if (!owner_->instances_known_) return;
  std::erase_if(unknown_logged_, [&evacuated](const std::string& name) {
    return !evacuated.contains(name);
  });
  for (const std::string& name : evacuated) {
    if (unknown_logged_.contains(name)) continue;
    const bool known =
        std::any_of(owner_->instances_.begin(), owner_->instances_.end(),
                    [&name](const auto& instance) {
                      return instance.second.data_centre == name;
                    }) ||
        std::any_of(owner_->workers_.begin(), owner_->workers_.end(),
                    [&name](const auto& worker) {
                      return worker.second->entry.data_centre == name;
                    });
    if (known) continue;
    unknown_logged_.insert(name);
    LogEvent(LogLevel::kWarning, "evacuation-unknown-data-centre",
             {{"data_centre", name},
              {"workers", owner_->workers_.size()},
              {"instances", owner_->instances_.size()}});
  }
}

}  // namespace basilusher
