// Token buckets of workspaces.
#include "basilusher/Schedule/WorkspaceShare.h"

#include <algorithm>
#include <numeric>

namespace basilusher {
namespace {

/// Depth of a bucket in seconds of its rate. Callers send in bunches, so that
/// within one second the order of arrival says nothing about the rate.
constexpr double kBucketDepthMs = 1000.0;
constexpr double kMillisPerSecond = 1000.0;

double MillisOf(TimePoint at) {
  return static_cast<double>(at.time_since_epoch().count());
}

}  // namespace

bool WorkspaceShares::Admit(const JobArrival& arrival) {
  if (!(arrival.weight > 0)) return false;
  const double at = MillisOf(arrival.at);
  double& next_due =
      next_due_ms_.try_emplace(arrival.workspace, at).first->second;
  if (next_due > at + kBucketDepthMs) return false;
  next_due = std::max(next_due, at) + kMillisPerSecond / arrival.weight;
  return true;
}

std::vector<bool> WorkspaceShares::Restore(
    const std::vector<JobArrival>& arrivals) {
  next_due_ms_.clear();
  std::vector<std::size_t> order(arrivals.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&arrivals](std::size_t a, std::size_t b) {
                     return arrivals[a].at < arrivals[b].at;
                   });
  std::vector<bool> admitted(arrivals.size());
  for (const std::size_t i : order) {
    next_due_ms_.try_emplace(arrivals[i].workspace,
                             MillisOf(arrivals[i].at) + kBucketDepthMs);
    admitted[i] = Admit(arrivals[i]);
  }
  return admitted;
}

void WorkspaceShares::Retain(const std::set<std::string>& known) {
  std::erase_if(next_due_ms_,
                [&known](const auto& it) { return !known.contains(it.first); });
}

bool SharesDecide(const std::vector<ShareCandidate>& waiting,
                  double free_cores) {
  double cores = 0;
  bool any_over = false;
  bool any_within = false;
  for (const ShareCandidate& job : waiting) {
    cores += job.waiting_cores;
    any_over = any_over || job.over_share;
    any_within = any_within || !job.over_share;
  }
  return any_over && any_within && cores > free_cores;
}

}  // namespace basilusher
