// Outlier detection: distinguishes faulty workers from requests that fail on
// every worker.
#ifndef BASILUSHER_CONTROL_WORKERHEALTH_H_
#define BASILUSHER_CONTROL_WORKERHEALTH_H_

#include <map>
#include <set>
#include <string>

#include "basilusher/Support/Clock.h"
#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// Failures of the workers of one pool, and their quarantine. A failure counts
/// against its worker unless the same request also failed on another worker.
/// Not thread-safe.
class WorkerHealth {
 public:
  /// Sets how many workers may be quarantined at the same time because of
  /// failed answers. Unreachable workers are always quarantined and don't
  /// count.
  void SetBudget(int budget) { budget_ = budget; }
  /// Records the result of `request` on `worker`.
  void Record(const std::string& worker, const std::string& request,
              SlotResult result, TimePoint now);
  /// Slots of `worker` that may be in use: all `slots` of a healthy worker, one
  /// of a suspected or probed worker, none before the probe of a quarantined
  /// one.
  int AllowedSlots(const std::string& worker, int slots, TimePoint now) const;
  /// Whether `worker` gets no work except probes.
  bool IsQuarantined(const std::string& worker) const;
  /// Drops the records of all workers but `current_workers`.
  void RetainOnly(const std::set<std::string>& current_workers);

 private:
  struct Evidence {
    /// Failures since the last success.
    int failures = 0;
    bool quarantined = false;
    /// Whether it was quarantined because it could not be reached.
    bool unreachable = false;
    /// Time from which one request may probe a quarantined worker.
    TimePoint probe_at{};
    /// Length of the present quarantine.
    Millis backoff{};
  };

  int QuarantinedOnAnswers() const;
  void Quarantine(Evidence* evidence, bool unreachable, TimePoint now);

  int budget_ = 1;
  std::map<std::string, Evidence> workers_;
  /// Workers on which each recent request failed.
  std::map<std::string, std::set<std::string>> failed_requests_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_WORKERHEALTH_H_
