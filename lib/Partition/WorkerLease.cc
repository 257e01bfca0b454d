// Bookkeeping of the bound of one worker's lease.
#include "basilusher/Partition/WorkerLease.h"

#include <algorithm>

namespace basilusher {
namespace {

/// Allowance for rounding and scheduling delays on both sides.
constexpr Millis kLeaseMargin{50};

}  // namespace

TimePoint LatestLeaseEnd(TimePoint read_at, std::int64_t worker_clock_ms,
                         std::int64_t lease_worker_ms) {
  const std::int64_t remaining_ms =
      std::max<std::int64_t>(0, lease_worker_ms - worker_clock_ms);
  return read_at +
         Millis(remaining_ms * 1000 / (1000 - kClockDriftPerMille) + 1) +
         kLeaseMargin;
}

Millis LeaseBound(Millis lease) {
  return LatestLeaseEnd(TimePoint{}, 0, lease.count()) - TimePoint{};
}

void WorkerLease::NoteEarlierIncarnations(const FencedIncarnation& known) {
  may_follow_another_ = true;
  last_fenced_ = known;
}

void WorkerLease::NoteTold(TimePoint until) {
  if (!fenced_) told_end_ = std::max(told_end_, until);
}

void WorkerLease::NoteGiven(TimePoint until) {
  given_end_ = std::max(given_end_, until);
}

void WorkerLease::NoteEarlierClock(TimePoint until) {
  earlier_clock_end_ = std::max(earlier_clock_end_, until);
}

void WorkerLease::BeginIncarnation(TimePoint now, Millis call_delay) {
  EndAll();
  fenced_ = false;
  may_follow_another_ = true;
  earlier_clock_end_ = now + call_delay + LeaseBound(max_lease_);
}

void WorkerLease::NoteFenced(TimePoint now, std::int64_t born_unix_ms,
                             std::int64_t clock_ms) {
  if (fenced_) return;
  fenced_ = true;
  // The bound from the worker's answer replaces what was assumed before it.
  told_end_ = TimePoint{};
  earlier_clock_end_ = TimePoint{};
  // A worker that does not tell its start does not restart under its id.
  const bool may_hold_long_lease = may_follow_another_ && born_unix_ms != 0;
  if (!may_hold_long_lease || last_fenced_.born_unix_ms != born_unix_ms) {
    last_fenced_ = {.born_unix_ms = born_unix_ms,
                    .settled_clock_ms = may_hold_long_lease
                                            ? clock_ms + max_lease_.count()
                                            : 0};
  }
  if (last_fenced_.settled_clock_ms <= clock_ms) return;
  earlier_clock_end_ =
      LatestLeaseEnd(now, clock_ms, last_fenced_.settled_clock_ms);
}

void WorkerLease::EndAll() {
  lost_end_ = End();
  given_end_ = TimePoint{};
  earlier_clock_end_ = TimePoint{};
}

TimePoint WorkerLease::End() const {
  // What was told concerns runs that this owner has not read.
  if (given_end_ == TimePoint{} && earlier_clock_end_ == TimePoint{}) return {};
  return std::max({given_end_, told_end_, earlier_clock_end_});
}

LeaseOrigin WorkerLease::Origin() const {
  const TimePoint end = End();
  if (end == TimePoint{}) return LeaseOrigin::kNone;
  if (end == given_end_) return LeaseOrigin::kOwnOrder;
  return end == told_end_ ? LeaseOrigin::kToldByPreviousOwner
                          : LeaseOrigin::kEarlierClock;
}

}  // namespace basilusher
