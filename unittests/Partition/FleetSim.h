// A fleet on a virtual clock: store, workers and instances as in-process fakes
// that check the system's promises at each event.
#ifndef BASILUSHER_UNITTESTS_PARTITION_FLEETSIM_H_
#define BASILUSHER_UNITTESTS_PARTITION_FLEETSIM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Partition/PartitionOwner.h"

namespace basilusher {

/// Virtual time and timers.
class SimTimers : public TimerService, public Clock {
 public:
  void After(Millis delay, std::function<void()> task) override;
  TimePoint Now() const override { return now_; }
  /// Runs all that is due within `duration`.
  void Run(Millis duration);

 private:
  struct Entry {
    TimePoint at;
    std::int64_t order;
    std::function<void()> task;
  };
  struct Later {
    bool operator()(const Entry& a, const Entry& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  std::priority_queue<Entry, std::vector<Entry>, Later> queue_;
  TimePoint now_{Millis(1000000)};
  std::int64_t order_ = 0;
};

/// How calls to a fake fare.
enum class SimFault {
  kNone,
  /// Nothing is done and the caller is told so.
  kRefused,
  /// Nothing is done and no answer comes.
  kRequestLost,
  /// It is done and no answer comes.
  kAnswerLost,
  /// It is done seconds later and no answer comes.
  kDelayed,
};

class SimStore : public TransactionalStore {
 public:
  explicit SimStore(SimTimers* timers) : timers_(timers) {}

  void Get(const std::string& key, StoreAnswerCallback done) override;
  void List(const std::string& prefix, StoreAnswerCallback done) override;
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done) override;
  void Commit(const Txn& txn, StoreAnswerCallback done) override;
  void GrantLease(Millis ttl, StoreAnswerCallback done) override;
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override;
  void EndLease(std::int64_t lease, StoreAnswerCallback done) override;

  /// Writes at once, as operators, fronts and workers do.
  std::int64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Drops the history, so that watches must list again.
  void Compact() { compacted_ = revision_; }
  bool Has(const std::string& key) const { return items_.contains(key); }
  std::string Value(const std::string& key) const;

  SimFault fault = SimFault::kNone;
  /// Commits that write a key under one of these are refused, as beyond a rate.
  std::vector<std::string> refused_prefixes;
  std::int64_t commits = 0;
  int leases_ended = 0;

 private:
  bool HasRefusedPrefix(const Txn& txn) const;
  bool InjectFault(const StoreAnswerCallback& done, bool write);
  void Answer(const StoreAnswerCallback& done, StoreAnswer answer);
  StoreAnswer Apply(const Txn& txn);
  void PollWatch(const std::string& prefix, std::int64_t revision,
                 TimePoint until, const StoreAnswerCallback& done);

  SimTimers* timers_;
  std::map<std::string, StoredItem> items_;
  std::vector<StoredItem> history_;
  std::int64_t revision_ = 1;
  std::int64_t compacted_ = 0;
};

/// One life of a worker.
struct SimWorker {
  struct Run {
    std::int64_t run = 0;
    TimePoint started_at{};
    TimePoint ends_at{};
    EndKind kind = EndKind::kDone;
    bool stopping = false;
    Resources charge;
    std::string checkpoint;
    bool serving = false;
    bool filler = false;
    int pace = 100;
  };
  std::string id;
  std::string pool;
  Resources room{.cpu_millis = 32000, .memory_mb = 65536};
  bool alive = true;
  /// Calls of the present owner, and their answers.
  SimFault fault = SimFault::kNone;
  /// Share of tasks that fail there.
  bool fails_all_tasks = false;
  /// Tail of tasks that serve, alone and for each filler at full pace.
  std::int64_t base_tail_ms = 20;
  std::int64_t filler_tail_ms = 0;
  /// Tasks stand still.
  bool hangs = false;
  /// Orders under tokens from this one on do not reach the worker.
  std::optional<std::int64_t> unreachable_from_fence;
  std::int64_t fence = 0;
  std::int64_t lease_ms = 0;
  /// End of the last lease that ran out.
  TimePoint lease_expired_at{};
  TimePoint born_at{};
  std::int64_t last_end_number = 0;
  std::map<TaskId, Run> running;
  std::vector<EndedTask> ended;
  /// When each of the ends came.
  std::map<std::int64_t, TimePoint> end_times;
  std::map<TaskId, std::int64_t> highest_run;
};

/// Workers and instances; one worker lives on each instance that is awake.
class SimFleet : public WorkerGateway, public InstanceProvider {
 public:
  SimFleet(SimTimers* timers, SimStore* store);

  // WorkerGateway.
  void Start(const WorkerAddress& worker, const StartCommand& order,
             std::function<void(CommandResult)> done) override;
  void Stop(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            std::int64_t fence,
            std::function<void(CommandResult)> done) override;
  void Hold(const WorkerAddress& worker, const HoldCommand& order,
            std::function<void(const HoldAnswer&)> done) override;
  void Pace(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            int percent, std::int64_t fence,
            std::function<void(CommandResult)> done) override;
  // InstanceProvider.
  void List(std::function<void(const InstanceList&)> done) override;
  void Move(const std::string& instance, const std::string& pool,
            std::int64_t fence,
            std::function<void(InstanceResult)> done) override;
  void Maintain(const std::string& instance, std::int64_t wave,
                std::int64_t fence,
                std::function<void(InstanceResult)> done) override;

  /// Adds an instance with a worker.
  std::string AddWorker(const std::string& pool);
  /// The worker's process ends without a word.
  void Crash(const std::string& id);
  /// The worker ends and its instance leaves for good.
  void Remove(const std::string& id);
  /// Announces that the worker leaves.
  void Drain(const std::string& id);
  SimWorker* Find(const std::string& id);
  std::vector<std::string> AliveWorkerIds() const;
  /// Tail of the tasks that serve on the worker now.
  static std::int64_t TailLatencyMs(const SimWorker& worker);
  void RegisterJob(const JobSpec& job);
  /// The job's cancellation was acknowledged now.
  void RecordCancellation(const std::string& job);

  /// Promises broken so far, in words.
  const std::vector<std::string>& Violations() const { return violations_; }
  int DoneTasks(const std::string& job) const;
  int RunningTasks(const std::string& job) const;
  std::int64_t StartedRuns() const { return started_runs_; }
  /// Starts without the worker's own ticket are refused.
  bool requires_tickets = false;
  /// A look lists this many ends at most.
  std::size_t max_ends_per_poll = 500;
  int starts_without_ticket = 0;
  int peak_in_maintenance = 0;
  int moves = 0;

 private:
  struct SimInstance {
    std::string id;
    std::string pool;
    InstanceState state = InstanceState::kUp;
    std::string worker;
    std::int64_t fence = 0;
    std::set<std::int64_t> waves;
  };

  void ReportViolation(const std::string& what);
  std::string NewWorker(const std::string& pool);
  void WriteDirectoryEntry(const SimWorker& worker, bool draining);
  CommandResult DoStart(SimWorker* worker, const StartCommand& order);
  HoldAnswer DoHold(SimWorker* worker, const HoldCommand& order);
  void WaitHold(const std::string& id, HoldCommand order, TimePoint until,
                const std::function<void(const HoldAnswer&)>& done);
  void EndDueRuns(SimWorker* worker);
  void EndRun(SimWorker* worker, const TaskId& task, EndKind kind);
  std::int64_t WorkerClockMs(const SimWorker& worker) const;
  void CheckStart(const SimWorker& worker, const StartCommand& order,
                  const StepSpec& step);
  void CheckAcknowledgedEnd(const SimWorker& worker, const EndedTask& end);
  /// How calls of the owner with this token fare.
  static SimFault FaultFor(const SimWorker& worker, std::int64_t fence);
  template <typename Result>
  void CallWithFault(SimFault fault, std::function<Result()> effect,
                     std::function<void(Result)> done, Result refused,
                     Result unknown);
  void TakeDown(SimInstance* instance, InstanceState state, Millis time,
                const std::string& pool);

  SimTimers* timers_;
  SimStore* store_;
  std::map<std::string, std::unique_ptr<SimWorker>> workers_;
  std::map<std::string, SimInstance> instances_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, TimePoint> cancelled_at_;
  std::map<TaskId, std::int64_t> done_run_;
  std::map<TaskId, TimePoint> last_start_;
  /// Ends that are done and acknowledged: they stand for good.
  std::set<TaskId> acknowledged_done_;
  std::map<TaskId, int> acknowledged_failures_;
  std::vector<std::string> violations_;
  std::int64_t started_runs_ = 0;
  int next_id_ = 0;
  int in_maintenance_ = 0;
};

/// Directory formats of the fakes: JSON with the product's own names.
class SimFormats : public DirectoryFormats {
 public:
  std::string ConfigKey() const override { return "config/now"; }
  std::string OperatorPrefix() const override { return "config/"; }
  std::string WorkerPrefix() const override { return "workers/"; }
  std::string WaveStatusKey(std::int64_t wave) const override;
  std::shared_ptr<const Catalog> DecodeCatalog(
      const std::string& bytes) const override;
  std::optional<WorkerEntry> DecodeWorker(
      const std::string& key, const std::string& bytes) const override;
  std::optional<MaintenanceWave> DecodeWave(
      const std::string& key, const std::string& bytes) const override;
  std::string EncodeWaveStatus(bool finished) const override;
};

/// The whole: one present owner at a time, followed by others.
class FleetSim {
 public:
  FleetSim();
  ~FleetSim();

  /// Begins the next term; the former owner is not told unless `close_former`.
  void BeginTerm(bool close_former = true);
  void Run(Millis duration) { timers.Run(duration); }
  /// Stores a job as a front does.
  void Submit(const JobSpec& job);
  void Cancel(const std::string& job);
  JobState StateOf(const std::string& job);
  static JobSpec MakeJob(const std::string& id, int tasks, std::int64_t ms);

  SimTimers timers;
  SimStore store{&timers};
  SimFleet fleet{&timers, &store};
  SimFormats formats;
  PlacementAdvisor* advisor = nullptr;
  Catalog catalog;
  std::shared_ptr<PartitionOwner> owner;
  std::vector<std::shared_ptr<PartitionOwner>> former_owners;
  /// Whether the present owner can confirm its term.
  bool can_confirm_term = true;

 private:
  void CloseDeposedOwner(std::int64_t term);

  std::map<std::int64_t, TimePoint> confirmed_at_;
  std::map<std::int64_t, std::weak_ptr<PartitionOwner>> owners_;
  std::int64_t term_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_PARTITION_FLEETSIM_H_
