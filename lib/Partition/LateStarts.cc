// Bounds of starts that may be executed late.
#include "basilusher/Partition/LateStarts.h"

#include <algorithm>

#include "basilusher/Partition/WorkerLease.h"

namespace basilusher {

TimePoint LateStarts::EndOf(const LateStart& start,
                            const LateStartWorker& worker) const {
  const TimePoint last_execution = start.sent_at + kMaxCallDelay;
  if (worker.reported_at >= last_execution) return last_execution;
  if (!worker.gone) return last_execution + longest_lease_;
  return start.lasting ? start.sent_at : last_execution;
}

void LateStarts::Note(const std::string& worker, const LateStart& start) {
  std::vector<LateStart>& starts = by_worker_[worker];
  const bool known =
      std::any_of(starts.begin(), starts.end(), [&start](const LateStart& it) {
        return it.task == start.task && it.run == start.run;
      });
  if (!known) starts.push_back(start);
}

std::set<std::string> LateStarts::WorkersOf(const TaskId& task) const {
  std::set<std::string> workers;
  for (const auto& [worker, starts] : by_worker_) {
    const bool any = std::any_of(
        starts.begin(), starts.end(),
        [&task](const LateStart& start) { return start.task == task; });
    if (any) workers.insert(worker);
  }
  return workers;
}

bool LateStarts::Remove(const TaskId& task, std::int64_t run) {
  for (auto it = by_worker_.begin(); it != by_worker_.end(); ++it) {
    const std::size_t removed =
        std::erase_if(it->second, [&](const LateStart& start) {
          return start.task == task && start.run == run;
        });
    if (removed == 0) continue;
    if (it->second.empty()) by_worker_.erase(it);
    return true;
  }
  return false;
}

std::vector<LateStart> LateStarts::RemoveAllOn(const std::string& worker) {
  const auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) return {};
  std::vector<LateStart> removed = std::move(it->second);
  by_worker_.erase(it);
  return removed;
}

std::vector<std::pair<std::string, LateStart>> LateStarts::TakeExpired(
    TimePoint now,
    const std::function<LateStartWorker(const std::string& worker,
                                        const LateStart& start)>& facts) {
  std::vector<std::pair<std::string, LateStart>> expired;
  for (auto it = by_worker_.begin(); it != by_worker_.end();) {
    std::erase_if(it->second, [&](const LateStart& start) {
      if (now < EndOf(start, facts(it->first, start))) return false;
      expired.emplace_back(it->first, start);
      return true;
    });
    it = it->second.empty() ? by_worker_.erase(it) : std::next(it);
  }
  return expired;
}

}  // namespace basilusher
