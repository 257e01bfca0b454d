// What workers list before their owner has heard of it: jobs, and new lives.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

bool PartitionOwner::MayBeUnheard(const std::string& job) const {
  return jobs_.Find(job) == nullptr && !finals_.contains(job) &&
         inbox_->FreshAt() < ports_.clock->Now();
}

void PartitionOwner::DecideUnheard() {
  for (const auto& [id, worker] : workers_) {
    if (worker->unheard.empty()) continue;
    // An earlier owner may have run a job that a front told it of, ahead of
    // this owner's watch.
    const TimePoint last = worker->unheard.back().listed_at;
    if (inbox_->FreshAt() < last) continue;
    const std::vector<UnheardEnd> unheard = std::move(worker->unheard);
    worker->unheard.clear();
    std::vector<HeldEnds> held = std::move(worker->held);
    worker->held.clear();
    std::set<std::string> changed;
    for (const UnheardEnd& row : unheard) {
      if (jobs_.Find(row.end.task.job) != nullptr) {
        OnEnded(worker.get(), row.end, &changed);
      }
    }
    for (HeldEnds& ends : held) {
      ends.changed.insert(changed.begin(), changed.end());
      StoreEnds(worker.get(), ends);
    }
  }
}

void PartitionOwner::StoreEnds(WorkerState* worker, const HeldEnds& ends) {
  recorder_->Save(
      std::vector<std::string>(ends.changed.begin(), ends.changed.end()),
      [self = shared_from_this(), link = worker->link, id = worker->slot.id,
       life = ends.life, last = ends.last, listed_at = ports_.clock->Now()] {
        if (self->closed_) return;
        self->OnEndsStored(id, last, listed_at);
        link->Acknowledge(life, last);
      });
}

void PartitionOwner::OnNewLife(const std::string& id, const char* reason) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr) return;
  Count("workers_lost_total");
  advice_.ForgetWorker(id);
  LogEvent(
      LogLevel::kWarning, "worker-reborn",
      {{"worker", id}, {"reason", reason}, {"tasks", worker->tasks.size()}});
  worker->unheard.clear();
  worker->held.clear();
  for (const TaskId& task_id : worker->tasks) {
    TaskRecord* task = jobs_.FindTask(task_id);
    if (task != nullptr) task->in_doubt = true;
  }
}

}  // namespace basilusher
