// Bounds the share of the event loop that rounds of placement take.
#ifndef BASILUSHER_SCHEDULE_ROUNDPACER_H_
#define BASILUSHER_SCHEDULE_ROUNDPACER_H_

#include <algorithm>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// A round's cost grows with the number of waiting jobs, and each report of a
/// worker asks for another round. A round is followed by a pause as long as
/// itself, so that leases are renewed and reports read whatever the backlog.
/// Not thread-safe.
class RoundPacer {
 public:
  /// A round has lasted from `began_at` until `ended_at`.
  void NoteRound(TimePoint began_at, TimePoint ended_at) {
    next_at_ = ended_at + (ended_at - began_at);
  }

  bool MayBegin(TimePoint now) const { return now >= next_at_; }

  /// Time from `now` until the next round, at least `least`.
  Millis DelayFrom(TimePoint now, Millis least) const {
    return std::max(least, next_at_ - now);
  }

 private:
  TimePoint next_at_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_SCHEDULE_ROUNDPACER_H_
