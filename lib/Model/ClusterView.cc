// Placement of homes and look-ups in a view.
#include "basilusher/Model/ClusterView.h"

#include <utility>

#include "basilusher/Support/Digest.h"

namespace basilusher {

ViewPtr ViewHub::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return view_;
}

void ViewHub::Update(const std::function<void(ClusterView*)>& change) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::shared_ptr<ClusterView> next = std::make_shared<ClusterView>(*view_);
  change(next.get());
  view_ = std::move(next);
}

std::string HomeOf(const ClusterView& view, const std::string& subject) {
  std::string best;
  std::uint64_t best_hash = 0;
  for (const std::pair<const std::string, EntryInfo>& row : view.entries) {
    const std::uint64_t hash = PlacementHash(row.first, subject);
    if (!best.empty() && hash <= best_hash) continue;
    best = row.first;
    best_hash = hash;
  }
  return best;
}

std::vector<WorkerInfo> WorkersOf(const ClusterView& view,
                                  const std::string& pool) {
  std::vector<WorkerInfo> workers;
  if (view.assignments == nullptr) return workers;
  for (const std::pair<const std::string, Assignment>& row :
       *view.assignments) {
    if (row.second.pool != pool || view.draining.contains(row.first)) continue;
    const auto worker = view.workers.find(row.first);
    if (worker == view.workers.end()) continue;
    if (worker->second.leaving || worker->second.rebooting) continue;
    workers.push_back(worker->second);
  }
  return workers;
}

}  // namespace basilusher
