// Quarantine and probing of workers.
#include "basilusher/Control/WorkerHealth.h"

#include <algorithm>

namespace basilusher {
namespace {

/// Failures from which a worker is suspected.
constexpr int kSuspectFailures = 2;
/// Failures from which a worker is quarantined.
constexpr int kQuarantineFailures = 5;
constexpr Millis kFirstBackoff{500};
constexpr Millis kMaxBackoff{8000};
/// Failed requests tracked at most; all are dropped when the bound is reached.
constexpr std::size_t kMaxFailedRequests = 4096;

}  // namespace

int WorkerHealth::QuarantinedOnAnswers() const {
  return static_cast<int>(
      std::count_if(workers_.begin(), workers_.end(),
                    [](const std::pair<const std::string, Evidence>& row) {
                      return row.second.quarantined && !row.second.unreachable;
                    }));
}

void WorkerHealth::Quarantine(Evidence* evidence, bool unreachable,
                              TimePoint now) {
  // Requests that were in flight when the quarantine began are no new evidence;
  // only a failed probe lengthens the quarantine.
  if (evidence->quarantined && now < evidence->probe_at) return;
  evidence->backoff = evidence->quarantined
                          ? std::min(evidence->backoff * 2, kMaxBackoff)
                          : kFirstBackoff;
  evidence->quarantined = true;
  evidence->unreachable = unreachable;
  evidence->probe_at = now + evidence->backoff;
}

void WorkerHealth::Record(const std::string& worker, const std::string& request,
                          SlotResult result, TimePoint now) {
  if (result == SlotResult::kUnused || result == SlotResult::kRefused) return;
  Evidence& evidence = workers_[worker];
  if (result == SlotResult::kAnswered) {
    evidence = Evidence();
    return;
  }
  if (result == SlotResult::kUnreachable) {
    Quarantine(&evidence, /*unreachable=*/true, now);
    return;
  }
  if (failed_requests_.size() >= kMaxFailedRequests) failed_requests_.clear();
  std::set<std::string>& failed_on = failed_requests_[request];
  failed_on.insert(worker);
  if (failed_on.size() > 1) {
    // The same request failed on several workers, so the request is taken to be
    // at fault and the other workers' failures are reduced.
    for (const std::string& other : failed_on) {
      int& failures = workers_[other].failures;
      if (other != worker) failures = std::max(0, failures - 1);
    }
    return;
  }
  ++evidence.failures;
  if (evidence.failures < kQuarantineFailures) return;
  if (!evidence.quarantined && QuarantinedOnAnswers() >= budget_) return;
  Quarantine(&evidence, /*unreachable=*/false, now);
}

int WorkerHealth::AllowedSlots(const std::string& worker, int slots,
                               TimePoint now) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return slots;
  if (it->second.quarantined) return now >= it->second.probe_at ? 1 : 0;
  return it->second.failures >= kSuspectFailures ? 1 : slots;
}

bool WorkerHealth::IsQuarantined(const std::string& worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.quarantined;
}

void WorkerHealth::RetainOnly(const std::set<std::string>& current_workers) {
  std::erase_if(workers_,
                [&](const std::pair<const std::string, Evidence>& row) {
                  return !current_workers.contains(row.first);
                });
}

}  // namespace basilusher
