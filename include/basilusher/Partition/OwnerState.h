// What an owner keeps of workers, instances and waves, and what a round of
// placement works on. Plain data: PartitionOwner keeps it consistent. Not
// thread-safe: I/O thread only.
#ifndef BASILUSHER_PARTITION_OWNERSTATE_H_
#define BASILUSHER_PARTITION_OWNERSTATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Partition/WorkerLink.h"
#include "basilusher/Schedule/Backlog.h"
#include "basilusher/Schedule/OutlierDetector.h"
#include "basilusher/Schedule/Pacing.h"
#include "basilusher/Schedule/Placement.h"
#include "basilusher/Schedule/Urgency.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// The runs of a term are numbered from (term - 1) * kRunsPerTerm + 1.
inline constexpr std::int64_t kRunsPerTerm = 1000;

/// Upper bound of the staleness of the list of instances.
inline constexpr Millis kListLag{1000};

/// State and queue of a job as shown to clients.
struct JobStatus {
  JobState state = JobState::kQueued;
  std::string queue;
};

/// What told an owner that a later term has begun.
enum class DeposedBy : std::uint8_t {
  kWorkerFence,
  kInstanceFence,
  kOwnerRecord,
  kOwnerRecordGone,
  kOfferedJob,
};

inline constexpr EnumTable<DeposedBy, 5> kDeposedByNames = {{
    {DeposedBy::kWorkerFence, "a worker has seen a higher fencing token"},
    {DeposedBy::kInstanceFence, "an instance order was fenced"},
    {DeposedBy::kOwnerRecord, "the owner record has another revision"},
    {DeposedBy::kOwnerRecordGone, "the owner record is gone"},
    {DeposedBy::kOfferedJob, "a job was offered to a later term"},
}};

/// The evidence on which an owner took its term for over.
struct Deposal {
  DeposedBy by = DeposedBy::kOwnerRecord;
  /// Worker, instance or job that told of it, or key of the record.
  std::string source;
  /// Fencing token, revision or term of this owner that was compared.
  std::int64_t ours = 0;
  /// Revision or term that was found; zero if it was not told.
  std::int64_t found = 0;
};

/// A run that was given up but may still use resources of its worker and of its
/// workspace.
struct AbandonedRun {
  TaskId task;
  std::int64_t run = 0;
  Resources charge;
  /// Workspace of the job, which may be forgotten before the run ends, and what
  /// the run counts towards its limit.
  std::string workspace;
  Resources need;
  TimePoint since{};
  /// Time for which the run is known to have worked.
  Millis worked_for{0};
  /// The worker has confirmed the start, or reported the run.
  bool start_confirmed = true;
};

/// A run that was given up as lost with its worker.
struct LostRun {
  /// Time for which the run is known to have worked.
  Millis worked_for{0};
  /// Taken over from an earlier owner, as it was stored.
  std::optional<UnconfirmedRun> inherited;
  /// The worker has confirmed the start, or reported the run.
  bool start_confirmed = true;
};

/// A reported end of a run whose job this owner does not know (yet).
struct UnknownJobEnd {
  EndedTask end;
  TimePoint reported_at{};
};

/// The ends of one report. They are acknowledged together, once all jobs that
/// they changed are durable.
struct EndBatch {
  int incarnation = 0;
  std::int64_t last = 0;
  std::set<std::string> changed;
};

struct PoolWorkers;

/// What this owner knows of one worker.
struct WorkerState {
  WorkerEntry entry;
  bool listed = false;
  TimePoint unlisted_at{};
  /// The link is closed; the entry is erased from the table by a timer that
  /// is due at once.
  bool dropped = false;
  /// The store's record of workers includes this one, so a later owner will
  /// read it. No task is placed before.
  bool recorded = false;
  /// Start of the incarnation that the record has as fenced, or will have with
  /// its next write that the store takes; zero if it has none.
  std::int64_t recorded_born_unix_ms = 0;
  /// This owner has ended this worker by moving its instance or taking it
  /// down for maintenance.
  bool instance_taken = false;
  /// The worker gets no new tasks because its instance is being drained for a
  /// move or for maintenance.
  bool reserved = false;
  WorkerCapacity capacity;
  /// Its pool in rounds of placement, RoundPools::Named(capacity.pool); null
  /// until a directory entry names the pool.
  PoolWorkers* pool = nullptr;
  OutlierDetector outlier_detector;
  FillerPaceController pace;
  std::shared_ptr<WorkerLink> link;
  std::set<TaskId> tasks;
  /// Reported runs that this owner does not want, and when each was last
  /// ordered to stop.
  std::map<std::pair<TaskId, std::int64_t>, TimePoint> unwanted_runs;
  int unowned_runs_reported = 0;
  /// Runs that were given up and whose end has not been reported.
  std::vector<AbandonedRun> abandoned;
  std::vector<UnknownJobEnd> unknown_job_ends;
  /// Reported runs of jobs that this owner does not know, and when each was
  /// first reported.
  std::map<std::pair<TaskId, std::int64_t>, TimePoint> unknown_job_runs;
  int unknown_job_runs_reported = 0;
  std::vector<EndBatch> deferred_ends;
  TimePoint reported_at{};
  /// When the last complete report was asked for that settles all earlier
  /// starts for its incarnation; zero if there was none.
  TimePoint settled_at{};
  /// Runs that were given up as lost. A crash is not confirmed yet.
  std::map<std::pair<TaskId, std::int64_t>, LostRun> lost_runs;
  /// A new incarnation has begun, and it has not shown yet which of the runs
  /// reached it.
  bool reborn = false;
  /// When the present incarnation was found to have replaced an earlier one.
  TimePoint incarnation_seen_at{};
  /// `lost_runs` has runs that an earlier owner took for lost.
  bool inherited_lost_runs = false;
  /// The runs that are in doubt since the worker stopped answering are stored:
  /// these.
  bool silence_noted = false;
  std::set<std::pair<TaskId, std::int64_t>> runs_in_doubt;
  /// No further task starts here before this time, as a suspect has just been
  /// started.
  TimePoint isolated_until{};
  TimePoint last_start_at{};
  /// Time since which no task has been on the worker.
  TimePoint idle_since{};
};

/// A run that occupies a worker.
struct HeldRun {
  WorkerState* worker = nullptr;
  TaskId task;
  std::int64_t run = 0;
};

/// A task and the worker that was chosen for it.
struct PlacedTask {
  TaskId task;
  WorkerState* worker = nullptr;
};

/// A run that is sent once the store knows of it. Its tasks, several in a gang,
/// are starting and use the room of their workers.
struct HeldStart {
  struct Member {
    TaskId task;
    /// Incarnation of the worker, by WorkerLink::Incarnation().
    int incarnation = 0;
  };
  std::vector<Member> members;
  std::int64_t run = 0;
  /// Its tasks last, so it is not sent before it is stored.
  bool lasting = false;
  TimePoint since{};
  bool stored = false;
};

/// A move or maintenance of one instance that is in progress.
struct InstanceOperation {
  /// Number of the maintenance wave; zero for a move.
  std::int64_t wave = 0;
  std::string to_pool;
  /// Worker on the instance when the operation began.
  std::string worker;
  TimePoint begun_at{};
  TimePoint sent_at{};
  TimePoint accepted_at{};
  /// The order is recorded in the store, so that a later owner knows of it.
  /// No order is sent before.
  bool recorded = false;
  bool in_flight = false;
  bool accepted = false;
};

/// A maintenance wave and how far it has got.
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

/// A step with waiting tasks in a round of placement.
struct WaitingStep {
  const JobRecord* job = nullptr;
  const StepRecord* record = nullptr;
  const StepSpec* spec = nullptr;
  /// The steps on which it depends are done.
  bool ready = false;
};

/// A job with waiting tasks in a round of placement.
struct PlacementCandidate {
  Urgency urgency;
  JobRecord* job = nullptr;
  int occurrence = 0;
  PoolWorkers* pool = nullptr;
  /// The job has waited so long that suspect workers may run it too.
  bool any_worker = false;
  BacklogJob backlog;
  /// Cores that its waiting tasks ask for.
  double waiting_cores = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_OWNERSTATE_H_
