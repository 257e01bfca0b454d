// Owner of the fleet's work during one term: places tasks on workers, renews
// their leases, records how their runs ended, and takes over the runs that an
// earlier owner left.
#ifndef BASILUSHER_PARTITION_PARTITIONOWNER_H_
#define BASILUSHER_PARTITION_PARTITIONOWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Net/IoLoop.h"
#include "basilusher/Partition/DurationLearner.h"
#include "basilusher/Partition/EarlierLeases.h"
#include "basilusher/Partition/OwnerEvacuation.h"
#include "basilusher/Partition/OwnerLateStarts.h"
#include "basilusher/Partition/OwnerOptions.h"
#include "basilusher/Partition/OwnerState.h"
#include "basilusher/Partition/OwnerWaitReport.h"
#include "basilusher/Partition/Recorder.h"
#include "basilusher/Partition/RoundPools.h"
#include "basilusher/Partition/ShareTracker.h"
#include "basilusher/Partition/WorkerRecord.h"
#include "basilusher/Partition/WorkerRecorder.h"
#include "basilusher/Schedule/AdviceCache.h"
#include "basilusher/Schedule/PoolPlan.h"
#include "basilusher/Schedule/RoundPacer.h"
#include "basilusher/Schedule/WavePlan.h"
#include "basilusher/Store/StoreWatcher.h"
#include "basilusher/Store/TransactionalStore.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {

/// Leader that places the fleet's work during one term ("owner" in store keys
/// and log events). Not thread-safe: I/O thread only.
class PartitionOwner : public std::enable_shared_from_this<PartitionOwner> {
 public:
  struct Listener {
    std::function<void()> on_deposed;
    /// The owner has started nothing for some time because its view of the
    /// store is too old. May run more than once, also within a call; may be
    /// empty.
    std::function<void()> on_behind;
    /// Time until which the term is known to last.
    std::function<TimePoint()> confirmed_until;
  };

  PartitionOwner(OwnerDependencies dependencies, OwnerOptions options,
                 Listener listener);
  ~PartitionOwner();
  PartitionOwner(const PartitionOwner&) = delete;
  PartitionOwner& operator=(const PartitionOwner&) = delete;

  /// Loads the records from the store, reads the workers, and then begins to
  /// place tasks.
  void Begin(std::shared_ptr<const Catalog> catalog);
  /// No order is sent and no callback runs after this.
  void Close();
  void SetCatalog(std::shared_ptr<const Catalog> catalog);
  void SetWave(const MaintenanceWave& wave);
  /// Adds a job that the accepting node has stored. Called so that the owner
  /// need not wait for its inbox watch, which may be cut off while the store
  /// rejects this node. Precondition: Loaded().
  void OfferJob(const std::string& id, std::int64_t revision,
                const std::string& record);
  /// A cancellation of the job is stored. The job may be unknown yet.
  void NoteCancelled(const std::string& id) { CancelJob(id); }
  /// The earlier owner has confirmed that its term is over. `long_leases` is
  /// its LongLeases() at that time, or nothing if that is not known.
  void NoteEarlierOwnerStopped(const std::optional<LongLeases>& long_leases);
  /// The same, if the earlier owner has told how its term ended. Ignores other
  /// terms than the one before this.
  void NotePreviousTermEnded(const EndedTerm& ended);
  /// What a later owner has to know of this term. Precondition: closed.
  EndedTerm DescribeEnd() const;
  /// True while earlier owners' leases may last on workers that are not read.
  bool AwaitsEarlierLeases() const;
  /// Workers on which runs may hold leases that end later than if they were
  /// renewed now.
  LongLeases FindLongLeases() const;

  /// True once the records are loaded: from then on answers about jobs are
  /// complete.
  bool Loaded() const { return loaded_; }
  /// State of a job, or nothing if the job is unknown. Precondition: Loaded().
  std::optional<JobStatus> Find(const std::string& job) const;
  /// Number of accepted jobs of `queue` of which no task has started, or
  /// nothing if too many submissions may be unknown yet. Precondition:
  /// Loaded().
  std::optional<int> Pending(const std::string& queue) const;
  std::int64_t Term() const { return options_.term; }
  std::size_t UnreadWorkers() const { return unread_workers_.size(); }
  /// Why this owner took its term for over, if it did.
  const std::optional<Deposal>& Deposed() const { return deposal_; }
  /// Jobs that this owner manages. For tests.
  const JobTable& Jobs() const { return jobs_; }
  /// True if no write of job records is pending or in flight.
  bool RecordsIdle() const { return recorder_->Idle(); }

 private:
  friend class OwnerEvacuation;
  friend class OwnerLateStarts;
  friend class OwnerWaitReport;

  struct FinalRecord {
    JobStatus status;
    TimePoint stored_at{};
  };

  // OwnerRecords.cc and OwnerReconciliation.cc: loading, submissions, final
  // states, workers of earlier owners.
  void LoadProgress();
  void LoadFinals();
  void ReadFinals(const std::vector<StoredItem>& items);
  void OnWorkerRecord(const WorkerRecord& record);
  void OnInbox(const StoredItem& item);
  void OnLoaded();
  /// How this owner learnt of a job.
  enum class JobSource : std::uint8_t { kOffer, kList, kWatch };
  void AddJob(const std::string& id, const StoredItem& item, JobSource source);
  /// Tells how old the view of submissions and cancellations is.
  void ReportInboxAge();
  void EndJob(JobRecord* job);
  void DropIfFinished(const std::string& id);
  /// Drops the finished jobs that were kept until all workers are read.
  void DropKeptJobs();
  JobSnapshot SnapshotOf(const std::string& job) const;
  void ForgetOldFinals();
  WorkerRecord SnapshotOfWorkers() const;
  /// WorkerRecord::usual_lease.
  Millis UsualLeaseOnRecord() const;
  void OnWorkersStored(const WorkerRecord& record);
  /// Asks the worker for its runs.
  void BeginLink(WorkerState* worker);
  /// Has the worker's present incarnation recorded once it is fenced.
  void RecordFencedIncarnation(WorkerState* worker);
  /// Marks a worker as read: its report is complete, or it is known to run
  /// nothing.
  void MarkWorkerRead(const std::string& id);
  /// Shortens the wait for orphaned runs if the previous owner had read all
  /// workers.
  void ShortenOrphanedRunsWait();
  /// Takes the current revision of `key` from the answer to a conflicting
  /// write. Returns false if the term of another owner has begun.
  bool UpdateRevisionOnConflict(const StoreAnswer& conflict,
                                const std::string& key, std::int64_t* revision);

  // OwnerCancellations.cc.
  void CancelJob(const std::string& id);
  /// Lists the stored cancellations if the view of the inbox is old: a node
  /// that is behind its work reads short answers long before its watch's. The
  /// list confirms nothing about submissions, so it does not make the view
  /// fresh.
  void ListCancellations();

  // OwnerWorkers.cc, OwnerRoom.cc and OwnerReconciliation.cc: directory
  // entries, reports of workers, ends of runs.
  void OnDirectory(const StoredItem& item);
  WorkerState* AddWorker(const std::string& id, const std::string& address);
  void CloseLink(WorkerState* worker);
  /// Takes the labels from the directory entry, or none if it describes an
  /// earlier incarnation: the next one may run on other hardware.
  static void UpdateLabels(WorkerState* worker);
  /// True if the worker has been read, no run is left there and all reported
  /// ends are durable.
  bool IsIdle(const WorkerState& worker) const;
  /// True if, besides, no start there may be executed late, so that a later
  /// owner need not read it.
  bool IsSafeToForget(const WorkerState& worker) const;
  /// Forgets a worker that has no directory entry, once that is safe.
  void DropIfSafeToForget(const std::string& id);
  /// Notes the leases that the previous owner told of at the workers' links.
  void InheritLongLeases(const std::optional<LongLeases>& long_leases);
  /// True if runs that an earlier owner started on an unread worker may still
  /// hold a lease, and be it from a later owner.
  bool MayHoldEarlierLease(const std::string& id) const;
  /// True if no later owner can have renewed leases by now: the store has not
  /// ended this node's lease, with which the owner record goes.
  bool TermIsConfirmed() const;
  /// Stops waiting for unread workers whose directory entries have not come
  /// back, and forgets workers without an entry where that is safe.
  void DropGoneWorkers();
  void OnReport(const std::string& id, const HoldAnswer& answer,
                TimePoint sent_at, bool settled);
  void OnEndsStored(const std::string& worker, std::int64_t number,
                    TimePoint save_begun_at);
  void OnRunning(WorkerState* worker, const RunningTask& running);
  void StopUnwantedRun(WorkerState* worker, const TaskId& task,
                       std::int64_t run);
  void OnEnded(WorkerState* worker, const EndedTask& end,
               std::set<std::string>* changed);
  /// What may have changed the duration of the run of `task` that ended on
  /// `worker`.
  RunCircumstances CircumstancesOf(const WorkerState& worker,
                                   const StepSpec& step,
                                   const TaskRecord& task) const;
  /// Runs on workers that are over once the task is done: its own and, in a
  /// gang, those of the other members.
  std::vector<HeldRun> RunsEndedWith(const TaskId& id, const StepSpec& step);
  /// Counts a run that was given up against the room of its worker and the
  /// limit of its workspace until its end is known.
  void HoldRoom(WorkerState* worker, const JobRecord& job, const TaskId& task,
                std::int64_t run);
  /// The same for a reported run of a job that is over, which an earlier owner
  /// has started.
  void HoldRoomOfFinishedJob(WorkerState* worker, const JobRecord& job,
                             const RunningTask& running);
  void FreeRoom(WorkerState* worker, const AbandonedRun& abandoned);
  void FreeAbandonedRuns(WorkerState* worker, const HoldAnswer& answer,
                         TimePoint sent_at);
  void FindVanished(WorkerState* worker, const HoldAnswer& answer,
                    TimePoint sent_at, bool settled);
  void OnWorkerLost(const std::string& id, WorkerLoss loss);
  void OnNewIncarnation(const std::string& id, const char* reason);
  void Release(WorkerState* worker, JobRecord* job, const TaskId& id);
  void Allocate(WorkerState* worker, JobRecord* job, const TaskId& id);
  void ReturnToQueue(JobRecord* job, const TaskId& id);
  void StopTask(JobRecord* job, const TaskId& id, TaskRecord* task);

  void OnJobEnded(JobRecord* job);
  // OwnerConfiguration.cc: what the configuration says of a job, and what holds
  // while it does not have the job's queue or workspace.
  void UseCatalog(std::shared_ptr<const Catalog> catalog);
  /// Null while the configuration does not have the job's queue.
  const QueueConfig* QueueOf(const JobRecord& job) const;
  /// Failed runs of one task after which the job fails; nothing while the job's
  /// queue is not in the configuration.
  std::optional<int> MaxAttempts(const JobRecord& job) const;
  /// Fails the jobs whose tasks have no attempts left by the present
  /// configuration: runs may have failed while it did not have their queue.
  void FailExhaustedJobs(const std::vector<JobRecord*>& jobs);
  /// True if the job's workspace may use `need` beside what its tasks use.
  bool WithinCap(const JobRecord& job, const Resources& need) const;

  // OwnerCrashes.cc: crashes of workers as evidence against tasks.
  static Millis WorkedFor(const WorkerState& worker, const TaskRecord& task);
  /// Remembers what is lost with the worker until it is known whether the
  /// worker crashed.
  void CollectLostRuns(WorkerState* worker);
  void ResolveLostRuns(WorkerState* worker, const HoldAnswer& answer,
                       bool settled);
  /// Counts the crash of the worker against the runs that were lost.
  /// Unless `crash_seen`, it may only have been cut off.
  void ConfirmCrash(WorkerState* worker, bool crash_seen = true);
  /// Whether the list of instances has the worker on a running one. Nothing if
  /// it has not been asked for since the worker's directory entry went away.
  std::optional<bool> IsOnInstance(const WorkerState& worker) const;
  /// True if the latest list of instances has the worker on a running one.
  bool HasRunningInstance(const WorkerState& worker) const;
  static bool MustGiveUp(const StepSpec& step, const TaskRecord& task);
  /// Delays the next start of a lasting task under which workers have crashed.
  void PauseLasting(const StepSpec& step, const TaskId& id, TaskRecord* task);
  /// Fails the job of a task that crashes its workers. A lasting task is not
  /// started again instead.
  void GiveUpTask(JobRecord* job, const TaskId& id);
  void StoreEvidence(const TaskId& id, TaskRecord* task);
  /// Stores which runs had just been started on a worker that has stopped
  /// answering, so that a later owner can count them if it has crashed.
  void NoteSilence(WorkerState* worker);
  /// The runs that were in doubt on the worker are none any more.
  void ClearSilence(WorkerState* worker);
  /// Takes over the runs that an earlier owner took for lost.
  void InheritLostRuns(JobRecord* job);
  void InheritLostRuns(const TaskId& id, TaskRecord* task);
  /// Begins the isolation of suspects that an earlier owner has recorded.
  void IsolateInherited(JobRecord* job);
  static bool IsSuspect(const TaskRecord& task);
  bool MustIsolate(const TaskRecord& task) const;
  /// Forgets that a worker may have crashed under the run.
  void ForgetUnconfirmed(const TaskId& id, std::int64_t run);
  /// The worker lists the run. That of a suspect stays stored until it has
  /// worked for long; then nothing is held against its task any more.
  void NoteAlive(const TaskId& id, TaskRecord* task, Millis worked_for);
  /// True if no other member of the task's gang may share its worker.
  bool MustStartApart(const TaskRecord& task) const;
  /// Indexes of the tasks, those that must be isolated first.
  std::vector<int> SuspectsFirst(const StepRecord& step) const;
  void IsolateSuspect(WorkerState* worker, const TaskRecord& task);

  // OwnerSuspectStarts.cc: starts of suspects, stored before they are sent.
  /// False before the task's time, while it is not known, or not stored, under
  /// how many of its runs a worker has crashed, and for a lasting task that
  /// crashes its workers.
  bool TaskMayStart(const StepSpec& step, const TaskRecord& task) const;
  /// Takes the room of the workers, stores the run, and sends the start once
  /// that is durable.
  void StartWhenStored(JobRecord* job, const std::vector<PlacedTask>& placed,
                       std::int64_t run);
  /// Sends the held starts that are stored. Returns those to the queue whose
  /// worker may no longer run them.
  void SendStoredStarts();
  bool MayStillStart(const HeldStart& held);
  bool MayStillRunOn(const JobRecord& job, const TaskId& id,
                     const WorkerState& worker) const;
  /// True if the start need not wait any longer for a store that is away.
  bool MayStartUnstored(const HeldStart& held);
  void SendHeldStart(const HeldStart& held);
  /// Returns the tasks to the queue. `wait_for_store` keeps them there until
  /// the store answers.
  void DropHeldStart(const HeldStart& held, bool wait_for_store);

  // OwnerPlacements.cc: workers that may hold runs of lasting tasks.
  /// Takes over what earlier owners have stored, if it is complete.
  void InheritPlacements(JobRecord* job, bool has_progress);
  /// Once no run of an earlier owner can be unknown, what this owner knows is
  /// complete.
  void CompletePlacements();
  /// A start of the task on the worker is about to be stored.
  void NotePlacement(const TaskId& id, const std::string& worker);
  /// The worker reports a run of the task.
  void NoteReportedRun(const TaskId& id, const std::string& worker);
  /// True if the worker may still have a run of the task that this owner gave
  /// up, or does not know.
  bool MayHoldFormerRun(const std::string& worker, const TaskId& id) const;

  // OwnerReconciliation.cc: ends and runs of jobs that are not known yet.
  /// True if the job is unknown but may have been stored since the inbox was
  /// last read.
  bool MayBecomeKnown(const std::string& job) const;
  /// Applies the ends of jobs that were unknown when they were reported, once
  /// the inbox has been read after the report. Ends of jobs that are still
  /// unknown are discarded.
  void ResolveUnknownJobEnds();
  void StoreEnds(WorkerState* worker, const EndBatch& ends);
  /// True if the job of the run is unknown and the inbox has not been read
  /// since the run was first reported.
  bool AwaitsUnknownJob(WorkerState* worker, const RunningTask& running);
  /// Opens the occurrence of a reported run even if it is not due by this
  /// node's wall clock: the wall clock of an earlier owner may have been ahead.
  void OpenReportedOccurrence(JobRecord* job, const TaskId& id);

  // OwnerDispatch.cc and OwnerReconciliation.cc: placement of waiting tasks,
  // runs of earlier owners that hold it back.
  void ScheduleDispatch();
  void Dispatch();
  /// One round of placement.
  void PlaceWaitingTasks();
  /// True if the term was confirmed so recently that leases may be renewed.
  bool MayRenewLeases() const;
  bool MayStart() const;
  /// Holds starts back if the event loop is late: what it has not handled yet
  /// may forbid them.
  void CheckLoopLateness();
  /// Reports an owner that does not come to read its records.
  void CheckLoading();
  void NoteLoadingProgress();
  /// A part of a long list or watch has come.
  void NoteAnswerPart();
  /// Time since the last answer that confirmed the term; zero while the term is
  /// confirmed.
  Millis StoreSilence() const;
  bool ViewIsStale() const;
  /// True if a task that is stopped now would not be started elsewhere.
  bool StartsHeld() const;
  /// True if the store answers this owner and yet what the owner knows of
  /// cancellations, or of workers that leave, is too old to start tasks by.
  bool HasStaleView();
  bool Usable(const WorkerState& worker) const;
  /// True if a later owner may use an incarnation of the worker that would
  /// still accept this owner's commands.
  bool MayBelongToLaterOwner(const WorkerState& worker) const;
  /// Begins a round: the usable workers of each pool.
  void CollectWorkers(TimePoint now);
  /// Lets tasks start again on workers whose isolation has ended; part of
  /// CollectWorkers().
  void EndIsolation(TimePoint now);
  /// Collects the steps for which a round may do something, whatever room there
  /// is.
  void CollectWaitingSteps();
  /// Opens the pools in which a task of these steps may start, or be asked for.
  /// Returns false if there is none: then the round has nothing to do.
  bool OpenPools(TimePoint now);
  /// True if a task of the step may start on `workers`, or the advisor may be
  /// asked about it. False only if the round would do nothing for the step.
  bool MayPlace(const WaitingStep& step, CandidateWorkers* workers) const;
  /// Returns the jobs of open pools with waiting tasks and adds up what these
  /// pools run.
  std::vector<PlacementCandidate> CollectCandidates(TimePoint now);
  /// Ranks the jobs that their pools can't serve in time behind the others.
  void DeferUnservable(std::vector<PlacementCandidate>* candidates);
  /// Counts the jobs that were ranked behind others.
  void ReportDeferred();
  /// Cores of the instances that are on their way to each pool.
  std::map<std::string, double> ArrivingCores() const;
  // OwnerPlacing.cc.
  void PlaceJob(const PlacementCandidate& candidate);
  /// The only worker on which the task may start, if there is one.
  std::optional<std::string> OnlyWorkerFor(const TaskId& id,
                                           const TaskRecord& task) const;
  void PlaceStep(JobRecord* job, int occurrence, int step,
                 CandidateWorkers* candidates);
  void PlaceGang(JobRecord* job, int occurrence, int step,
                 const std::vector<WorkerCapacity*>& workers);
  /// Upper bound of what orphaned runs may use on unread workers, by workspace.
  std::map<std::string, Resources> OrphanedUse() const;
  /// Adds what runs may use that were taken for over without a report of their
  /// worker, by workspace.
  void AddUnreportedUse(std::map<std::string, Resources>* use) const;
  void StartTask(JobRecord* job, const TaskId& id, WorkerState* worker,
                 std::int64_t run);
  /// Marks the task as starting on the worker and takes its room there.
  void ReserveWorker(JobRecord* job, const TaskId& id, WorkerState* worker,
                     std::int64_t run);
  void SendStart(JobRecord* job, const TaskId& id, WorkerState* worker);
  /// True if runs of the job that an earlier owner started may still be
  /// running, or may have ended, without this owner's knowledge.
  bool MayHaveOrphanedRuns(const JobRecord& job) const;
  /// The same for one task. Precondition: MayHaveOrphanedRuns(job).
  bool AwaitsOrphanedRun(const JobRecord& job, const StepSpec& step,
                         const TaskRecord& task) const;
  /// The same for any task that waits.
  bool AnyAwaitsOrphanedRun(const JobRecord& job) const;
  /// True if the worker is unread and may run tasks of an earlier owner.
  bool MayRunUnreported(const std::string& worker) const;
  bool NeedsAdvice(const JobRecord& job) const;
  void OnStartResult(const TaskId& id, std::int64_t run,
                     const std::string& worker, CommandResult result);
  std::int64_t NextRun(const TaskRecord& task) const;
  void Tick();

  // OwnerAdvice.cc: which workers may run a step.
  /// True if all tasks of the steps that `step` depends on are done or active.
  static bool PredecessorsStarted(const JobRecord& job,
                                  const OccurrenceRecord& occurrence, int step);
  void AskAdvice(const JobRecord& job, int occurrence, int step,
                 const std::vector<WorkerCapacity*>& workers, AdviceNeed need);
  void OnAdvice(const StepKey& key, const std::vector<std::string>& asked,
                TimePoint valid_until, const AdviceAnswer& answer);
  /// Restricts `request` to workers with a valid ticket for the step.
  void RequireTickets(const StepKey& key, PlacementRequest* request) const;

  // OwnerPacing.cc: speed limit of fillers beside tasks that serve users.
  void PaceFillers(WorkerState* worker);
  /// Sets how long polls of the worker may wait, by what its tasks need.
  void UpdatePollWait(WorkerState* worker);

  // OwnerStragglers.cc: runs on workers that are slow, stuck or silent.
  void FindStragglers();
  RunProgress ProgressOf(const JobRecord& job, const TaskId& id,
                         const TaskRecord& task);
  void RestartElsewhere(JobRecord* job, const TaskId& id, TaskRecord* task,
                        const char* reason);

  // OwnerFleet.cc, OwnerWaves.cc and OwnerPools.cc: moves and maintenance of
  // instances.
  void FleetTick();
  void ListInstances();
  void OnInstances(const InstanceList& list, TimePoint asked_at);
  /// Makes a worker usable again that is still alive after an order for its
  /// instance.
  void KeepWorker(const std::string& id);
  WorkerState* WorkerOn(const Instance& instance);
  /// True if it is known that nothing runs on the instance and all ends there
  /// are durable. An instance without a known worker counts only in a spare
  /// pool.
  bool IsSafeToTake(const Instance& instance);
  void LoadWave(std::int64_t number);
  void SaveWave(std::int64_t number);
  void PlanWaves();
  /// True if the wave must take instances that are in use to be in time.
  bool WaveTimeIsShort(std::int64_t number) const;
  void PlanPools();
  void LogPool(const PoolState& pool, const PoolDemand& demand) const;
  /// Demand of each pool that jobs or arrivals name.
  std::map<std::string, PoolDemand> CollectDemand();
  /// Adds what one occurrence of the job uses and needs.
  void AddDemand(const JobRecord& job, int number,
                 const OccurrenceRecord& occurrence, const QueueConfig& queue,
                 PoolDemand* demand);
  /// True if the job can no longer meet its objective.
  bool IsLate(const JobRecord& job, const OccurrenceRecord& occurrence,
              const QueueConfig& queue);
  void BeginOperation(const Instance& instance, std::int64_t wave,
                      const std::string& to_pool);
  void AdvanceOperation(const std::string& id, InstanceOperation* op);
  /// True if an earlier owner may have ordered the instance less than
  /// `holder_lease` ago.
  bool OrderedByEarlierOwner(const std::string& instance) const;
  /// True if the instance may be down for maintenance.
  bool MayBeDown(const std::string& instance) const;
  void LoadOrders();
  void SaveOrders();
  void CancelOperationLater(const std::string& id);
  void OnInstanceResult(const std::string& id, InstanceResult result);
  /// When lasting tasks of a worker are stopped so that they start elsewhere.
  enum class Eviction : std::uint8_t {
    /// While the step's limit of unavailable tasks allows it and another worker
    /// has room.
    kIfRoomElsewhere,
    /// While the step's limit allows it.
    kWithoutRoom,
    /// If another worker has room: the worker ends by itself soon.
    kWorkerLeaves,
  };
  void EvictLasting(WorkerState* worker, Eviction eviction);
  bool HasRoomElsewhere(const JobRecord& job, const TaskId& id,
                        const WorkerState& from);
  void EvictFromDraining();
  /// True if the task runs at full speed on a worker that answers.
  bool IsAtWork(const TaskRecord& task);
  /// Treats unread workers that several lists in a row show on no instance as
  /// lost: they run nothing. The last one was asked for at `asked_at`.
  void DropWorkersWithoutInstance(TimePoint asked_at);

  // OwnerLogs.cc.
  /// What is known of a worker whose runs are taken for over.
  Json EvidenceOf(const WorkerState& worker) const;
  /// Logs that runs on the worker are taken for over: `conclusion` tells which
  /// and why.
  void LogTakenForOver(LogLevel level, const char* event,
                       const WorkerState& worker, const Json& conclusion) const;
  /// Counts `n` runs that are taken for over without a report of their end.
  void CountTakenForOver(std::string_view reason, std::size_t n);
  /// Logs when tasks begin or cease to wait for unread workers, and a change of
  /// the time until which they wait.
  void ReportTakeOverWait();
  /// Reports records that wait to be stored.
  void ReportRecords();
  /// Logs the end of one step of loading.
  void LogLoading(const char* records, const StoreAnswer& answer) const;
  void LogRunStart(const JobRecord& job, const TaskId& id, std::int64_t run,
                   const WorkerState& worker) const;
  /// Logs the first evidence and tells the listener.
  void OnDeposed(const Deposal& deposal);
  void OnFenced(const std::string& worker);
  void OnOwnerRecordChanged(std::int64_t found);

  void Count(const char* name, std::int64_t n = 1);
  void Observe(const char* name, Millis value);
  WorkerState* FindWorker(const std::string& id);

  OwnerDependencies deps_;
  OwnerOptions options_;
  Listener listener_;
  std::shared_ptr<const Catalog> catalog_;
  QueueTable queues_;
  RoundPools round_pools_;
  /// Of the present round; kept for its memory.
  std::vector<WaitingStep> waiting_steps_;
  std::shared_ptr<Recorder> recorder_;
  std::shared_ptr<WorkerRecorder> worker_recorder_;
  std::shared_ptr<StoreWatcher> inbox_;
  std::shared_ptr<StoreWatcher> directory_;
  JobTable jobs_;
  std::map<std::string, FinalRecord> finals_;
  std::map<std::string, std::unique_ptr<WorkerState>> workers_;
  std::map<std::string, Resources> workspace_used_;
  /// Limit of each workspace by the last configuration that had it.
  std::map<std::string, Resources> workspace_caps_;
  std::map<std::string, Resources> workspace_orphaned_;
  ShareTracker shares_;
  DurationLearner durations_{options_.learned_durations, deps_.counters};
  /// By a number that rises with each of them.
  std::map<std::int64_t, HeldStart> held_starts_;
  std::int64_t last_held_start_ = 0;
  AdviceCache advice_;
  std::map<std::string, StoredItem> loaded_progress_;
  /// Cancellations that arrived before their jobs. Each is stored beside its
  /// job until the job becomes known and its final state is stored.
  std::set<std::string> early_cancels_;
  /// Workers that may run tasks of an earlier owner and that this owner has not
  /// read yet.
  std::set<std::string> unread_workers_;
  /// Term of the last owner that had read all workers. No owner before it gives
  /// leases.
  std::int64_t fully_read_term_ = 0;
  /// True if this owner stopped waiting for a worker that it had not read; it
  /// then does not record that it has read all of them.
  bool gave_up_reading_ = false;
  TimePoint began_at_{};
  EarlierLeases earlier_leases_;
  /// WorkerRecord::usual_lease of the record that this owner found.
  Millis earlier_usual_lease_{0};
  /// The previous owner has stopped, and told of its long leases (true) or not.
  std::optional<bool> previous_told_leases_;
  /// What it told of its term's end.
  std::optional<EndedTerm> previous_end_;
  /// Since when tasks have waited for unread workers, and until when at most,
  /// as logged; zero if none waits.
  TimePoint take_over_wait_since_{};
  TimePoint take_over_wait_until_{};
  OwnerWaitReport wait_report_{this};
  OwnerEvacuation evacuation_{this};
  std::optional<Deposal> deposal_;
  std::map<std::string, Instance> instances_;
  /// When the list of `instances_` was asked for.
  TimePoint instances_asked_at_{};
  /// Instances of waves that the lists have not shown since.
  std::map<std::string, TimePoint> instance_missing_since_;
  /// Unread workers that the lists have shown on no instance since.
  std::map<std::string, TimePoint> worker_missing_since_;
  /// When each worker was first seen on an instance.
  std::map<std::string, TimePoint> worker_first_seen_at_;
  std::map<std::string, InstanceOperation> instance_operations_;
  std::map<std::int64_t, WaveProgress> waves_;
  std::map<std::string, ArrivalWindow> arrivals_;
  std::map<std::string, int> pool_surplus_;
  std::map<std::string, TimePoint> surplus_since_;
  /// Instances that an earlier owner ordered shortly before its term ended.
  std::set<std::string> earlier_orders_;
  /// When this owner last ordered each instance.
  std::map<std::string, TimePoint> ordered_at_;
  std::int64_t orders_revision_ = 0;
  bool orders_loaded_ = false;
  bool saving_orders_ = false;
  /// When the tick that is scheduled is due.
  RoundPacer round_pacer_;
  TimePoint next_tick_at_{};
  /// When the event loop was last found late; starts wait for an inbox read
  /// after it. Zero if they need not wait.
  TimePoint held_since_{};
  /// Since when starts have been held by an old view; zero if they are not.
  TimePoint stale_since_{};
  /// When a record was last read, or the store last did not confirm the term.
  TimePoint loading_progress_at_{};
  /// When a part of a long answer of the store came last.
  TimePoint answer_part_at_{};
  /// How long the records took to load.
  Millis load_time_{0};
  TimePoint list_asked_at_{};
  TimePoint pools_logged_at_{};
  TimePoint inbox_age_logged_at_{};
  TimePoint records_logged_at_{};
  TimePoint cancellations_asked_at_{};
  bool listing_cancellations_ = false;
  bool listing_ = false;
  bool instances_known_ = false;
  bool progress_loaded_ = false;
  bool finals_loaded_ = false;
  bool workers_loaded_ = false;
  bool loaded_ = false;
  bool dispatch_scheduled_ = false;
  bool kept_finished_jobs_ = false;
  bool placements_completed_ = false;
  /// Lower bound for the fencing tokens of new links: above those of all closed
  /// links.
  std::int64_t next_fence_ = 0;
  FormerIncarnations former_incarnations_;
  OwnerLateStarts late_starts_;
  bool closed_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_PARTITIONOWNER_H_
