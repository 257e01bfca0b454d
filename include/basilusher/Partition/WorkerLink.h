// One owner's conversation with one life of a worker: leases of what runs
// there, orders under rising fencing tokens, and what is known after silence.
#ifndef BASILUSHER_PARTITION_WORKERLINK_H_
#define BASILUSHER_PARTITION_WORKERLINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Net/IoLoop.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

struct WorkerLinkOptions {
  /// Fencing tokens begin here and stay below the next owner's.
  std::int64_t first_fence = 0;
  /// Lease given to what runs on the worker.
  Millis lease{4000};
  /// Longest lease that a worker takes, on any clock.
  Millis max_lease{10500};
  /// How long the worker may wait for an end before it answers a look.
  Millis poll_wait{1000};
};

/// Time by which a lease that ends at `lease_worker_ms` on the worker's clock
/// has surely ended here. `worker_clock_ms` was read before `read_at`. The
/// worker's clock may run `kClockDriftPerMille` slow. Thread-safe.
TimePoint LatestLeaseEnd(TimePoint read_at, std::int64_t worker_clock_ms,
                         std::int64_t lease_worker_ms);

/// Not thread-safe: I/O thread only. Callbacks may destroy nothing of the link.
class WorkerLink : public std::enable_shared_from_this<WorkerLink> {
 public:
  struct Listener {
    /// The worker's lists. `sent_at` is when the question was sent: a run whose
    /// start was confirmed before it and that is not listed is gone.
    /// `settled` is true if every order sent before `sent_at` has either taken
    /// effect by then or never will.
    std::function<void(const HoldAnswer&, TimePoint sent_at, bool settled)>
        on_report;
    /// All that ran there has ended without a trace: another worker answers, or
    /// the leases have run out. The worker is read anew before the next order.
    std::function<void(const char* reason)> on_lost;
    /// What an earlier life ran has ended. Orders that were sent before now may
    /// have reached the new life: the next settled lists tell.
    std::function<void(const char* reason)> on_new_incarnation;
    /// A higher fencing token was used by somebody else.
    std::function<void()> on_fenced;
  };

  WorkerLink(WorkerGateway* gateway, TimerService* timers, const Clock* clock,
             WorkerAddress address, WorkerLinkOptions options,
             Listener listener);

  /// Begins to look at the worker, at once and then for as long as it is kept.
  void Begin();
  /// No further calls are made and no callback runs after this.
  void Close();
  /// The directory shows another life under the same id.
  void NoteIncarnation(std::int64_t born_unix_ms);
  /// Renewals go on only while this is true.
  void SetRenewing(bool renewing) { renewing_ = renewing; }

  /// Starts a task. `done` gets kUnknown if the effect shows only in later
  /// lists. Precondition: Ready().
  void Start(StartCommand order, std::function<void(CommandResult)> done);
  void Stop(const TaskId& task, std::int64_t run);
  void Pace(const TaskId& task, std::int64_t run, int percent,
            std::function<void(CommandResult)> done);
  /// The ends of the answer whose last one is `number` are durable. They are
  /// forgotten by the worker once all ends before them are durable too.
  /// Looks wait this long for an end from now on.
  void SetPollWait(Millis wait) { options_.poll_wait = wait; }
  void Acknowledge(int incarnation, std::int64_t number);

  /// The worker's lists have been read in this life and it answers.
  bool Ready() const { return synced_ && !settling_ && !silent_; }
  bool Synced() const { return synced_; }
  /// Looks have gone unanswered for a while.
  bool Silent() const { return silent_; }
  /// Time until which something started before may still run there.
  TimePoint LeaseEnd() const { return lease_end_; }
  /// Ends that the worker has listed and still keeps.
  std::int64_t UnacknowledgedEnds() const { return last_end_ - acknowledged_; }
  const WorkerAddress& Address() const { return address_; }
  std::int64_t Fence() const { return fence_; }
  /// Number of the worker's present life under its id.
  int Incarnation() const { return incarnation_; }

 private:
  void Poll(Millis wait);
  void SchedulePoll(Millis delay);
  void OnAnswer(const HoldAnswer& answer, TimePoint sent_at,
                std::int64_t fence);
  void OnPollFailed();
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
  bool closed_ = false;
  bool renewing_ = true;
  bool synced_ = false;
  bool settling_ = false;
  bool silent_ = false;
  bool poll_in_flight_ = false;
  bool poll_scheduled_ = false;
  bool lease_watched_ = false;
  /// Counts looks, so that a planned one that was overtaken does nothing.
  std::int64_t poll_number_ = 0;
  std::int64_t fence_;
  std::int64_t born_unix_ms_ = 0;
  int incarnation_ = 0;
  std::int64_t last_end_ = 0;
  std::int64_t acknowledged_ = 0;
  /// Last numbers of answers whose ends are not all durable, and whether they
  /// are by themselves.
  std::map<std::int64_t, bool> unstored_;
  /// Last reading of the worker's clock and when its answer came.
  std::int64_t worker_clock_ms_ = 0;
  TimePoint worker_clock_at_{};
  bool clock_known_ = false;
  std::int64_t max_lease_worker_ms_ = 0;
  TimePoint lease_end_{};
  TimePoint last_answer_{};
  int failed_polls_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_WORKERLINK_H_
