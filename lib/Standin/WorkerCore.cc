// Slots and bars of a worker.
#include "basilusher/Standin/WorkerCore.h"

#include <algorithm>

namespace basilusher {

bool WorkerCore::Start(const RunRecord& run) {
  const RunKey key{run.request_id, run.attempt};
  if (leaving_ || Running() >= slots_) return false;
  if (barred_runs_.contains(key) || barred_holders_.contains(run.holder)) {
    return false;
  }
  if (!running_.emplace(key, records_.size()).second) return false;
  records_.push_back(run);
  peak_ = std::max(peak_, Running());
  return true;
}

void WorkerCore::Finish(const std::string& request_id, int attempt,
                        std::int64_t finished_micros) {
  const auto it = running_.find({request_id, attempt});
  if (it == running_.end()) return;
  records_[it->second].finished = true;
  records_[it->second].finished_micros = finished_micros;
  running_.erase(it);
}

bool WorkerCore::StartTask(const RunRecord& run, Millis work, Millis lease,
                           TimePoint now) {
  AdvanceTasks(now);
  if (barred_tasks_.contains(run.request_id) || !Start(run)) return false;
  tasks_[run.request_id] = {.attempt = run.attempt,
                            .done_at = now + work,
                            .lease_until = now + lease};
  return true;
}

void WorkerCore::AdvanceTasks(TimePoint now) {
  for (std::pair<const std::string, Task>& row : tasks_) {
    Task& task = row.second;
    if (task.state != WorkerTaskState::kRunning) continue;
    if (task.done_at <= std::min(now, task.lease_until)) {
      task.state = WorkerTaskState::kDone;
    } else if (task.lease_until <= now) {
      task.state = WorkerTaskState::kStopped;
    } else {
      continue;
    }
    Finish(row.first, task.attempt, WallMicros());
  }
}

WorkerTaskState WorkerCore::RenewTask(const std::string& request_id,
                                      Millis lease, TimePoint now) {
  AdvanceTasks(now);
  const auto it = tasks_.find(request_id);
  if (it == tasks_.end()) return WorkerTaskState::kNeverStarted;
  if (it->second.state == WorkerTaskState::kRunning) {
    it->second.lease_until = now + lease;
  }
  return it->second.state;
}

WorkerTaskState WorkerCore::StopTask(const std::string& request_id,
                                     TimePoint now) {
  AdvanceTasks(now);
  barred_tasks_.insert(request_id);
  const auto it = tasks_.find(request_id);
  if (it == tasks_.end()) return WorkerTaskState::kNeverStarted;
  if (it->second.state == WorkerTaskState::kRunning) {
    it->second.state = WorkerTaskState::kStopped;
    Finish(request_id, it->second.attempt, WallMicros());
  }
  return it->second.state;
}

bool WorkerCore::BarRun(const std::string& request_id, int attempt) {
  const RunKey key{request_id, attempt};
  barred_runs_.insert(key);
  return running_.contains(key);
}

int WorkerCore::BarHolder(const std::string& holder) {
  barred_holders_.insert(holder);
  return static_cast<int>(
      std::count_if(running_.begin(), running_.end(),
                    [&](const std::pair<const RunKey, std::size_t>& row) {
                      return records_[row.second].holder == holder;
                    }));
}

int WorkerCore::Drain(std::int64_t fence) {
  if (fence <= admit_fence_) return -1;
  drain_fence_ = std::max(drain_fence_, fence);
  leaving_ = true;
  return Running();
}

void WorkerCore::Admit(std::int64_t fence) {
  admit_fence_ = std::max(admit_fence_, fence);
  if (drain_fence_ <= admit_fence_) leaving_ = false;
}

void WorkerCore::Reboot() {
  leaving_ = false;
  drain_fence_ = 0;
  admit_fence_ = 0;
}

int WorkerCore::RunningOf(const std::string& team) const {
  return static_cast<int>(
      std::count_if(running_.begin(), running_.end(),
                    [&](const std::pair<const RunKey, std::size_t>& row) {
                      return records_[row.second].team == team;
                    }));
}

}  // namespace basilusher
