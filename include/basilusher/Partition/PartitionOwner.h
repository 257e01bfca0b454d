// Owner of the fleet's work during one term: places tasks on workers, keeps
// their leases, records their ends and takes over what an earlier owner left.
#ifndef BASILUSHER_PARTITION_PARTITIONOWNER_H_
#define BASILUSHER_PARTITION_PARTITIONOWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Net/IoLoop.h"
#include "basilusher/Partition/Recorder.h"
#include "basilusher/Partition/WorkerLink.h"
#include "basilusher/Schedule/AdviceCache.h"
#include "basilusher/Schedule/OutlierDetector.h"
#include "basilusher/Schedule/Pacing.h"
#include "basilusher/Schedule/Placement.h"
#include "basilusher/Schedule/PoolPlan.h"
#include "basilusher/Schedule/Urgency.h"
#include "basilusher/Schedule/WavePlan.h"
#include "basilusher/Store/StoreWatcher.h"
#include "basilusher/Store/TransactionalStore.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Keys of the system's own records in the store.
struct RecordKeys {
  /// What every node follows: terms, the owner and the nodes.
  std::string control_prefix = "b/c/";
  std::string term = "b/c/term";
  std::string owner = "b/c/owner";
  std::string node_prefix = "b/c/node/";
  /// Workers on which tasks may run, with their addresses.
  std::string workers = "b/workers";
  /// What fronts hand in: jobs and cancellations.
  std::string inbox_prefix = "b/in/";
  std::string job_prefix = "b/in/job/";
  std::string cancel_prefix = "b/in/cancel/";
  std::string progress_prefix = "b/progress/";
  std::string final_prefix = "b/final/";
  /// Instances of a maintenance wave that are done.
  std::string wave_prefix = "b/wave/";
  /// Instances that an owner has ordered lately.
  std::string orders = "b/orders";
};

/// Names and formats of the platform's directory, which only the adapter knows.
class DirectoryFormats {
 public:
  virtual ~DirectoryFormats() = default;
  virtual std::string ConfigKey() const = 0;
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string WorkerPrefix() const = 0;
  virtual std::string WaveStatusKey(std::int64_t wave) const = 0;
  /// Throws Error(kIntentInvalid) for what is no configuration.
  virtual std::shared_ptr<const Catalog> DecodeCatalog(
      const std::string& bytes) const = 0;
  /// Nothing for an entry that names no worker to use.
  virtual std::optional<WorkerEntry> DecodeWorker(
      const std::string& key, const std::string& bytes) const = 0;
  /// Nothing for a key that holds no wave.
  virtual std::optional<MaintenanceWave> DecodeWave(
      const std::string& key, const std::string& bytes) const = 0;
  virtual std::string EncodeWaveStatus(bool finished) const = 0;
};

struct OwnerDependencies {
  TransactionalStore* store = nullptr;
  WorkerGateway* workers = nullptr;
  InstanceProvider* instances = nullptr;
  PlacementAdvisor* advisor = nullptr;
  TimerService* timers = nullptr;
  const Clock* clock = nullptr;
  const DirectoryFormats* formats = nullptr;
  /// May be null, in tests.
  Counters* counters = nullptr;
};

struct OwnerOptions {
  std::string node;
  std::int64_t term = 0;
  /// Revision of the key that stands while the term lasts.
  std::int64_t term_revision = 0;
  RecordKeys keys;
  /// Lease of what runs on a worker.
  Millis task_lease{4000};
  /// Final states are shown for at least this long.
  Millis final_retention{150000};
  /// An owner that cannot confirm its term goes on for this long at most.
  Millis max_unconfirmed{8000};
  /// Time that an earlier owner may go on after this term's begin.
  Millis earlier_owner_grace{8000};
  /// Orders of two owners for one instance must be this far apart.
  Millis holder_lease{3000};
};

struct JobStatus {
  JobState state = JobState::kQueued;
  std::string queue;
};

/// Not thread-safe: I/O thread only.
class PartitionOwner : public std::enable_shared_from_this<PartitionOwner> {
 public:
  struct Listener {
    std::function<void()> on_deposed;
    /// Time until which the term is known to last.
    std::function<TimePoint()> confirmed_until;
  };

  PartitionOwner(OwnerDependencies dependencies, OwnerOptions options,
                 Listener listener);
  ~PartitionOwner();
  PartitionOwner(const PartitionOwner&) = delete;
  PartitionOwner& operator=(const PartitionOwner&) = delete;

  /// Loads the records and reads the workers, then serves.
  void Begin(std::shared_ptr<const Catalog> catalog);
  /// No order is sent and no callback runs after this.
  void Close();
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  void SetWave(const MaintenanceWave& wave);
  /// A front has stored a job and tells this owner, ahead of the watch or in
  /// its place while the store turns this node away. Precondition: Loaded().
  void OfferJob(const std::string& id, std::int64_t revision,
                const std::string& record);
  /// The earlier owner has said that its term is over.
  void NoteEarlierOwnerStopped();

  /// The records are loaded: answers about jobs are complete.
  bool Loaded() const { return loaded_; }
  /// State of a job; nothing if it is not known. Precondition: Loaded().
  std::optional<JobStatus> Find(const std::string& job) const;
  /// Accepted jobs of `queue` of which no task has started. Precondition:
  /// Loaded().
  int Pending(const std::string& queue) const;
  std::int64_t Term() const { return options_.term; }
  /// True once nothing waits to be stored.
  bool RecordsIdle() const { return recorder_->Idle(); }

 private:
  /// A run that was given up while it may still take room at its worker.
  struct AbandonedRun {
    TaskId task;
    std::int64_t run = 0;
    Resources charge;
    TimePoint since{};
  };
  /// A listed end of a job that this owner has not heard of.
  struct UnknownJobEnd {
    EndedTask end;
    TimePoint listed_at{};
  };
  /// Ends that are acknowledged once those of unheard jobs are decided.
  struct EndBatch {
    int incarnation = 0;
    std::int64_t last = 0;
    std::set<std::string> changed;
  };
  struct WorkerState {
    WorkerEntry entry;
    bool listed = false;
    TimePoint unlisted_at{};
    /// Its link is closed and it leaves the table with the next event.
    bool dropped = false;
    /// The store knows that tasks may run there.
    bool recorded = false;
    /// This owner has ended its life by taking its instance.
    bool instance_taken = false;
    /// Being emptied for a move or maintenance.
    bool reserved = false;
    WorkerCapacity slot;
    OutlierDetector track;
    FillerPaceController pace;
    std::shared_ptr<WorkerLink> link;
    std::set<TaskId> tasks;
    /// Runs listed there that are not this owner's, and when each was told to
    /// stop.
    std::map<std::pair<TaskId, std::int64_t>, TimePoint> unwanted_runs;
    int unowned_runs_reported = 0;
    /// Runs that are not wanted any more and whose end has not been listed.
    std::vector<AbandonedRun> abandoned;
    std::vector<UnknownJobEnd> unknown_job_ends;
    /// Listed runs of jobs that this owner has not heard of, and since when.
    std::map<std::pair<TaskId, std::int64_t>, TimePoint> unknown_job_runs;
    int unknown_job_runs_reported = 0;
    std::vector<EndBatch> deferred_ends;
    /// Since when nothing has run there.
    TimePoint idle_since{};
  };
  /// A move or maintenance of one instance that is under way.
  struct InstanceOperation {
    /// The wave that the instance is maintained for; zero for a move.
    std::int64_t wave = 0;
    std::string to_pool;
    /// Worker that lived there when the operation began.
    std::string worker;
    TimePoint begun_at{};
    TimePoint sent_at{};
    TimePoint accepted_at{};
    /// The store knows that this owner orders the instance now.
    bool recorded = false;
    bool in_flight = false;
    bool accepted = false;
  };
  struct WaveProgress {
    MaintenanceWave wave;
    TimePoint deadline{};
    std::int64_t begun_unix_ms = 0;
    /// Revision of the stored progress.
    std::int64_t revision = 0;
    std::set<std::string> done;
    bool loaded = false;
    bool finished = false;
    bool saving = false;
    bool changed = false;
  };
  struct FinalRecord {
    JobStatus status;
    TimePoint stored_at{};
  };

  // OwnerRecords.cc: loading, submissions, cancellations, final states.
  void LoadProgress();
  void LoadFinals();
  void LoadWorkers();
  void OnInbox(const StoredItem& item);
  void OnLoaded();
  void AddJob(const std::string& id, const StoredItem& item);
  void CancelJob(const std::string& id);
  void EndJob(JobRecord* job);
  void DropIfFinished(const std::string& id);
  JobSnapshot SnapshotOf(const std::string& job) const;
  void ForgetOldFinals();
  void SaveWorkers();
  /// A worker has been read, or is known to hold nothing.
  void MarkWorkerRead(const std::string& id);
  /// Shortens the time of doubt, if only the earlier owner can have given
  /// leases.
  void ShortenOrphanedRunsWait();
  /// Takes the present revision of `key` out of a conflict; false if another
  /// owner's term has begun.
  bool UpdateRevisionOnConflict(const StoreAnswer& conflict,
                                const std::string& key, std::int64_t* revision);

  // OwnerWorkers.cc: the directory, lists, ends.
  void OnDirectory(const StoredItem& item);
  WorkerState* AddWorker(const std::string& id, const std::string& address);
  void CloseLink(WorkerState* worker);
  /// Nothing runs on the worker or has ended there that the store does not
  /// know: a later owner needs not hear of it.
  bool IsSafeToForget(const WorkerState& worker) const;
  /// Forgets a worker without an entry, once it is settled.
  void DropIfSafeToForget(const std::string& id);
  /// Unread workers whose entries stay away are gone.
  void DropGoneWorkers();
  void OnReport(const std::string& id, const HoldAnswer& answer,
                TimePoint sent_at, bool settled);
  void OnEndsStored(const std::string& worker, std::int64_t number,
                    TimePoint listed_at);
  void OnRunning(WorkerState* worker, const RunningTask& running);
  void StopUnwantedRun(WorkerState* worker, const TaskId& task,
                       std::int64_t run);
  void OnEnded(WorkerState* worker, const EndedTask& end,
               std::set<std::string>* changed);
  void AbandonRun(WorkerState* worker, const Resources& charge,
                  const TaskId& task, std::int64_t run);
  void FreeAbandonedRuns(WorkerState* worker, const HoldAnswer& answer,
                         TimePoint sent_at);
  void ReleaseGang(JobRecord* job, const TaskId& id);
  void FindVanished(WorkerState* worker, const HoldAnswer& answer,
                    TimePoint sent_at, bool settled);
  void OnWorkerLost(const std::string& id, const char* reason);
  void OnNewIncarnation(const std::string& id, const char* reason);
  void Release(WorkerState* worker, JobRecord* job, const TaskId& id);
  void Allocate(WorkerState* worker, JobRecord* job, const TaskId& id);
  void ReturnToQueue(JobRecord* job, const TaskId& id);
  void StopTask(JobRecord* job, const TaskId& id, TaskRecord* task);

  // OwnerUnheard.cc: ends and runs of jobs that are not known yet.
  /// The job is not known, and may have been stored since the inbox was read.
  bool MayBecomeKnown(const std::string& job) const;
  /// Decides on ends of unheard jobs once the inbox has been read after them.
  void ResolveUnknownJobEnds();
  void StoreEnds(WorkerState* worker, const EndBatch& ends);
  /// The run's job is not known, and the inbox has not been read since the run
  /// was first listed.
  bool AwaitsUnknownJob(WorkerState* worker, const RunningTask& running);
  /// An earlier owner's time of day may have been ahead of this one's.
  void OpenReportedOccurrence(JobRecord* job, const TaskId& id);

  // OwnerDispatch.cc: placing work.
  void ScheduleDispatch();
  void Dispatch();
  bool MayStart() const;
  bool Usable(const WorkerState& worker) const;
  void PlaceStep(JobRecord* job, int occurrence, int step,
                 const std::vector<WorkerCapacity*>& slots);
  void PlaceGang(JobRecord* job, int occurrence, int step,
                 const std::vector<WorkerCapacity*>& slots);
  bool WithinCap(const JobRecord& job, const Resources& need) const;
  /// What inherited tasks may use on workers that were not read yet, by
  /// workspace.
  std::map<std::string, Resources> OrphanedUse() const;
  void StartTask(JobRecord* job, const TaskId& id, WorkerState* worker,
                 std::int64_t run);
  /// Tasks of the job may run, or have ended, unknown to this owner.
  bool MayHaveOrphanedRuns(const JobRecord& job) const;
  bool NeedsAdvice(const JobRecord& job) const;
  void OnStartResult(const TaskId& id, std::int64_t run,
                     const std::string& worker, CommandResult result);
  std::int64_t NextRun(const TaskRecord& task) const;
  void Tick();

  // OwnerAdvice.cc: which workers may run a step.
  /// All tasks of the steps that `step` follows are done or under way.
  static bool PredecessorsStarted(const JobRecord& job,
                                  const OccurrenceRecord& occurrence, int step);
  void AskAdvice(const JobRecord& job, int occurrence, int step,
                 const std::vector<WorkerCapacity*>& slots);
  void OnAdvice(const StepKey& key, const std::vector<std::string>& asked,
                TimePoint valid_until, const AdviceAnswer& answer);
  /// Restricts `request` to workers with a ticket for the step.
  void RequireTickets(const StepKey& key, PlacementRequest* request) const;

  // OwnerPacing.cc: fillers beside tasks that serve users.
  void PaceFillers(WorkerState* worker);

  // OwnerStragglers.cc: runs on workers that are slow, stuck or silent.
  void FindStragglers();
  RunProgress ProgressOf(const JobRecord& job, const TaskId& id,
                         const TaskRecord& task);
  void RestartElsewhere(JobRecord* job, const TaskId& id, TaskRecord* task,
                        const char* reason);

  // OwnerFleet.cc: moves and maintenance of instances.
  void FleetTick();
  void ListInstances();
  void OnInstances(const InstanceList& list, TimePoint asked_at);
  /// A worker whose instance was ordered lives on.
  void KeepWorker(const std::string& id);
  WorkerState* WorkerOn(const Instance& instance);
  bool IsEmpty(const Instance& instance);
  void LoadWave(std::int64_t number);
  void SaveWave(std::int64_t number);
  void PlanWaves();
  void PlanPools();
  void LogPool(const PoolState& pool, const PoolDemand& demand) const;
  PoolDemand DemandOf(const std::string& pool);
  void BeginOperation(const Instance& instance, std::int64_t wave,
                      const std::string& to_pool);
  void AdvanceOperation(const std::string& id, InstanceOperation* op);
  /// True if an earlier owner's order for the instance may be too recent.
  bool OrderedByEarlierOwner(const std::string& instance) const;
  /// True unless the instance is surely not down for its maintenance.
  bool MayBeDown(const std::string& instance) const;
  void LoadOrders();
  void SaveOrders();
  void CancelOperationLater(const std::string& id);
  void OnInstanceResult(const std::string& id, InstanceResult result);
  void EvictLasting(WorkerState* worker, bool leaving_soon);
  bool HasRoomElsewhere(const JobRecord& job, const TaskId& id,
                        const WorkerState& from);
  void EvictFromDraining();
  /// The task runs at full speed on a worker that answers.
  bool IsAtWork(const TaskRecord& task);
  /// Recorded workers that no instance carries any more run nothing.
  void DropWorkersWithoutInstance();

  void Count(const char* name, std::int64_t n = 1);
  void Observe(const char* name, Millis value);
  const QueueConfig* QueueOf(const JobRecord& job) const;
  WorkerState* FindWorker(const std::string& id);

  OwnerDependencies deps_;
  OwnerOptions options_;
  Listener listener_;
  std::shared_ptr<const Catalog> catalog_;
  std::shared_ptr<Recorder> recorder_;
  std::shared_ptr<StoreWatcher> inbox_;
  std::shared_ptr<StoreWatcher> directory_;
  JobTable jobs_;
  std::map<std::string, FinalRecord> finals_;
  std::map<std::string, std::unique_ptr<WorkerState>> workers_;
  std::map<std::string, Resources> workspace_used_;
  std::map<std::string, Resources> workspace_orphaned_;
  std::map<std::string, DurationEstimate> durations_;
  AdviceCache advice_;
  int open_questions_ = 0;
  std::map<std::string, StoredItem> loaded_progress_;
  /// Cancelled jobs that are not known yet.
  std::set<std::string> early_cancels_;
  /// Workers that may run tasks of an earlier owner and have not been read.
  std::set<std::string> unread_workers_;
  /// The last owner that had read all workers: none before it gives leases.
  std::int64_t fully_read_term_ = 0;
  /// This owner takes a worker for gone that it has not read.
  bool gave_up_reading_ = false;
  TimePoint began_at_{};
  TimePoint orphaned_runs_until_{};
  std::optional<TimePoint> earlier_owner_stopped_at_;
  std::map<std::string, Instance> instances_;
  std::map<std::string, TimePoint> instance_seen_at_;
  /// When each worker was first seen on an instance.
  std::map<std::string, TimePoint> worker_first_seen_at_;
  std::map<std::string, InstanceOperation> instance_operations_;
  std::map<std::int64_t, WaveProgress> waves_;
  std::map<std::string, ArrivalWindow> arrivals_;
  std::map<std::string, int> pool_surplus_;
  std::map<std::string, TimePoint> surplus_since_;
  /// Instances that an earlier owner ordered shortly before its end.
  std::set<std::string> earlier_orders_;
  /// When this owner ordered each instance last.
  std::map<std::string, TimePoint> ordered_at_;
  std::int64_t orders_revision_ = 0;
  bool orders_loaded_ = false;
  bool saving_orders_ = false;
  TimePoint listed_at_{};
  TimePoint pools_logged_at_{};
  bool listing_ = false;
  bool instances_known_ = false;
  bool progress_loaded_ = false;
  bool finals_loaded_ = false;
  bool workers_loaded_ = false;
  bool loaded_ = false;
  bool dispatch_scheduled_ = false;
  std::int64_t workers_revision_ = 0;
  /// Above the tokens of all links that are closed.
  std::int64_t next_fence_ = 0;
  bool saving_workers_ = false;
  bool workers_changed_ = false;
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_PARTITIONOWNER_H_
