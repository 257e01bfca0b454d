// Workers for the waiting tasks of one job: step by step, or a gang at once.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"

namespace basilusher {
namespace {

/// Lets all members of a gang resume from one checkpoint; that of any member
/// is valid for the others.
void ShareCheckpoint(StepRecord* gang) {
  const auto saved = std::find_if(
      gang->tasks.begin(), gang->tasks.end(),
      [](const TaskRecord& task) { return !task.checkpoint.empty(); });
  if (saved == gang->tasks.end()) return;
  const std::string checkpoint = saved->checkpoint;
  for (TaskRecord& task : gang->tasks) task.checkpoint = checkpoint;
}

}  // namespace

void PartitionOwner::PlaceJob(const PlacementCandidate& candidate) {
  JobRecord* job = candidate.job;
  CandidateWorkers* workers =
      candidate.any_worker ? &candidate.pool->all : &candidate.pool->healthy;
  OccurrenceRecord& occurrence = job->occurrences.at(candidate.occurrence);
  const bool may_have_orphans = MayHaveOrphanedRuns(*job);
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    StepRecord& step = occurrence.steps[s];
    const int index = static_cast<int>(s);
    if (may_have_orphans) {
      // The wait of a suspect for a worker of its own begins when it may start.
      for (TaskRecord& task : step.tasks) {
        if (AwaitsOrphanedRun(*job, job->spec.steps[s], task)) {
          task.suspect_since = deps_.clock->Now();
        }
      }
    }
    if (step.done + step.active >= static_cast<int>(step.tasks.size())) {
      continue;
    }
    if (!StepReady(*job, occurrence, index)) {
      // An answer from the advisor takes time, so it is requested while the
      // preceding steps still run.
      if (NeedsAdvice(*job) && PredecessorsStarted(*job, occurrence, index)) {
        AskAdvice(*job, candidate.occurrence, index, workers->Workers(),
                  AdviceNeed::kLater);
      }
      continue;
    }
    if (job->spec.steps[s].gang) {
      PlaceGang(job, candidate.occurrence, index, workers->Workers());
    } else {
      PlaceStep(job, candidate.occurrence, index, workers);
    }
  }
}

std::optional<std::string> PartitionOwner::OnlyWorkerFor(
    const TaskId& id, const TaskRecord& task) const {
  if (!task.may_start_late) return std::nullopt;
  return late_starts_.OnlyWorkerFor(id);
}

void PartitionOwner::PlaceStep(JobRecord* job, int occurrence, int step,
                               CandidateWorkers* candidates) {
  const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(step)];
  const bool needs_advice = NeedsAdvice(*job);
  FullPoolMemo* full = candidates->Full();
  if (!needs_advice && full->HasNoRoomFor(Charge(spec))) return;
  const std::vector<WorkerCapacity*>& workers = candidates->Workers();
  StepRecord& record =
      job->occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
  // A run started by an earlier owner may exist on a worker that has not been
  // read yet.
  const bool may_have_orphans = MayHaveOrphanedRuns(*job);
  std::map<std::string, int> siblings;
  PlacementRequest request;
  request.step = &spec;
  if (spec.max_per_worker > 0) {
    for (const TaskRecord& task : record.tasks) {
      if (!task.worker.empty()) ++siblings[task.worker];
    }
    request.count_siblings = [&siblings](const WorkerCapacity& worker) {
      const auto it = siblings.find(worker.id);
      return it == siblings.end() ? 0 : it->second;
    };
  }
  if (needs_advice) {
    RequireTickets(
        {.job = job->spec.id, .occurrence = occurrence, .step = step},
        &request);
  }
  bool found_waiting = false;
  for (int i = record.first_waiting; i < spec.count; ++i) {
    TaskRecord& task = record.tasks[static_cast<std::size_t>(i)];
    if (task.state != TaskState::kWaiting) continue;
    if (!found_waiting) {
      record.first_waiting = i;
      found_waiting = true;
    }
    if (!TaskMayStart(spec, task) ||
        (may_have_orphans && AwaitsOrphanedRun(*job, spec, task))) {
      continue;
    }
    if (!WithinCap(*job, spec.need)) return;
    const TaskId id = {.job = job->spec.id,
                       .occurrence = occurrence,
                       .step = step,
                       .index = i};
    request.avoid_worker = task.avoid_worker;
    request.may_crash_worker = IsSuspect(task);
    request.only_worker = OnlyWorkerFor(id, task);
    WorkerCapacity* worker = ChooseWorker(request, workers);
    if (worker == nullptr) {
      if (needs_advice) {
        AskAdvice(*job, occurrence, step, workers, AdviceNeed::kNow);
      }
      // The next tasks may start on any worker.
      if (request.only_worker) continue;
      if (!AnyHasRoom(Charge(spec), workers)) full->Add(Charge(spec));
      return;
    }
    if (spec.max_per_worker > 0) ++siblings[worker->id];
    WorkerState* chosen = FindWorker(worker->id);
    if (request.may_crash_worker || spec.lasting) {
      StartWhenStored(job, {{.task = id, .worker = chosen}}, NextRun(task));
    } else {
      StartTask(job, id, chosen, NextRun(task));
    }
  }
}

void PartitionOwner::PlaceGang(JobRecord* job, int occurrence, int step,
                               const std::vector<WorkerCapacity*>& workers) {
  const StepSpec& spec = job->spec.steps[static_cast<std::size_t>(step)];
  StepRecord& record =
      job->occurrences.at(occurrence).steps[static_cast<std::size_t>(step)];
  const bool may_have_orphans = MayHaveOrphanedRuns(*job);
  std::int64_t run = 0;
  for (const TaskRecord& task : record.tasks) {
    // All members of a gang start together or none does.
    if (task.state != TaskState::kWaiting || !TaskMayStart(spec, task)) return;
    if (may_have_orphans && AwaitsOrphanedRun(*job, spec, task)) return;
    run = std::max(run, NextRun(task));
  }
  if (!WithinCap(*job, spec.need * spec.count)) return;
  std::vector<WorkerCapacity> trial;
  trial.reserve(workers.size());
  for (const WorkerCapacity* worker : workers) trial.push_back(*worker);
  std::vector<WorkerCapacity*> trial_workers;
  trial_workers.reserve(trial.size());
  for (WorkerCapacity& worker : trial) trial_workers.push_back(&worker);
  std::map<std::string, int> siblings;
  PlacementRequest request;
  request.step = &spec;
  request.count_siblings = [&siblings](const WorkerCapacity& worker) {
    const auto it = siblings.find(worker.id);
    return it == siblings.end() ? 0 : it->second;
  };
  const bool needs_advice = NeedsAdvice(*job);
  if (needs_advice) {
    RequireTickets(
        {.job = job->spec.id, .occurrence = occurrence, .step = step},
        &request);
  }
  std::vector<std::string> chosen(record.tasks.size());
  for (const int i : SuspectsFirst(record)) {
    const TaskRecord& task = record.tasks[static_cast<std::size_t>(i)];
    request.may_crash_worker = MustIsolate(task);
    request.avoid_worker = IsSuspect(task) ? task.avoid_worker : std::string();
    request.only_worker = OnlyWorkerFor({.job = job->spec.id,
                                         .occurrence = occurrence,
                                         .step = step,
                                         .index = i},
                                        task);
    WorkerCapacity* worker = ChooseWorker(request, trial_workers);
    if (worker == nullptr) {
      if (needs_advice) {
        AskAdvice(*job, occurrence, step, workers, AdviceNeed::kNow);
      }
      return;
    }
    worker->used += Charge(spec);
    ++siblings[worker->id];
    if (spec.same_rack && request.rack.empty()) request.rack = worker->rack;
    worker->isolated = MustStartApart(task);
    chosen[static_cast<std::size_t>(i)] = worker->id;
  }
  ShareCheckpoint(&record);
  std::vector<PlacedTask> placed;
  placed.reserve(chosen.size());
  for (int i = 0; i < spec.count; ++i) {
    placed.push_back(
        {.task = {.job = job->spec.id,
                  .occurrence = occurrence,
                  .step = step,
                  .index = i},
         .worker = FindWorker(chosen[static_cast<std::size_t>(i)])});
  }
  if (spec.lasting ||
      std::any_of(record.tasks.begin(), record.tasks.end(), IsSuspect)) {
    StartWhenStored(job, placed, run);
    return;
  }
  for (const PlacedTask& member : placed) {
    StartTask(job, member.task, member.worker, run);
  }
}

}  // namespace basilusher
