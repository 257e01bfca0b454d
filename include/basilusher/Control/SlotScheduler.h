// Assigns the slots of a pool to waiting requests.
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

/// Identifies an attempt of a request of one entry.
struct SlotKey {
  PeerId requester;
  std::string request_id;
  int attempt = 0;

  friend auto operator<=>(const SlotKey&, const SlotKey&) = default;
};

/// Grant or refusal of one ask.
struct SlotDecision {
  SlotKey key;
  /// Worker granted; empty for a refusal.
  std::string worker;
  ResultCode code = ResultCode::kOk;
  int retry_after_ms = 0;
};

/// Scheduler of one pool, without side effects: urgent classes first, with
/// ageing, and weighted max-min fairness over teams within a class. A grant
/// expires by time, which is safe because a worker itself refuses work beyond
/// its slots. Not thread-safe.
class SlotScheduler {
 public:
  /// Sets the workers that may get new work, how many of them may be
  /// quarantined for failed answers, and the teams with their shares.
  void SetPool(const std::vector<WorkerInfo>& workers, int availability_budget,
               const std::map<std::string, TeamIntent>& teams);
  /// Queues an ask; a duplicated ask changes nothing. Returns a refusal at once
  /// if the queue is full or the expected wait exceeds the ask's wait time, or
  /// the earlier grant if the ask was granted before.
  std::optional<SlotDecision> OnAsk(const PeerId& requester, const SlotAsk& ask,
                                    TimePoint now);
  /// Adds a slot in use that an earlier home granted.
  void OnHeld(const PeerId& requester, const SlotHeld& held, TimePoint now);
  /// Ends the wait or the use of an attempt.
  void OnDone(const PeerId& requester, const SlotDone& done, TimePoint now);
  /// Drops the waits and uses of requesters for which `alive` returns false.
  void DropRequesters(const std::function<bool(const PeerId&)>& alive);
  /// Refuses asks that have waited too long and grants free slots to the
  /// others.
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

  /// Next waiter to serve; the end of the list if none can get a slot.
  std::list<Waiter>::iterator ChooseWaiter(TimePoint now);
  /// Worker with the most free slots, preferably none that the ask avoids;
  /// empty if none has a free slot.
  std::string ChooseWorker(const Waiter& waiter, TimePoint now) const;
  /// Class of a waiter after ageing; zero is the most urgent.
  int PriorityOf(const Waiter& waiter, TimePoint now) const;
  /// Slots of `team` with one more in use, divided by its share.
  double LoadOf(const std::string& team) const;
  /// Estimated wait of a new ask.
  int ExpectedWaitMs() const;
  void Grant(const Waiter& waiter, const std::string& worker, TimePoint now);
  void EndUse(std::map<SlotKey, Use>::iterator it);

  std::map<std::string, WorkerInfo> workers_;
  std::map<std::string, double> shares_;
  /// In order of arrival.
  std::list<Waiter> waiting_;
  std::map<SlotKey, Use> uses_;
  std::map<std::string, int> worker_use_;
  std::map<std::string, int> team_use_;
  WorkerHealth health_;
  /// Moving average of service times, in milliseconds.
  double service_ms_ = 20;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_SLOTSCHEDULER_H_
