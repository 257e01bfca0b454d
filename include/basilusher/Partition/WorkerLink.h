// Connection of one owner to one worker: polls its report, renews the leases of
// its runs, sends commands under increasing fencing tokens, and decides what is
// known when the worker does not answer.
#ifndef BASILUSHER_PARTITION_WORKERLINK_H_
#define BASILUSHER_PARTITION_WORKERLINK_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Net/IoLoop.h"
#include "basilusher/Partition/WorkerLease.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Why all runs of a worker have ended without being reported.
enum class WorkerLoss : std::uint8_t {
  /// The leases have expired; the worker may live and be cut off.
  kLeasesExpired,
  kAddressReused,
  kAddressChanged,
  kNoInstance,
  /// This owner had its instance moved or taken down for maintenance.
  kInstanceTaken,
};

inline constexpr EnumTable<WorkerLoss, 5> kWorkerLossNames = {{
    {WorkerLoss::kLeasesExpired, "all its leases expired"},
    {WorkerLoss::kAddressReused, "another worker answered at its address"},
    {WorkerLoss::kAddressChanged, "directory lists another address"},
    {WorkerLoss::kNoInstance, "not on any instance"},
    {WorkerLoss::kInstanceTaken,
     "its instance was moved or taken down for maintenance"},
}};

struct WorkerLinkOptions {
  /// First fencing token. All tokens of this owner are below the next owner's.
  std::int64_t first_fence = 0;
  /// Duration of the lease that runs on the worker get.
  Millis lease{4000};
  /// Longest lease that a worker accepts, measured on its own clock.
  Millis max_lease{10000};
  /// How long the worker may hold a poll open until a run ends.
  Millis poll_wait{1000};
};

/// A lease as the worker and as this node see it.
struct GivenLease {
  /// End on the worker's clock; zero if no lease is given.
  std::int64_t end_worker_ms = 0;
  /// Latest local time at which it can end.
  TimePoint latest_end{};
};

/// Link to one worker, over its successive incarnations (process lives under
/// one worker id). Not thread-safe: I/O thread only. Callbacks must not destroy
/// any part of the link.
class WorkerLink : public std::enable_shared_from_this<WorkerLink> {
 public:
  struct Listener {
    /// The worker's report. `sent_at` is when the poll was sent: a run whose
    /// start was confirmed before it and that is not reported no longer exists.
    /// `settled` is true if every command sent before `sent_at` either has
    /// taken effect by then or never will.
    std::function<void(const HoldAnswer&, TimePoint sent_at, bool settled)>
        on_report;
    /// All runs there have ended without being reported: another worker answers
    /// at the address, or the leases have expired. The worker is polled again
    /// before the next command.
    std::function<void(WorkerLoss)> on_lost;
    /// All runs of an earlier incarnation have ended. Commands sent before now
    /// may have reached the new incarnation; the next settled report shows
    /// which.
    std::function<void(const char* reason)> on_new_incarnation;
    /// The worker has seen a higher fencing token from another sender.
    std::function<void()> on_fenced;
  };

  WorkerLink(WorkerGateway* gateway, TimerService* timers, const Clock* clock,
             WorkerAddress address, WorkerLinkOptions options,
             Listener listener);

  /// Sends the first poll at once. Polling continues until Close().
  void Begin();
  /// No further calls are made and no callback runs after this.
  void Close();
  /// Passes on the incarnation in the directory entry, identified by its start
  /// time (Unix milliseconds). A later one than before begins a new
  /// incarnation.
  void NoteIncarnation(std::int64_t born_unix_ms);
  /// Leases are renewed only while this is true.
  void SetRenewing(bool renewing) { renewing_ = renewing; }

  /// Starts a task. `done` gets kUnknown if the outcome will show only in later
  /// reports. Precondition: Ready().
  void Start(StartCommand order, std::function<void(CommandResult)> done);
  void Stop(const TaskId& task, std::int64_t run);
  void Pace(const TaskId& task, std::int64_t run, int percent,
            std::function<void(CommandResult)> done);
  /// The previous owner may have given the runs on the worker a lease that ends
  /// as late as `until`. Has no effect once the present incarnation is fenced.
  void NoteEarlierLease(TimePoint until) { lease_.NoteTold(until); }
  /// Orders may have been given to earlier incarnations of the worker, by an
  /// earlier owner or by a link that this owner has closed; `known` is the last
  /// incarnation that was fenced. Precondition: the worker has not answered.
  void NoteEarlierIncarnations(const FencedIncarnation& known) {
    lease_.NoteEarlierIncarnations(known);
  }
  /// Earlier owners gave leases of up to `lease` by default, and may have done
  /// so until the worker answers this one. Precondition: it has not answered.
  void NoteEarlierUsualLease(Millis lease) {
    earlier_usual_lease_ = std::min(lease, options_.max_lease);
  }
  /// Sets the longest wait of later polls.
  void SetPollWait(Millis wait) { options_.poll_wait = wait; }
  /// The ends of the report whose last end is `number` are durable. The worker
  /// may forget them once all ends before them are durable too. Has no effect
  /// if `incarnation` is not the present one.
  void Acknowledge(int incarnation, std::int64_t number);

  /// True if the present incarnation has answered since it began or was last
  /// lost, no command's outcome is in doubt, and nothing says since that it may
  /// have ended: the lease of a start is computed from its clock.
  bool Ready() const { return synced_ && !settling_ && !InDoubt(); }
  bool Synced() const { return synced_; }
  /// True if consecutive polls have failed.
  bool Silent() const { return silent_; }
  /// Latest time at which a run started so far may still be running; zero if no
  /// lease can be valid.
  TimePoint LeaseEnd() const { return lease_.End(); }
  /// What LeaseEnd() rests on.
  LeaseOrigin LeaseEndOrigin() const { return lease_.Origin(); }
  /// True if a start to the present incarnation has no answer and may still be
  /// carried out, also by the next one. Starts to earlier incarnations are part
  /// of LeaseEnd().
  bool HasUnsettledStart() const { return unanswered_starts_ > 0 || settling_; }
  /// LeaseEnd() when all runs were last taken for ended; zero if they never
  /// were, or had no lease.
  TimePoint LostLeaseEnd() const { return lease_.LostEnd(); }
  /// The last incarnation of the worker that this or an earlier owner has
  /// fenced, perhaps not the present one.
  const FencedIncarnation& LastFenced() const { return lease_.LastFenced(); }
  /// Lease that a start would carry now.
  GivenLease NextLease() const;
  /// When the worker last answered a poll; zero if it has not.
  TimePoint LastAnswer() const { return last_answer_; }
  /// Number of ends that the worker has reported and has not been allowed to
  /// forget.
  std::int64_t UnacknowledgedEnds() const { return last_end_ - acknowledged_; }
  const WorkerAddress& Address() const { return address_; }
  std::int64_t Fence() const { return fence_; }
  /// Number of incarnations of the worker that this link has seen begin after
  /// the first.
  int Incarnation() const { return incarnation_; }
  /// Start of the present incarnation, Unix milliseconds. Zero if unknown.
  std::int64_t BornUnixMs() const { return born_unix_ms_; }

 private:
  void Poll(Millis wait);
  void SchedulePoll(Millis delay);
  void OnAnswer(const HoldAnswer& answer, TimePoint sent_at,
                const HoldCommand& order);
  void OnPollFailed(TimePoint sent_at, const HoldCommand& order);
  /// Logs the first answer of an incarnation that rules out the execution of
  /// orders with an earlier token.
  void LogIncarnationFenced() const;
  /// Milliseconds until the lease's end; null if no lease can be valid.
  Json LeaseLeft() const;
  /// True if the worker may have been restarted since its last report.
  bool InDoubt() const { return doubted_at_ != TimePoint{}; }
  /// Earliest reading of the present incarnation's clock from now on. Zero if
  /// the clock is not known.
  std::int64_t EarliestClockMs() const;
  /// Latest reading of that clock now. Precondition: the clock is known.
  std::int64_t LatestClockMs() const;
  /// Compares the clock that answered a start with the earliest reading that
  /// the present incarnation's could have had when the start was sent, and with
  /// the latest one now.
  void OnStartAnswered(const StartAnswer& answer, std::int64_t lease_worker_ms,
                       std::int64_t earliest_clock_ms);
  void OnCommandResult(CommandResult result, std::int64_t fence);
  void BeginSettling();
  void BeginIncarnation(std::int64_t born_unix_ms, const char* reason);
  void ScheduleNextPoll(bool has_new_ends);
  std::int64_t RenewLease();
  void WatchLease();

  WorkerGateway* gateway_;
  TimerService* timers_;
  const Clock* clock_;
  WorkerAddress address_;
  WorkerLinkOptions options_;
  Listener listener_;
  Millis earlier_usual_lease_{0};
  bool closed_ = false;
  bool renewing_ = true;
  bool synced_ = false;
  bool settling_ = false;
  int unanswered_starts_ = 0;
  bool silent_ = false;
  /// Another worker has answered at the address since this one last did.
  bool address_reused_ = false;
  bool poll_in_flight_ = false;
  bool poll_scheduled_ = false;
  /// When the watch of the lease is due; zero if none is set.
  TimePoint lease_watched_until_{};
  /// Number of the latest poll. The answer to an earlier one leaves
  /// `poll_in_flight_` alone.
  std::int64_t poll_number_ = 0;
  std::int64_t fence_;
  std::int64_t born_unix_ms_ = 0;
  /// When `born_unix_ms_` became known: polls sent later reach no earlier
  /// incarnation.
  TimePoint incarnation_noted_at_{};
  int incarnation_ = 0;
  std::int64_t last_end_ = 0;
  std::int64_t acknowledged_ = 0;
  /// Reports whose ends are not all acknowledged, by the number of their last
  /// end; the value is true once the ends of that report are durable.
  std::map<std::int64_t, bool> unstored_;
  /// Last reading of the worker's clock, when it arrived, and when it was asked
  /// for.
  std::int64_t worker_clock_ms_ = 0;
  TimePoint worker_clock_asked_at_{};
  TimePoint worker_clock_at_{};
  bool clock_known_ = false;
  WorkerLease lease_;
  /// Until when starts to earlier incarnations that got no answer may be
  /// executed. Zero if there are none.
  TimePoint late_starts_until_{};
  /// When a poll failed, or a start was answered by the clock of another
  /// incarnation. Zero if a poll has been answered that was sent since.
  TimePoint doubted_at_{};
  TimePoint last_answer_{};
  int failed_polls_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_WORKERLINK_H_
