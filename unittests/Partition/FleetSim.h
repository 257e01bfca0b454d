// Simulated fleet on a virtual clock: in-process fakes of the store, the
// workers and the instances. The fakes check the system's invariants at every
// event.
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

/// Virtual clock and timers; time advances only in Run().
class SimTimers : public TimerService, public Clock {
 public:
  void After(Millis delay, std::function<void()> task) override;
  TimePoint Now() const override { return now_; }
  /// Advances the clock by `duration` and runs each timer when it is due.
  void Run(Millis duration);
  /// Advances the clock without running a timer, as if the process had been
  /// paused or busy: all timers that are due run late.
  void Stall(Millis duration) { now_ += duration; }

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

/// Fault injected into calls to a fake. The fakes say where one does not apply.
enum class SimFault {
  kNone,
  /// The call has no effect and the caller gets an error.
  kRefused,
  /// The call has no effect and times out.
  kRequestLost,
  /// The call takes effect and times out.
  kAnswerLost,
  /// The call times out and takes effect seconds later.
  kDelayed,
};

/// Simulated store with revisions, history and watches.
class SimStore : public TransactionalStore {
 public:
  explicit SimStore(SimTimers* timers) : timers_(timers) {}

  void Get(const std::string& key, StoreAnswerCallback done) override;
  void List(const std::string& prefix, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override;
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override;
  void Commit(const Txn& txn, StoreAnswerCallback done) override;
  void GrantLease(Millis ttl, StoreAnswerCallback done) override;
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override;
  void EndLease(std::int64_t lease, StoreAnswerCallback done) override;

  /// Writes at once and without an injected fault, as operators, front ends and
  /// workers do.
  std::int64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Compacts the history: watches from an earlier revision fail and have to
  /// list again.
  void Compact() { compacted_ = revision_; }
  bool Has(const std::string& key) const { return items_.contains(key); }
  std::string Value(const std::string& key) const;

  /// Applies to Get, List, Watch and Commit; kAnswerLost and kDelayed apply
  /// only to Commit.
  SimFault fault = SimFault::kNone;
  /// Commits that write a key under one of these prefixes are refused, as by a
  /// store that limits the rate of writes.
  std::vector<std::string> refused_prefixes;
  /// Time until changes are reported to a watch, and the prefix whose watches
  /// are delayed; all are if it is empty.
  Millis watch_delay{0};
  std::string delayed_prefix;
  std::int64_t commits = 0;
  /// Calls of List, by prefix.
  std::map<std::string, int> lists;
  int leases_ended = 0;

 private:
  bool IsRefused(const Txn& txn) const;
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

/// One node's connection to the store, which can be cut while others reach it.
class StoreConnection : public TransactionalStore {
 public:
  StoreConnection(SimTimers* timers, SimStore* store)
      : timers_(timers), store_(store) {}

  void Get(const std::string& key, StoreAnswerCallback done) override;
  void List(const std::string& prefix, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override;
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override;
  void Commit(const Txn& txn, StoreAnswerCallback done) override;
  void GrantLease(Millis ttl, StoreAnswerCallback done) override;
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override;
  void EndLease(std::int64_t lease, StoreAnswerCallback done) override;

  bool cut = false;

 private:
  /// Times the call out and returns true if the connection is cut.
  bool FailIfCut(const StoreAnswerCallback& done);
  /// Loses answers that arrive after the cut.
  StoreAnswerCallback Guard(const StoreAnswerCallback& done);

  SimTimers* timers_;
  SimStore* store_;
};

/// One incarnation of a worker, with its tasks and its lease.
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
    bool lasting = false;
    int pace = 100;
  };
  std::string id;
  std::string pool;
  std::string data_centre;
  /// Where it listens; if empty, an address of its own that is named after it.
  std::string address;
  Resources room{.cpu_millis = 32000, .memory_mb = 65536};
  bool alive = true;
  /// Another worker listens at the address of this dead one.
  bool address_reused = false;
  /// Fault injected into the owner's calls; kRefused and kDelayed do not apply
  /// to Hold.
  SimFault fault = SimFault::kNone;
  /// Calls to Hold time out and take effect seconds later.
  bool delays_holds = false;
  /// Starts, or calls to Hold, time out for the caller and are executed by
  /// SimFleet::ReleaseHeldCalls().
  bool holds_back_starts = false;
  bool holds_back_polls = false;
  /// Reading of the incarnation's clock at its start; not negative.
  std::int64_t clock_offset_ms = 0;
  /// Every task that starts on the worker fails.
  bool fails_all_tasks = false;
  /// Tail latency of serving tasks without fillers, and its increase for each
  /// filler at full pace.
  std::int64_t base_tail_ms = 20;
  std::int64_t filler_tail_ms = 0;
  /// Tasks make no progress; they end only when they are stopped or the lease
  /// expires. SimFleet::SetHangs() changes it while tasks run.
  bool hangs = false;
  /// Calls with this fencing token or a higher one do not reach the worker.
  std::optional<std::int64_t> unreachable_from_fence;
  /// Calls with a lower fencing token do not reach the worker.
  std::optional<std::int64_t> unreachable_below_fence;
  /// Highest fencing token seen.
  std::int64_t fence = 0;
  /// End of the lease on the worker's clock.
  std::int64_t lease_ms = 0;
  /// Expiry time of the last lease that ran out.
  TimePoint expired_at{};
  TimePoint born_at{};
  std::int64_t last_end_number = 0;
  std::map<TaskId, Run> running;
  std::vector<EndedTask> ended;
  /// End time of each ended run, by its number.
  std::map<std::int64_t, TimePoint> end_times;
  std::map<TaskId, std::int64_t> highest_run;
};

/// Where the worker listens.
std::string AddressOf(const SimWorker& worker);

/// When the worker's lease ends.
TimePoint LeaseEndOf(const SimWorker& worker);

/// Simulated workers and instances. An instance runs at most one worker, and
/// none after a move to the spare pool.
class SimFleet : public WorkerGateway, public InstanceProvider {
 public:
  SimFleet(SimTimers* timers, SimStore* store);

  // WorkerGateway.
  void Start(const WorkerAddress& worker, const StartCommand& command,
             std::function<void(const StartAnswer&)> done) override;
  void Stop(const WorkerAddress& worker, const TaskId& task, std::int64_t run,
            std::int64_t fence,
            std::function<void(CommandResult)> done) override;
  void Hold(const WorkerAddress& worker, const HoldCommand& command,
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

  /// Adds an instance with a worker and returns the worker's id; the instance's
  /// id is the same behind "m-".
  std::string AddWorker(const std::string& pool,
                        const std::string& data_centre = {});
  /// Adds an instance without a worker to the spare pool; returns its id.
  std::string AddSpare(const std::string& data_centre);
  /// The worker's process crashes; its directory entry expires 4.5 s later.
  void Crash(const std::string& id);
  /// Crashes the worker; its instance runs a worker again after
  /// `restart_delay`, as `restart_mode` says.
  void CrashAndRestart(const std::string& id);
  /// Changes the worker's room and its directory entry.
  void SetRoom(const std::string& id, const Resources& room);
  /// Crashes the worker and removes its instance for good.
  void Remove(const std::string& id);
  /// The worker listens at another address from now on. Its directory entry
  /// shows it.
  void ChangeAddress(const std::string& id, const std::string& address);
  /// Number of calls to the worker that are held back.
  std::size_t HeldCalls(const std::string& id) const;
  /// Has the process that lives now execute the calls that are held back, in
  /// the order in which they were sent. Without a process they have no effect.
  void ReleaseHeldCalls(const std::string& id);
  /// Writes the worker's directory entry with the start of its present
  /// incarnation.
  void ListIncarnation(const std::string& id);
  /// Sets SimWorker::hangs. What has ended or was killed by now stays so, and a
  /// run that is overdue ends when the worker no longer hangs.
  void SetHangs(const std::string& id, bool hangs);
  /// Marks the worker as draining in its directory entry.
  void Drain(const std::string& id);
  SimWorker* Find(const std::string& id);
  std::vector<std::string> AliveWorkerIds() const;
  /// Present tail latency of the worker's serving tasks.
  static std::int64_t TailLatencyMs(const SimWorker& worker);
  /// No task may start in the data centre later than `evacuation_bound` from
  /// now on, until EndEvacuation().
  void RecordEvacuation(const std::string& data_centre);
  void EndEvacuation(const std::string& data_centre);
  /// Starts in the data centre so far.
  int StartsIn(const std::string& data_centre) const;
  int RunningIn(const std::string& data_centre) const;
  /// Pool of the instance.
  std::string PoolOf(const std::string& instance) const;
  /// Makes the job known to the workers; a start of any other job is a
  /// violation.
  void RegisterJob(const JobSpec& job);
  /// Records that the job's cancellation was acknowledged now.
  void RecordCancellation(const std::string& job);

  /// Invariant violations so far, each with its time and description.
  const std::vector<std::string>& Violations() const { return violations_; }
  int DoneTasks(const std::string& job) const;
  int RunningTasks(const std::string& job) const;
  std::int64_t StartedRuns() const { return started_runs_; }
  int StartsOf(const TaskId& task) const;
  /// Tasks that crash each worker that starts them, `crash_delay` later.
  std::set<TaskId> crashing_tasks;
  Millis crash_delay{10};
  Millis restart_delay{3200};
  enum class RestartMode {
    kNewIdSameAddress,
    kNewIdNewAddress,
    kSameId,
  };
  RestartMode restart_mode = RestartMode::kNewIdSameAddress;
  /// The list of instances shows at once that a worker has crashed.
  bool list_shows_crashes = true;
  /// Starts without the worker's own ticket are refused.
  bool requires_tickets = false;
  /// Time until a start or stop reaches its worker; calls to Hold overtake it.
  Millis command_delay{0};
  /// Time from a task's start until it works at full speed.
  Millis startup{300};
  /// Runs on workers that nobody calls end when they are due or when their
  /// lease expires, whichever is first. Otherwise the next call ends them, as
  /// done if they were due by then, since then if that was within the lease.
  bool ends_on_time = false;
  /// Most ended runs in the answer to one Hold call.
  std::size_t max_ends_per_poll = 500;
  /// Longest time after the acknowledgement of an evacuation within which a
  /// task may start there.
  Millis evacuation_bound{5000};
  /// Tasks that end by themselves report their progress. Otherwise they report
  /// 100 percent once they work, as lasting tasks do.
  bool reports_progress = false;
  /// Duration of the tasks of these jobs, if not as declared.
  std::map<std::string, Millis> actual_durations;
  int starts_without_ticket = 0;
  int peak_in_maintenance = 0;
  int moves = 0;

 private:
  struct SimInstance {
    std::string id;
    std::string pool;
    InstanceState state = InstanceState::kUp;
    std::string worker;
    std::string data_centre;
    /// Worker whose crash has taken the instance down.
    std::string crashed_worker;
    std::int64_t fence = 0;
    std::set<std::int64_t> waves;
  };

  void StartNow(const WorkerAddress& worker, const StartCommand& command,
                const std::function<void(const StartAnswer&)>& done);
  void StopNow(const WorkerAddress& worker, const TaskId& task,
               std::int64_t run, std::int64_t fence,
               const std::function<void(CommandResult)>& done);
  void AddViolation(const std::string& what);
  std::string NewWorker(const std::string& pool,
                        const std::string& data_centre);
  void WriteDirectoryEntry(const SimWorker& worker, bool draining);
  CommandResult DoStart(SimWorker* worker, const StartCommand& command);
  HoldAnswer DoHold(SimWorker* worker, const HoldCommand& command);
  void WaitHold(const WorkerAddress& address, HoldCommand command,
                TimePoint until,
                const std::function<void(const HoldAnswer&)>& done);
  void EndDueRuns(SimWorker* worker);
  void EndRun(SimWorker* worker, const TaskId& task, EndKind kind);
  void EndRunAt(SimWorker* worker, const TaskId& task, EndKind kind,
                TimePoint at);
  void EndRunsOnTime(SimWorker* worker);
  std::int64_t ClockMs(const SimWorker& worker) const;
  /// Holds a call back: `effect` runs in ReleaseHeldCalls().
  void HoldBack(const SimWorker& worker, std::function<void()> effect);
  void CheckStart(const SimWorker& worker, const StartCommand& command,
                  const StepSpec& step);
  void CheckGangCheckpoint(const StartCommand& command);
  void CheckAcknowledgedEnd(const SimWorker& worker, const EndedTask& end);
  void CheckCrashes(const TaskId& task);
  void Restart(const std::string& id);
  /// Ends the other members of a gang that has lost one.
  void BreakGang(const TaskId& lost, const std::string& lost_worker);
  /// Fault for a call with this token; requests to a dead or unreachable worker
  /// are lost.
  static SimFault FaultFor(const SimWorker& worker,
                           const WorkerAddress& address, std::int64_t fence);
  template <typename Result>
  void CallWithFault(SimFault fault, std::function<Result()> effect,
                     std::function<void(Result)> done, Result refused,
                     Result unknown);
  void TakeDown(SimInstance* instance, InstanceState state, Millis time,
                const std::string& pool);

  SimTimers* timers_;
  SimStore* store_;
  std::map<std::string, std::unique_ptr<SimWorker>> workers_;
  std::map<std::string, std::vector<std::function<void()>>> held_calls_;
  std::map<std::string, SimInstance> instances_;
  std::map<std::string, JobSpec> jobs_;
  std::map<std::string, TimePoint> cancelled_at_;
  /// When the evacuation of each data centre was acknowledged.
  std::map<std::string, TimePoint> evacuated_at_;
  std::map<std::string, int> starts_in_;
  std::map<TaskId, std::int64_t> done_run_;
  std::map<TaskId, TimePoint> last_start_;
  /// Checkpoint of each gang's run, by the first member.
  std::map<std::pair<TaskId, std::int64_t>, std::string> gang_checkpoints_;
  /// Tasks whose success was acknowledged: they must not start again.
  std::set<TaskId> acknowledged_;
  std::map<TaskId, int> acknowledged_failures_;
  std::map<TaskId, int> starts_;
  /// Workers that crashed under each task that crashes them.
  std::map<TaskId, int> crashes_;
  std::map<TaskId, int> starts_after_three_crashes_;
  std::vector<std::string> violations_;
  std::int64_t started_runs_ = 0;
  int next_id_ = 0;
  int in_maintenance_ = 0;
};

/// Directory formats of the fakes, in JSON.
class SimFormats : public DirectoryFormats {
 public:
  std::string ConfigKey() const override { return "config/now"; }
  std::string OperatorPrefix() const override { return "config/"; }
  std::string WorkerPrefix() const override { return "workers/"; }
  std::string WaveStatusKey(std::int64_t wave) const override;
  /// A configuration whose version the bytes give in digits.
  std::shared_ptr<const Catalog> DecodeCatalog(
      const std::string& bytes) const override;
  std::optional<WorkerEntry> DecodeWorker(
      const std::string& key, const std::string& bytes) const override;
  std::optional<MaintenanceWave> DecodeWave(
      const std::string& key, const std::string& bytes) const override;
  std::optional<std::string> DecodeEvacuation(
      const std::string& key) const override;
  std::string EncodeWaveStatus(bool finished) const override;
};

/// Store, fleet and owners. One owner is current; BeginTerm() replaces it. With
/// BASILUSHER_TRACE in the environment the owners' log goes to standard error.
class FleetSim {
 public:
  FleetSim();
  ~FleetSim();

  /// Begins the next term with a new owner. Unless `close_former`, the former
  /// owner goes on until it learns of the new term.
  void BeginTerm(bool close_former = true);
  /// The former owner tells the current one of its term's end, as a node does
  /// that ends its term as planned. Precondition: the former owner is closed.
  void TellOfFormerEnd() {
    owner->NotePreviousTermEnded(former_owners.back()->DescribeEnd());
  }
  void Run(Millis duration) { timers.Run(duration); }
  /// Stores a job as a front end does, offered in the current term unless the
  /// job names another.
  void Submit(const JobSpec& job);
  /// Stores the cancellation and tells the owner, as a front end does. Unless
  /// `owner_told`, the message to the owner is lost.
  void Cancel(const std::string& job, bool owner_told = true);
  /// The worker's process ends and starts again under its id after `downtime`.
  /// Its directory entry does not change. The new incarnation's clock begins
  /// at `clock_offset_ms`.
  void Restart(const std::string& worker, Millis downtime,
               std::int64_t clock_offset_ms = 0);
  JobState StateOf(const std::string& job);
  static JobSpec MakeJob(const std::string& id, int tasks, std::int64_t ms);

  SimTimers timers;
  SimStore store{&timers};
  SimFleet fleet{&timers, &store};
  SimFormats formats;
  /// What later owners use.
  PlacementAdvisor* advisor = nullptr;
  InstanceProvider* instances = &fleet;
  const EvacuationView* evacuations = nullptr;
  WorkerGateway* workers = &fleet;
  Catalog catalog;
  std::shared_ptr<PartitionOwner> owner;
  std::vector<std::shared_ptr<PartitionOwner>> former_owners;
  /// What the owner before the current one told of its leases when it ended.
  LongLeases former_leases;
  /// OwnerOptions::workspace_shares of later owners.
  bool workspace_shares = false;
  /// OwnerOptions::starts_stored_since of later owners.
  std::int64_t starts_stored_since = 1;
  /// OwnerOptions::task_lease of later owners.
  Millis task_lease{4000};
  /// OwnerOptions::rank_all_pools of later owners.
  bool rank_all_pools = false;
  /// OwnerOptions::learned_durations and counters of later owners.
  bool learned_durations = false;
  Counters* counters = nullptr;
  /// The current owner can confirm its term.
  bool can_confirm_term = true;
  /// Connection to the store of the owner of each term. An owner that is cut
  /// off cannot confirm its term.
  std::map<std::int64_t, std::unique_ptr<StoreConnection>> connections;

 private:
  void CloseDeposedOwner(std::int64_t term);

  std::map<std::int64_t, TimePoint> confirmed_at_;
  std::map<std::int64_t, std::weak_ptr<PartitionOwner>> owners_;
  std::int64_t term_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_PARTITION_FLEETSIM_H_
