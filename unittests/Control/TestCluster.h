// Simulated cluster: entries on a fake clock, network, store and workers, with
// independent records against which the system's guarantees are checked.
#ifndef BASILUSHER_UNITTESTS_CONTROL_TESTCLUSTER_H_
#define BASILUSHER_UNITTESTS_CONTROL_TESTCLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Control/ClaimHome.h"
#include "basilusher/Control/ConfigAgent.h"
#include "basilusher/Control/FleetAgent.h"
#include "basilusher/Control/FrontDoor.h"
#include "basilusher/Control/MembershipAgent.h"
#include "basilusher/Control/PlaceHome.h"
#include "basilusher/Control/SlotHome.h"
#include "basilusher/Control/TaskHome.h"
#include "basilusher/Standin/WorkerCore.h"
#include "basilusher/Store/MemoryStore.h"

namespace basilusher::testing {

/// Delay of a message or a call between processes.
inline constexpr Millis kNetworkDelay{1};

class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now; }
  TimePoint now{Millis(1000000)};
};

/// A protocol step of an entry, at which a fault can be injected.
struct StepEvent {
  /// Kind of the message, or "swap <key>", "dispatch", "answer", "task start",
  /// "task renew", "task stop".
  std::string name;
  std::string instance;
};

/// Effect of an injected fault on one message or call.
struct FaultEffect {
  Millis delay{0};
  bool twice = false;
  bool lose_answer = false;
};

class TestCluster;

/// One incarnation of one entry.
class Node : public Bus,
             public Dispatcher,
             public HolderFencing,
             public FleetDelegate,
             public TaskDelegate {
 public:
  Node(TestCluster* cluster, const std::string& instance,
       std::int64_t incarnation);
  ~Node() override;

  void Send(const std::string& to, const Message& message) override;
  void Dispatch(const DispatchCommand& command) override;
  void Finish(const std::string& request_id, const Answer& answer) override;
  void CheckRun(const WorkerInfo& worker, const std::string& request_id,
                int attempt) override;
  void StopRun(const std::string& request_id) override;
  void BarHolder(const PeerId& holder, std::function<void(bool)> done) override;
  void Drain(const WorkerInfo& worker, std::int64_t fence,
             std::function<void(int running)> done) override;
  void Admit(const WorkerInfo& worker, std::int64_t fence,
             std::function<void(bool admitted)> done) override;
  void Release(const WorkerInfo& worker, std::int64_t maintained) override;
  void Submit(const Submission& submission) override;
  void Report(const std::string& request_id, int attempt,
              const DispatchResult& result) override;
  void Start(const DispatchCommand& command, const std::string& body,
             std::function<void(DispatchStatus)> done) override;
  void Renew(const WorkerInfo& worker, const std::string& request_id,
             std::function<void(const TaskRunReport&)> done) override;
  void Stop(const WorkerInfo& worker, const std::string& request_id,
            std::function<void(const TaskRunReport&)> done) override;
  void Reply(const TaskAnswer& answer) override;
  void Deliver(const PeerId& from, const Message& message);
  void Tick();

  TestCluster* cluster;
  EntryInfo info;
  bool alive = true;
  bool paused = false;
  bool store_cut = false;
  bool peers_cut = false;
  bool workers_cut = false;
  bool stopping = false;
  TimePoint stop_asked{};
  /// Revision of the store up to which its changes were passed to the
  /// components.
  std::int64_t watch_revision = 0;
  std::int64_t highest_version = 0;
  /// Events for this node that became due while it was paused.
  std::vector<std::function<void()>> deferred_work;
  ViewHub views;
  Counters counters;
  SeededRandom random;
  std::unique_ptr<KeyValueStore> store;
  std::unique_ptr<MembershipAgent> membership;
  std::unique_ptr<ConfigAgent> config;
  std::unique_ptr<SlotHome> slots;
  std::unique_ptr<PlaceHome> places;
  std::unique_ptr<ClaimHome> claims;
  std::unique_ptr<FrontDoor> front;
  std::unique_ptr<FleetAgent> fleet;
  std::unique_ptr<TaskHome> tasks;

 private:
  /// One call about a task's run; its answer may be lost.
  void CallTask(const std::string& step,
                const std::function<WorkerTaskState()>& call,
                const std::function<void(const TaskRunReport&)>& done);
};

/// A caller's request and its answer.
struct Call {
  std::string request_id;
  std::string node;
  std::string team;
  std::string tag;
  bool at_most_once = false;
  TimePoint sent_at{};
  int answers = 0;
  Answer answer;
  bool node_lost = false;
};

class TestCluster {
 public:
  explicit TestCluster(std::uint64_t seed);
  ~TestCluster();

  /// Advances the fake clock by `span`, in steps of kTimeStep.
  void Advance(Millis span);
  /// Sends a request to `node`; repeated tags share an idempotency key.
  void Request(const std::string& node, const std::string& queue,
               const std::string& team, const std::string& tag);
  /// Asks about the task `id` of team "a" by way of `node`; a submitted task
  /// works for `work`. Returns the answer, with an empty state without one.
  TaskAnswer AskTask(const std::string& node, TaskOperation operation,
                     const std::string& id, Millis work = Millis(0));
  /// State of a task as answered to `node` by its home; empty without an
  /// answer.
  std::string TaskState(const std::string& node, const std::string& id);
  /// Publishes TestIntentDocument with this limit of team "a"; `w3_pool` is
  /// the pool of worker w3 by the intent.
  void Publish(const std::string& node, int limit_a,
               const std::string& w3_pool = "spare");
  /// Makes the platform request maintenance of a worker.
  void RequestMaintenance(const std::string& worker);
  /// Whether the stored record of `pool` holds a place of the availability
  /// budget for `worker`.
  bool HasBudgetPlace(const std::string& pool, const std::string& worker) const;
  Assignments StoredAssignments() const;
  void AddKey(const std::string& node, const std::string& team);
  void WithdrawKey(const std::string& node, const std::string& team);
  void Crash(const std::string& node);
  void Restart(const std::string& node);
  void Pause(const std::string& node);
  void Resume(const std::string& node);
  void StopGracefully(const std::string& node);
  /// Shows a worker as leaving, or no longer as leaving, in the platform's
  /// list.
  void SetLeaving(const std::string& worker, bool is_leaving);
  Node* Get(const std::string& name) { return nodes.at(name).get(); }
  /// Checks all requests at the end of a test; adds to `violations`.
  void CheckEnd();

  void RunAfter(Millis delay, std::function<void()> work);
  void RunAfterOn(Node* node, Millis delay, std::function<void()> work);
  /// Reports a step to `fault_hook`; returns the effect of the injected fault.
  FaultEffect OnStep(const StepEvent& event);
  int RunningOf(const std::string& team) const;
  int RunsOf(const std::string& tag) const;
  /// Version of the intent that the store has accepted.
  std::int64_t AcceptedVersion() const;
  /// Pool of `worker` by the accepted intent.
  std::string WantedPoolOf(const std::string& worker);

  FakeClock clock;
  SeededRandom random;
  MemoryStore store;
  bool store_down = false;
  Millis store_delay{1};
  std::map<std::string, std::unique_ptr<Node>> nodes;
  /// Ended incarnations of entries, kept until the end of the test because
  /// pending events refer to them.
  std::vector<std::unique_ptr<Node>> ended_nodes;
  std::map<std::string, WorkerCore> workers;
  std::map<std::string, WorkerInfo> worker_infos;
  std::map<std::string, Call> calls;
  /// Answers to calls about tasks, by call id.
  std::map<std::string, TaskAnswer> task_answers;
  std::map<std::string, std::string> keys;
  /// Withdrawals sent to an entry and not accepted yet: team and key id. A
  /// withdrawal is accepted once the store or a majority of entries has it;
  /// before that the operator's answer says that it is not in force.
  std::map<std::string, std::string> withdrawing;
  /// When the withdrawal of a team's key was accepted.
  std::map<std::string, TimePoint> withdrawn;
  /// When the platform's list showed a worker as leaving.
  std::map<std::string, TimePoint> leaving;
  std::function<FaultEffect(const StepEvent&)> fault_hook;
  std::vector<std::string> violations;
  int limit_a = 4;
  /// Highest limit of team "a" that may still be in force.
  int allowed_a = 4;
  int published = 0;
  std::int64_t next_incarnation = 1;

 private:
  void Step();
  void CheckNow();
  void CheckWithdrawals();
  void CheckFleet();
  bool IsTombstoneStored(const std::string& id) const;
  std::size_t TombstoneHolders(const std::string& id) const;
  void AddViolation(const std::string& text);

  std::multimap<TimePoint, std::function<void()>> events_;
  Assignments last_assignments_;
  TimePoint next_tick_{};
  int next_request_ = 0;
};

/// The intent document that the cluster publishes.
Json TestIntentDocument(int limit_a, const std::string& w3_pool);

}  // namespace basilusher::testing

#endif  // BASILUSHER_UNITTESTS_CONTROL_TESTCLUSTER_H_
