// Why lasting tasks wait, and since when. Does no I/O and reads no clock.
#ifndef BASILUSHER_PARTITION_TASKWAITS_H_
#define BASILUSHER_PARTITION_TASKWAITS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// What keeps a waiting task from being started, the first that applies.
enum class WaitCondition : std::uint8_t {
  /// The counts of its step show no waiting task: a fault of the owner.
  kMiscounted,
  /// It crashes its workers.
  kGivenUp,
  /// The store has not confirmed the owner's term for too long.
  kTermUnconfirmed,
  kLoopLate,
  kViewStale,
  kQueueNotConfigured,
  kStepNotReady,
  /// A start was sent, and it is not known whether it took effect.
  kStartUnanswered,
  /// The start is held until the store knows of it.
  kStartNotStored,
  kRetryDelay,
  /// Workers have crashed under it: PartitionOwner::PauseLasting().
  kPausedAfterCrashes,
  /// Its last run was taken for over without a report, and a later owner may
  /// have renewed that run's lease.
  kEndUnreported,
  /// It is not known yet whether the worker that was lost with it has crashed.
  kLossUnconfirmed,
  /// A silent worker may still execute its last start.
  kStartMayBeLate,
  kEvidenceNotStored,
  /// Runs of earlier owners may hold leases on unread workers.
  kEarlierLeases,
  /// The same, for as long as the term is not confirmed.
  kEarlierLeasesInDoubt,
  /// An unread worker answers, and has not given a complete report.
  kReportIncomplete,
  /// Another member of its gang must not start yet.
  kGangMember,
  kWorkspaceLimit,
  kNoUsableWorker,
  kNoRoom,
  /// Workers with room are kept free of other starts for a suspect.
  kWorkersIsolated,
  kNoLabel,
  kNoTicket,
  /// Workers with room have as many tasks of the step as it allows.
  kSiblingLimit,
  /// There is room for each member of the gang, but not for all.
  kGangRoom,
  kNoneFound,
};

inline constexpr EnumTable<WaitCondition, 28> kWaitConditionNames = {{
    {WaitCondition::kMiscounted, "miscounted"},
    {WaitCondition::kGivenUp, "given-up"},
    {WaitCondition::kTermUnconfirmed, "term-unconfirmed"},
    {WaitCondition::kLoopLate, "loop-late"},
    {WaitCondition::kViewStale, "view-stale"},
    {WaitCondition::kQueueNotConfigured, "queue-not-configured"},
    {WaitCondition::kStepNotReady, "step-not-ready"},
    {WaitCondition::kStartUnanswered, "start-unanswered"},
    {WaitCondition::kStartNotStored, "start-not-stored"},
    {WaitCondition::kRetryDelay, "retry-delay"},
    {WaitCondition::kPausedAfterCrashes, "paused-after-crashes"},
    {WaitCondition::kEndUnreported, "end-unreported"},
    {WaitCondition::kLossUnconfirmed, "loss-unconfirmed"},
    {WaitCondition::kStartMayBeLate, "start-may-be-late"},
    {WaitCondition::kEvidenceNotStored, "evidence-not-stored"},
    {WaitCondition::kEarlierLeases, "earlier-leases"},
    {WaitCondition::kEarlierLeasesInDoubt, "earlier-leases-in-doubt"},
    {WaitCondition::kReportIncomplete, "report-incomplete"},
    {WaitCondition::kGangMember, "gang-member"},
    {WaitCondition::kWorkspaceLimit, "workspace-limit"},
    {WaitCondition::kNoUsableWorker, "no-usable-worker"},
    {WaitCondition::kNoRoom, "no-room"},
    {WaitCondition::kWorkersIsolated, "workers-isolated"},
    {WaitCondition::kNoLabel, "no-label"},
    {WaitCondition::kNoTicket, "no-ticket"},
    {WaitCondition::kSiblingLimit, "sibling-limit"},
    {WaitCondition::kGangRoom, "gang-room"},
    {WaitCondition::kNoneFound, "none-found"},
}};

/// Number of a pool's workers that meet the requirements of a step, each
/// number among the workers counted by the one before.
struct EligibleWorkers {
  int usable = 0;
  int with_room = 0;
  int not_isolated = 0;
  int with_label = 0;
  int with_ticket = 0;
  int below_sibling_limit = 0;
};

/// What an owner knows of a waiting task. The defaults hold nothing back.
struct WaitFacts {
  bool counted_as_waiting = true;
  bool given_up = false;
  /// PartitionOwner::MayStart().
  bool owner_may_start = true;
  bool loop_late = false;
  bool view_stale = false;
  bool queue_configured = true;
  bool step_ready = true;
  bool start_sent = false;
  bool start_held = false;
  bool in_retry_delay = false;
  bool suspected = false;
  bool end_unreported = false;
  bool term_confirmed = true;
  bool loss_unconfirmed = false;
  bool start_may_be_late = false;
  bool evidence_unstored = false;
  /// Runs of earlier owners may exist, and one of them may hold a lease by the
  /// bounds of these leases.
  bool may_be_orphaned = false;
  bool earlier_lease_may_last = false;
  bool gang_member_held = false;
  bool within_cap = true;
  bool in_gang = false;
  EligibleWorkers workers;
};

/// Thread-safe.
WaitCondition ConditionOf(const WaitFacts& facts);

/// Waits of lasting tasks, kept up to date in rounds. Not thread-safe.
class TaskWaits {
 public:
  struct Wait {
    /// When the task was first seen to wait; earlier owners' time is not known.
    TimePoint since{};
    std::int64_t run = 0;
    WaitCondition condition = WaitCondition::kNoneFound;
    /// When it was last logged, and with what; zero if it was not.
    TimePoint logged_at{};
    WaitCondition logged_condition = WaitCondition::kNoneFound;
    std::int64_t round = 0;
  };

  void BeginRound() { ++round_; }
  /// The task is seen to wait. `run` is its last run, and `run_began` tells
  /// whether that is known to have begun: then the wait begins after it.
  Wait* Note(const TaskId& task, std::int64_t run, bool run_began,
             TimePoint now);
  /// The task is seen to run. Returns its wait, if it had one.
  std::optional<Wait> End(const TaskId& task);
  /// Forgets the tasks that were not seen in this round: their jobs are over.
  void EndRound();
  std::map<TaskId, Wait>& All() { return waits_; }

 private:
  std::map<TaskId, Wait> waits_;
  std::int64_t round_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_TASKWAITS_H_
