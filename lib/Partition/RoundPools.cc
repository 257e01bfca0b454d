// Look-ups of pools and queues by the queue's number.
#include "basilusher/Partition/RoundPools.h"

namespace basilusher {

void RoundPools::BeginRound() {
  queues_.clear();
  for (auto& [name, pool] : pools_) {
    pool.healthy.Clear();
    pool.all.Clear();
    pool.cores = 0;
    pool.running_core_ms = 0;
    pool.has_waiting = false;
    pool.open = false;
  }
}

PoolWorkers* RoundPools::Of(const JobRecord& job, const QueueConfig& queue) {
  if (job.queue_number >= queues_.size()) queues_.resize(job.queue_number + 1);
  QueueRow& row = queues_[job.queue_number];
  if (!row.known) {
    row.known = true;
    const auto it = pools_.find(queue.pool);
    if (it != pools_.end() && !it->second.all.Workers().empty()) {
      row.pool = &it->second;
    }
  }
  return row.pool;
}

void QueueTable::SetCatalog(const Catalog* catalog) {
  catalog_ = catalog;
  rows_.clear();
}

const QueueConfig* QueueTable::LookUp(const JobRecord& job) const {
  if (catalog_ == nullptr) return nullptr;
  const auto it = catalog_->queues.find(job.spec.queue);
  const QueueConfig* queue =
      it == catalog_->queues.end() ? nullptr : &it->second;
  if (job.queue_number >= rows_.size()) rows_.resize(job.queue_number + 1);
  rows_[job.queue_number] = {.known = true, .queue = queue};
  return queue;
}

}  // namespace basilusher
