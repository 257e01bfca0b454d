// Tells workers that fail everything from work that fails everywhere.
#ifndef BASILUSHER_CONTROL_WORKERHEALTH_H_
#define BASILUSHER_CONTROL_WORKERHEALTH_H_

#include <map>
#include <set>
#include <string>

#include "basilusher/Support/Clock.h"
#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// Evidence on the workers of one pool. A failure counts against its worker
/// unless the same request failed on another worker too. Not thread-safe.
class WorkerHealth {
 public:
  /// Workers that may be quarantined at once on the evidence of failed answers
  /// (a worker that can't be reached is always left alone for a while).
  void SetBudget(int budget) { budget_ = budget; }
  /// Notes how `request` ended on `worker`.
  void Record(const std::string& worker, const std::string& request,
              SlotResult result, TimePoint now);
  /// Slots of `worker` that may be in use: all when healthy, one while it is
  /// suspected or probed, none while it is quarantined.
  int AllowedSlots(const std::string& worker, int slots, TimePoint now) const;
  /// Whether `worker` gets no work, but for probes.
  bool IsQuarantined(const std::string& worker) const;
  /// Drops evidence on workers and requests that are not current any more.
  void RetainOnly(const std::set<std::string>& current_workers);

 private:
  struct Evidence {
    int failures = 0;
    bool quarantined = false;
    bool unreachable = false;
    TimePoint probe_at{};
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
