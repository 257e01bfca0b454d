// Executes maintenance (drain, reboot) and pool moves of instances, one
// idempotent step at a time.
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

/// Calls to instances and to the platform. Each may fail and be repeated.
class FleetDelegate {
 public:
  virtual ~FleetDelegate() = default;
  /// Stops new work on `worker` under the fencing token `fence`; `done` gets
  /// the number of runs still in progress, -1 if unknown or refused.
  virtual void Drain(const WorkerInfo& worker, std::int64_t fence,
                     std::function<void(int running)> done) = 0;
  /// Lets `worker` take work again and bars drains under fencing tokens up to
  /// `fence`; `done` gets whether it answered.
  virtual void Admit(const WorkerInfo& worker, std::int64_t fence,
                     std::function<void(bool admitted)> done) = 0;
  /// Allows the platform to reboot a drained worker; it does so only while the
  /// number of maintenances of the worker is `maintained`.
  virtual void Release(const WorkerInfo& worker, std::int64_t maintained) = 0;
};

/// Returns the subject whose rendezvous hash chooses the home of `pool`'s
/// maintenance and moves; of the assignments if `pool` is empty. Thread-safe.
std::string FleetSubject(const std::string& pool);

/// Reconciles the pools of which this entry is the home: plans the next steps
/// from the stored records, the platform's list and the intent, and executes
/// them. Not thread-safe.
class FleetAgent : public Component {
 public:
  FleetAgent(Context context, FleetDelegate* delegate);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Applies changes of the pool records and the assignments.
  void OnStoreChanges(const StoreChanges& changes);
  /// Starts no more steps.
  void BeginShutdown() { shutting_down_ = true; }
  /// Returns the record of `pool` as last read or written; adds an empty one if
  /// there is none.
  const PoolRecord& RecordOf(const std::string& pool) {
    return pools_[pool].record;
  }

 private:
  struct PoolState {
    PoolRecord record;
    std::int64_t version = 0;
    /// Whether a swap of the record is in flight.
    bool swap_in_flight = false;
    /// Instances that reported no runs when drained, with the place under which
    /// they were drained.
    std::map<std::string, BudgetPlace> drained;
    /// Instances that were admitted again, with the place under which they
    /// were.
    std::map<std::string, BudgetPlace> admitted;
    /// Instances with a drain or admit call in flight.
    std::set<std::string> calls_in_flight;
  };

  bool IsHome(const std::string& subject) const;
  void UpdateView();
  void TickAssignments();
  /// Inputs that all pools of one reconciliation round share.
  struct Round {
    ViewPtr view;
    std::map<std::string, std::vector<std::string>> members;
    std::map<std::string, std::string> desired_pools;
  };

  Round BeginRound(const ViewPtr& view) const;
  void TickPool(const Round& round, const std::string& pool, int budget);
  using Confirmations = std::map<std::string, BudgetPlace>;

  /// Returns the instances whose confirmation is for the place that they hold
  /// now.
  static std::vector<std::string> ConfirmedUnderCurrentPlace(
      const PoolState& state, const Confirmations& confirmations);
  PoolSnapshot SnapshotOf(const Round& round, const std::string& pool,
                          int budget) const;
  void Execute(const std::string& pool, const FleetAction& action);
  void SwapRecord(const std::string& pool, const PoolRecord& next);
  void CallDrain(const std::string& pool, const WorkerInfo& worker);
  void CallAdmit(const std::string& pool, const WorkerInfo& worker);
  void Reassign(const FleetAction& action);
  void SwapAssignments(const Assignments& next);

  Context context_;
  FleetDelegate* delegate_;
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
