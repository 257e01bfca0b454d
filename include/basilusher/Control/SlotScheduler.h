// Decides which waiting request gets which slot of a pool.
#ifndef BASILUSHER_CONTROL_SLOTSCHEDULER_H_
#define BASILUSHER_CONTROL_SLOTSCHEDULER_H_

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Control/WorkerHealth.h"
#include "basilusher/Model/ClusterView.h"
#include "basilusher/Wire/Messages.h"

namespace basilusher {

/// One attempt of a request of one entry.
struct SlotKey {
  PeerId requester;
  std::string request_id;
  int attempt = 0;

  friend auto operator<=>(const SlotKey&, const SlotKey&) = default;
};

struct SlotDecision {
  SlotKey key;
  /// Worker granted; empty for a refusal.
  std::string worker;
  ResultCode code = ResultCode::kOk;
  int retry_after_ms = 0;
};

/// Pure scheduler of one pool: weighted max-min over teams within a class,
/// urgent classes first, with ageing. Slots lapse by time, since a worker
/// refuses work beyond its slots by itself. Not thread-safe.
class SlotScheduler {
 public:
  /// Workers that may get new work and shares of teams.
  void SetPool(const std::vector<WorkerInfo>& workers, int availability_budget,
               const std::map<std::string, TeamIntent>& teams);
  /// Queues an ask; a repeated ask changes nothing. Returns a refusal at once
  /// if the queue is full or the wait would outlast the ask's patience, or the
  /// earlier grant if the ask was granted before.
  std::optional<SlotDecision> OnAsk(const PeerId& requester, const SlotAsk& ask,
                                    TimePoint now);
  /// Notes a slot that was granted by an earlier home.
  void OnHeld(const PeerId& requester, const SlotHeld& held, TimePoint now);
  /// Ends a wait or a use.
  void OnDone(const PeerId& requester, const SlotDone& done, TimePoint now);
  /// Drops waits and uses of requesters for which `alive` is false.
  void DropRequesters(const std::function<bool(const PeerId&)>& alive);
  /// Grants what can be granted and refuses what has waited too long.
  std::vector<SlotDecision> Schedule(TimePoint now);

  int Waiting() const { return static_cast<int>(waiting_.size()); }
  int InUse() const { return static_cast<int>(uses_.size()); }
  int InUseOf(const std::string& team) const;
  const WorkerHealth& Health() const { return health_; }

 private:
  struct Waiter {
    SlotKey key;
    SlotAsk ask;
    TimePoint since{};
    TimePoint until{};
  };
  struct Use {
    std::string worker;
    std::string team;
    TimePoint until{};
  };

  std::list<Waiter>::iterator ChooseWaiter(TimePoint now);
  std::string ChooseWorker(const Waiter& waiter, TimePoint now) const;
  int PriorityOf(const Waiter& waiter, TimePoint now) const;
  double LoadOf(const std::string& team) const;
  int ExpectedWaitMs() const;
  void Grant(const Waiter& waiter, const std::string& worker, TimePoint now);
  void EndUse(std::map<SlotKey, Use>::iterator it);

  std::map<std::string, WorkerInfo> workers_;
  std::map<std::string, double> shares_;
  std::list<Waiter> waiting_;
  std::map<SlotKey, Use> uses_;
  std::map<std::string, int> worker_use_;
  std::map<std::string, int> team_use_;
  WorkerHealth health_;
  /// Smoothed service time.
  double service_ms_ = 20;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_SLOTSCHEDULER_H_
