// Bounds of the leases that earlier owners may have given to runs on workers.
#ifndef BASILUSHER_PARTITION_EARLIERLEASES_H_
#define BASILUSHER_PARTITION_EARLIERLEASES_H_

#include <map>
#include <optional>
#include <string>

#include "basilusher/Partition/EndedTerm.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Until when runs may last that earlier owners started or renewed on workers
/// that this owner has not read. Neither a worker's silence nor the absence of
/// its directory entry ends such a run; only its lease does. Not thread-safe.
class EarlierLeases {
 public:
  struct Limits {
    /// Longest duration of the leases that owners usually give, and of any
    /// lease that a worker accepts, by the owner's clock.
    Millis usual{0};
    Millis longest{0};
    /// Time after the start of this term during which an earlier owner that has
    /// not been heard of may still give leases.
    Millis owner_grace{0};
  };

  EarlierLeases(const Limits& limits, TimePoint term_began_at);

  /// The previous owner's term is over at `now`. `long_leases` are those that
  /// may last longer than usual, or nothing if that is not known. Owners before
  /// the previous one may still give leases until NoteOnlyPreviousGaveLeases().
  void NotePreviousStopped(TimePoint now,
                           const std::optional<LongLeases>& long_leases);
  /// The previous owner's term is over, and its owner has told how. This also
  /// bounds the leases of the owners before it.
  void NotePreviousEnded(TimePoint now, const EndedTerm& ended);
  /// No owner before the previous one can give leases on unread workers.
  void NoteOnlyPreviousGaveLeases();

  /// Latest end of an earlier owner's lease on the worker.
  TimePoint EndOn(const std::string& worker) const;
  /// Latest end of an earlier owner's lease on any worker.
  TimePoint LatestEnd() const;
  /// Latest ends of the leases that are known to be longer than usual.
  const std::map<std::string, TimePoint>& LongLeaseEnds() const {
    return long_lease_ends_;
  }

 private:
  /// The previous owner has given no lease since `ended_at`.
  void NoteLeasesOfPrevious(TimePoint now, TimePoint ended_at, Millis usual,
                            const std::optional<LongLeases>& long_leases);
  void Shorten();

  Limits limits_;
  /// Latest end of a lease on a worker without an entry in `long_lease_ends_`.
  TimePoint end_;
  std::optional<TimePoint> end_if_only_previous_;
  /// Latest end of a lease of an owner before the previous one, if told.
  std::optional<TimePoint> end_before_previous_;
  bool only_previous_ = false;
  std::map<std::string, TimePoint> long_lease_ends_;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_EARLIERLEASES_H_
