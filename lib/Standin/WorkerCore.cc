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

int WorkerCore::RunningOf(const std::string& team) const {
  return static_cast<int>(
      std::count_if(running_.begin(), running_.end(),
                    [&](const std::pair<const RunKey, std::size_t>& row) {
                      return records_[row.second].team == team;
                    }));
}

}  // namespace basilusher
