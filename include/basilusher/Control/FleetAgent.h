// Carries drains, reboots and moves of instances through, step by step.
#ifndef BASILUSHER_CONTROL_FLEETAGENT_H_
#define BASILUSHER_CONTROL_FLEETAGENT_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/FleetPlan.h"
#include "basilusher/Control/StoreChanges.h"

namespace basilusher {

/// Calls to instances and to the platform; each may fail and be made again.
class FleetDelegate {
 public:
  virtual ~FleetDelegate() = default;
  /// Stops new work on `worker` under the token `fence`; `done` gets what still
  /// runs, -1 if unknown or refused.
  virtual void Drain(const WorkerInfo& worker, std::int64_t fence,
                     std::function<void(int running)> done) = 0;
  /// Lets `worker` take work again and bars drains up to the token `fence`;
  /// `done` gets whether it answered.
  virtual void Admit(const WorkerInfo& worker, std::int64_t fence,
                     std::function<void(bool admitted)> done) = 0;
  /// Lets the platform reboot a drained worker; it does so only while the
  /// worker's count of maintenances is `maintained`.
  virtual void Release(const WorkerInfo& worker, std::int64_t maintained) = 0;
};

/// Subject by which the home of a pool's maintenance is placed. Thread-safe.
std::string FleetSubject(const std::string& pool);

/// Not thread-safe.
class FleetAgent : public Component {
 public:
  FleetAgent(Context context, FleetDelegate* port);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Takes changes of the fleet's records.
  void OnStoreChanges(const StoreChanges& changes);
  /// Begins no more steps.
  void BeginShutdown() { shutting_down_ = true; }
  /// Record of `pool` as last heard.
  const PoolRecord& RecordOf(const std::string& pool) {
    return pools_[pool].record;
  }

 private:
  struct PoolState {
    PoolRecord record;
    std::int64_t version = 0;
    /// Whether a swap is under way.
    bool swap_in_flight = false;
    /// Instances that run nothing, with the place under which they were
    /// drained.
    std::map<std::string, BudgetPlace> drained;
    /// Instances that were admitted again, with the place.
    std::map<std::string, BudgetPlace> admitted;
    std::set<std::string> calls_in_flight;
  };

  bool IsHome(const std::string& subject) const;
  void UpdateView();
  void TickAssignments();
  /// What all pools of one round share, worked out once.
  struct Round {
    ViewPtr view;
    std::map<std::string, std::vector<std::string>> members;
    std::map<std::string, std::string> desired_pools;
  };

  Round BeginRound(const ViewPtr& view) const;
  void TickPool(const Round& round, const std::string& pool, int budget);
  using Confirmations = std::map<std::string, BudgetPlace>;

  /// Instances marked under the place that they hold now.
  static std::vector<std::string> ConfirmedUnderCurrentPlace(
      const PoolState& state, const Confirmations& marks);
  PoolSnapshot SnapshotOf(const Round& round, const std::string& pool,
                          int budget) const;
  void Execute(const std::string& pool, const FleetAction& action);
  void SwapRecord(const std::string& pool, const PoolRecord& next);
  void CallDrain(const std::string& pool, const WorkerInfo& worker);
  void CallAdmit(const std::string& pool, const WorkerInfo& worker);
  void Reassign(const FleetAction& action);
  void SwapAssignments(const Assignments& next);

  Context context_;
  FleetDelegate* port_;
  std::map<std::string, PoolState> pools_;
  Assignments assignments_;
  std::int64_t assignment_version_ = 0;
  bool assignments_known_ = false;
  bool assignments_swap_in_flight_ = false;
  TimePoint next_round_{};
  bool shutting_down_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_FLEETAGENT_H_
