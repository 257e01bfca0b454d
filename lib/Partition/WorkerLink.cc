// Polls, commands and leases of one worker.
#include "basilusher/Partition/WorkerLink.h"

#include <algorithm>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Allowance for rounding and scheduling delays in readings of the worker's
/// clock.
constexpr Millis kClockMargin{50};
/// Allowance for starts that are on their way when a new incarnation is
/// noticed.
constexpr Millis kStartInTransit{250};
/// Delay between a failed poll and the next one.
constexpr Millis kRetryDelay{150};
constexpr Millis kSlowRetryDelay{400};
constexpr int kQuickRetries = 3;
/// Number of consecutive failed polls after which a worker gets no new tasks.
constexpr int kSilentAfterFailures = 2;
/// Period of polls while reported ends are being stored.
constexpr Millis kUnstoredEndsPeriod{250};
/// Wait of a poll that the worker answers at once, for example to read its
/// clock.
constexpr Millis kNoWait{0};

}  // namespace

WorkerLink::WorkerLink(WorkerGateway* gateway, TimerService* timers,
                       const Clock* clock, WorkerAddress address,
                       WorkerLinkOptions options, Listener listener)
    : gateway_(gateway),
      timers_(timers),
      clock_(clock),
      address_(std::move(address)),
      options_(options),
      listener_(std::move(listener)),
      fence_(options.first_fence),
      lease_(options.max_lease) {}

void WorkerLink::Begin() { Poll(kNoWait); }

void WorkerLink::Close() { closed_ = true; }

void WorkerLink::NoteIncarnation(std::int64_t born_unix_ms) {
  if (born_unix_ms <= born_unix_ms_) return;
  if (born_unix_ms_ == 0) {
    born_unix_ms_ = born_unix_ms;
    incarnation_noted_at_ = clock_->Now();
    return;
  }
  BeginIncarnation(born_unix_ms, "directory lists a new incarnation");
  Poll(kNoWait);
}

GivenLease WorkerLink::NextLease() const {
  if (!clock_known_ || !renewing_) return {};
  const std::int64_t elapsed = (clock_->Now() - worker_clock_at_).count();
  const std::int64_t end = worker_clock_ms_ + elapsed + options_.lease.count();
  return {
      .end_worker_ms = end,
      .latest_end = LatestLeaseEnd(worker_clock_at_, worker_clock_ms_, end)};
}

std::int64_t WorkerLink::RenewLease() {
  if (!clock_known_ || !renewing_) return 0;
  const GivenLease lease = NextLease();
  lease_.NoteGiven(lease.latest_end);
  WatchLease();
  return lease.end_worker_ms;
}

void WorkerLink::WatchLease() {
  const TimePoint end = lease_.End();
  // A watch that is due earlier is set anew then.
  const bool watched = lease_watched_until_ != TimePoint{};
  if (watched && lease_watched_until_ <= end) return;
  lease_watched_until_ = end;
  const Millis delay = std::max(Millis(1), end - clock_->Now());
  timers_->After(delay, [self = shared_from_this(), end] {
    // An earlier watch has replaced this one.
    if (self->lease_watched_until_ != end) return;
    self->lease_watched_until_ = TimePoint{};
    if (self->closed_ || self->lease_.End() == TimePoint{}) return;
    if (self->clock_->Now() < self->lease_.End()) return self->WatchLease();
    self->lease_.EndAll();
    self->synced_ = false;
    self->listener_.on_lost(WorkerLoss::kLeasesExpired);
  });
}

void WorkerLink::Poll(Millis wait) {
  if (closed_) return;
  poll_in_flight_ = true;
  ++poll_number_;
  const TimePoint sent_at = clock_->Now();
  // A poll that went unanswered may have renewed the leases all the same. After
  // a failed poll none renews them until one succeeds, so that all expire at a
  // known time. Nor is anything acknowledged: a new incarnation would forget as
  // many of its own ends.
  const bool known = !InDoubt();
  const HoldCommand order = {.fence = fence_,
                             .seen_up_to = known ? acknowledged_ : 0,
                             .lease_worker_ms = known ? RenewLease() : 0,
                             .wait = wait};
  gateway_->Hold(address_, order,
                 [self = shared_from_this(), sent_at, order,
                  number = poll_number_](const HoldAnswer& answer) {
                   if (self->closed_) return;
                   if (number == self->poll_number_) {
                     self->poll_in_flight_ = false;
                   }
                   self->OnAnswer(answer, sent_at, order);
                 });
}

void WorkerLink::SchedulePoll(Millis delay) {
  if (poll_scheduled_ || closed_) return;
  poll_scheduled_ = true;
  timers_->After(delay, [self = shared_from_this()] {
    self->poll_scheduled_ = false;
    if (self->closed_ || self->poll_in_flight_) return;
    self->Poll(self->Ready() && self->acknowledged_ == self->last_end_
                   ? self->options_.poll_wait
                   : kNoWait);
  });
}

void WorkerLink::OnAnswer(const HoldAnswer& answer, TimePoint sent_at,
                          const HoldCommand& order) {
  switch (answer.result) {
    case CommandResult::kDone:
      break;
    case CommandResult::kOtherWorker:
      // The runs of a worker that this link has read may be in doubt although
      // its leases are over.
      if (synced_ || lease_.End() != TimePoint{} ||
          (last_answer_ != TimePoint{} && !address_reused_)) {
        address_reused_ = true;
        lease_.EndAll();
        synced_ = false;
        listener_.on_lost(WorkerLoss::kAddressReused);
      }
      OnPollFailed(sent_at, order);
      return;
    case CommandResult::kFenced:
      // If the token of this poll is still the latest of the link, a new owner
      // has used a higher one. Otherwise a later token of this link overtook
      // the poll.
      if (order.fence == fence_) {
        listener_.on_fenced();
        SchedulePoll(kSlowRetryDelay);
      } else if (!poll_in_flight_) {
        Poll(kNoWait);
      }
      return;
    default:
      OnPollFailed(sent_at, order);
      return;
  }
  last_answer_ = clock_->Now();
  address_reused_ = false;
  failed_polls_ = 0;
  silent_ = false;
  if (sent_at >= doubted_at_) doubted_at_ = TimePoint{};
  // The time of day of a worker may have been set back between two starts.
  const bool differs = answer.born_unix_ms != 0 && born_unix_ms_ != 0 &&
                       answer.born_unix_ms != born_unix_ms_;
  if (differs && (answer.born_unix_ms > born_unix_ms_ ||
                  sent_at > incarnation_noted_at_)) {
    BeginIncarnation(answer.born_unix_ms, "a new incarnation answered");
    Poll(kNoWait);
    return;
  }
  if (answer.born_unix_ms != 0) {
    if (differs) {
      // A late answer of an earlier incarnation.
      if (!poll_in_flight_) SchedulePoll(kRetryDelay);
      return;
    }
    if (born_unix_ms_ == 0) incarnation_noted_at_ = last_answer_;
    born_unix_ms_ = answer.born_unix_ms;
  }
  worker_clock_ms_ = answer.worker_clock_ms;
  worker_clock_asked_at_ = sent_at;
  worker_clock_at_ = last_answer_;
  clock_known_ = true;
  const bool settled = order.fence == fence_;
  if (settled && !lease_.IsFenced()) {
    lease_.NoteFenced(last_answer_, born_unix_ms_, worker_clock_ms_);
    if (incarnation_ == 0 && earlier_usual_lease_ > options_.lease) {
      lease_.NoteGiven(last_answer_ + LeaseBound(earlier_usual_lease_));
    }
    if (lease_.End() != TimePoint{}) WatchLease();
    LogIncarnationFenced();
  }
  const bool is_first_report = !synced_;
  const bool repeats_ends = std::any_of(
      answer.ended.begin(), answer.ended.end(),
      [this](const EndedTask& end) { return end.number <= last_end_; });
  // Copied only if something is left out: most reports list many runs.
  HoldAnswer without_repeated;
  if (repeats_ends) {
    without_repeated = answer;
    std::erase_if(without_repeated.ended, [this](const EndedTask& end) {
      return end.number <= last_end_;
    });
  }
  const HoldAnswer& report = repeats_ends ? without_repeated : answer;
  for (const EndedTask& end : report.ended) {
    last_end_ = std::max(last_end_, end.number);
  }
  if (settled) settling_ = false;
  synced_ = true;
  const bool has_new_ends = !report.ended.empty();
  if (has_new_ends) unstored_[last_end_] = false;
  listener_.on_report(report, sent_at, settled);
  if (closed_) return;
  if (is_first_report) {
    // The worker's clock is known now: renew the leases of its runs without
    // delay.
    if (!poll_in_flight_) Poll(kNoWait);
    return;
  }
  ScheduleNextPoll(has_new_ends);
}

void WorkerLink::ScheduleNextPoll(bool has_new_ends) {
  if (poll_in_flight_) return;
  if (settling_) return Poll(kNoWait);
  if (acknowledged_ < last_end_) {
    // Acknowledge() polls again as soon as the new ends are durable.
    SchedulePoll(kUnstoredEndsPeriod);
    return;
  }
  if (has_new_ends) return;
  Poll(options_.poll_wait);
}

void WorkerLink::LogIncarnationFenced() const {
  if (!LogsAt(LogLevel::kInfo)) return;
  LogEvent(LogLevel::kInfo, "incarnation-read",
           {{"worker", address_.id},
            {"born", born_unix_ms_},
            {"incarnation", incarnation_},
            {"fence", fence_},
            {"clock_ms", worker_clock_ms_},
            {"lease_ends_in_ms", LeaseLeft()},
            {"lease_origin", NameOf(kLeaseOriginNames, lease_.Origin())}});
}

Json WorkerLink::LeaseLeft() const {
  if (lease_.End() == TimePoint{}) return {};
  return (lease_.End() - clock_->Now()).count();
}

void WorkerLink::OnPollFailed(TimePoint sent_at, const HoldCommand& order) {
  if (failed_polls_ == 0) {
    LogEvent(LogLevel::kInfo, "poll-unanswered",
             {{"worker", address_.id},
              {"born", born_unix_ms_},
              {"fence", order.fence},
              {"sent_ago_ms", (clock_->Now() - sent_at).count()},
              {"lease_worker_ms", order.lease_worker_ms},
              {"lease_ends_in_ms", LeaseLeft()},
              {"lease_origin", NameOf(kLeaseOriginNames, lease_.Origin())}});
  }
  ++failed_polls_;
  doubted_at_ = clock_->Now();
  if (failed_polls_ >= kSilentAfterFailures) silent_ = true;
  SchedulePoll(failed_polls_ <= kQuickRetries ? kRetryDelay : kSlowRetryDelay);
}

void WorkerLink::BeginIncarnation(std::int64_t born_unix_ms,
                                  const char* reason) {
  born_unix_ms_ = born_unix_ms;
  ++incarnation_;
  ++fence_;
  last_end_ = 0;
  acknowledged_ = 0;
  unstored_.clear();
  clock_known_ = false;
  incarnation_noted_at_ = clock_->Now();
  // A start that reaches the new incarnation has a lease computed from the
  // clock of an earlier one. None can begin to run there later than the last
  // unanswered one may be executed.
  const TimePoint now = clock_->Now();
  if (HasUnsettledStart()) late_starts_until_ = now + kMaxCallDelay;
  lease_.BeginIncarnation(now,
                          std::max(kStartInTransit, late_starts_until_ - now));
  WatchLease();
  synced_ = false;
  settling_ = false;
  listener_.on_new_incarnation(reason);
}

void WorkerLink::BeginSettling() {
  ++fence_;
  settling_ = true;
  if (!closed_) Poll(kNoWait);
}

void WorkerLink::OnCommandResult(CommandResult result, std::int64_t fence) {
  if (closed_) return;
  if (result == CommandResult::kUnknown && fence == fence_) BeginSettling();
  if (result == CommandResult::kFenced && fence == fence_) {
    listener_.on_fenced();
  }
  if (result == CommandResult::kOtherWorker) {
    lease_.EndAll();
    synced_ = false;
    listener_.on_lost(WorkerLoss::kAddressReused);
    SchedulePoll(kRetryDelay);
  }
}

void WorkerLink::Start(StartCommand order,
                       std::function<void(CommandResult)> done) {
  order.fence = fence_;
  order.lease_worker_ms = RenewLease();
  ++unanswered_starts_;
  gateway_->Start(
      address_, order,
      [self = shared_from_this(), fence = fence_, lease = order.lease_worker_ms,
       earliest = EarliestClockMs(), incarnation = incarnation_,
       done = std::move(done)](const StartAnswer& answer) {
        --self->unanswered_starts_;
        if (self->closed_) return;
        done(answer.result);
        if (incarnation == self->incarnation_) {
          self->OnStartAnswered(answer, lease, earliest);
        }
        self->OnCommandResult(answer.result, fence);
      });
}

std::int64_t WorkerLink::EarliestClockMs() const {
  if (!clock_known_) return 0;
  const std::int64_t elapsed = (clock_->Now() - worker_clock_at_).count();
  return worker_clock_ms_ + elapsed * (1000 - kClockDriftPerMille) / 1000 -
         kClockMargin.count();
}

std::int64_t WorkerLink::LatestClockMs() const {
  const std::int64_t elapsed = (clock_->Now() - worker_clock_asked_at_).count();
  return worker_clock_ms_ + elapsed * (1000 + kClockDriftPerMille) / 1000 +
         kClockMargin.count();
}

void WorkerLink::OnStartAnswered(const StartAnswer& answer,
                                 std::int64_t lease_worker_ms,
                                 std::int64_t earliest_clock_ms) {
  if (!answer.worker_clock_ms || !clock_known_) return;
  if (*answer.worker_clock_ms >= earliest_clock_ms &&
      *answer.worker_clock_ms <= LatestClockMs()) {
    return;
  }
  // Another incarnation has taken the start: its clock has another origin.
  const TimePoint now = clock_->Now();
  const Millis left =
      std::clamp(Millis(lease_worker_ms - *answer.worker_clock_ms), Millis(0),
                 options_.max_lease);
  lease_.NoteEarlierClock(now + LeaseBound(left));
  LogEvent(LogLevel::kWarning, "start-reached-other-incarnation",
           {{"worker", address_.id},
            {"born", born_unix_ms_},
            {"fence", fence_},
            {"clock_ms", *answer.worker_clock_ms},
            {"earliest_clock_ms", earliest_clock_ms},
            {"latest_clock_ms", LatestClockMs()},
            {"lease_worker_ms", lease_worker_ms},
            {"lease_ends_in_ms", LeaseLeft()}});
  WatchLease();
  if (InDoubt()) return;
  doubted_at_ = now;
  Poll(kNoWait);
}

void WorkerLink::Stop(const TaskId& task, std::int64_t run) {
  gateway_->Stop(
      address_, task, run, fence_,
      [self = shared_from_this(), fence = fence_](CommandResult result) {
        self->OnCommandResult(result, fence);
      });
}

void WorkerLink::Pace(const TaskId& task, std::int64_t run, int percent,
                      std::function<void(CommandResult)> done) {
  gateway_->Pace(address_, task, run, percent, fence_,
                 [self = shared_from_this(), fence = fence_,
                  done = std::move(done)](CommandResult result) {
                   if (self->closed_) return;
                   done(result);
                   self->OnCommandResult(result, fence);
                 });
}

void WorkerLink::Acknowledge(int incarnation, std::int64_t number) {
  // Each incarnation numbers its ends from one.
  if (incarnation != incarnation_) return;
  const auto batch = unstored_.find(number);
  if (batch == unstored_.end()) return;
  batch->second = true;
  while (!unstored_.empty() && unstored_.begin()->second) {
    acknowledged_ = unstored_.begin()->first;
    unstored_.erase(unstored_.begin());
  }
  if (closed_ || poll_in_flight_ || acknowledged_ < last_end_) return;
  Poll(options_.poll_wait);
}

}  // namespace basilusher
