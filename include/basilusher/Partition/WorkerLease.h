// What one owner knows of the lease that a worker holds.
#ifndef BASILUSHER_PARTITION_WORKERLEASE_H_
#define BASILUSHER_PARTITION_WORKERLEASE_H_

#include <cstdint>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// What the bound of a lease rests on.
enum class LeaseOrigin : std::uint8_t {
  /// No lease can be valid.
  kNone,
  /// An order of this owner, computed from a reading of the incarnation's
  /// clock.
  kOwnOrder,
  /// The previous owner told of it.
  kToldByPreviousOwner,
  /// An order computed from the clock of an earlier incarnation may have been
  /// executed by the present one.
  kEarlierClock,
};

inline constexpr EnumTable<LeaseOrigin, 4> kLeaseOriginNames = {{
    {LeaseOrigin::kNone, "none"},
    {LeaseOrigin::kOwnOrder, "own order"},
    {LeaseOrigin::kToldByPreviousOwner, "told by the previous owner"},
    {LeaseOrigin::kEarlierClock, "clock of an earlier incarnation"},
}};

/// Another process's clock may run this much slower or faster, so leases on a
/// worker last that much longer.
inline constexpr std::int64_t kClockDriftPerMille = 20;
/// Longest time after which a call that got no answer may still be executed.
inline constexpr Millis kMaxCallDelay{12000};

/// Returns the latest local time at which a lease that ends at
/// `lease_worker_ms` on the worker's clock can end. `worker_clock_ms` was read
/// before `read_at`. Allows for a worker clock that runs slow by
/// `kClockDriftPerMille`. Thread-safe.
TimePoint LatestLeaseEnd(TimePoint read_at, std::int64_t worker_clock_ms,
                         std::int64_t lease_worker_ms);

/// Returns an upper bound for the local duration of a lease of `lease` on a
/// worker's clock. Thread-safe.
Millis LeaseBound(Millis lease);

/// An incarnation of a worker that has answered an owner under a fencing token
/// that no order to an earlier incarnation has: it executes none of them later.
struct FencedIncarnation {
  /// Its start, Unix milliseconds; zero if none is known to be fenced.
  std::int64_t born_unix_ms = 0;
  /// Reading of its own clock (milliseconds) from which on it holds no lease
  /// computed from the clock of an earlier incarnation. Zero if it never did.
  std::int64_t settled_clock_ms = 0;
};

/// Upper bound of the lease of all runs on one worker, by the owner's clock.
///
/// A lease is the property of one incarnation of the worker and is never
/// shortened. It has up to three sources: this owner's orders, what the
/// previous owner told of, and orders computed from the clock of an earlier
/// incarnation. The present incarnation may execute the latter until it is
/// fenced, and holds the longest lease that a worker accepts then. Not
/// thread-safe.
class WorkerLease {
 public:
  /// `max_lease` is the longest lease that a worker accepts, by its own clock.
  explicit WorkerLease(Millis max_lease) : max_lease_(max_lease) {}

  /// Orders may have been given to earlier incarnations; `known` is the last
  /// incarnation that was fenced. Call it before the first answer.
  void NoteEarlierIncarnations(const FencedIncarnation& known);
  /// The previous owner may have given a lease that ends as late as `until`.
  /// Has no effect once the incarnation is fenced.
  void NoteTold(TimePoint until);
  /// An order of this owner may have given a lease that ends as late as
  /// `until`.
  void NoteGiven(TimePoint until);
  /// An order computed from the clock of an earlier incarnation may have given
  /// a lease that ends as late as `until`.
  void NoteEarlierClock(TimePoint until);
  /// Another incarnation has begun, noticed at `now`; the runs of the one
  /// before have ended. Orders to that one that are on their way may be
  /// executed as late as `call_delay` from now.
  void BeginIncarnation(TimePoint now, Millis call_delay);
  /// The present incarnation, which began at `born_unix_ms` (zero if unknown),
  /// has answered at `now`, at the reading `clock_ms` of its clock, under a
  /// token that no order of an earlier owner or to an earlier incarnation has.
  /// Only the first call for an incarnation has an effect.
  void NoteFenced(TimePoint now, std::int64_t born_unix_ms,
                  std::int64_t clock_ms);
  /// All runs there have ended: no lease is valid.
  void EndAll();

  /// Latest time at which a lease can end; zero if none can be valid.
  TimePoint End() const;
  /// What End() rests on.
  LeaseOrigin Origin() const;
  /// End() at the latest call of EndAll(); zero if there was no lease then.
  TimePoint LostEnd() const { return lost_end_; }
  /// True if NoteFenced() has been called for the present incarnation.
  bool IsFenced() const { return fenced_; }
  /// The last incarnation that this or an earlier owner has fenced.
  const FencedIncarnation& LastFenced() const { return last_fenced_; }

 private:
  Millis max_lease_;
  TimePoint given_end_{};
  TimePoint told_end_{};
  TimePoint earlier_clock_end_{};
  TimePoint lost_end_{};
  bool fenced_ = false;
  bool may_follow_another_ = false;
  FencedIncarnation last_fenced_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_WORKERLEASE_H_
