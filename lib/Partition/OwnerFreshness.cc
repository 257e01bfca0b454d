// Whether the owner may start tasks: the age of what it knows, and whether it
// keeps up with its work.
#include <algorithm>

#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// A tick that is this late shows that the process was paused or is behind its
/// work.
constexpr Millis kLateLoop{500};
/// Longest time for which starts wait for a read of the inbox after the loop
/// was late; more than the period of its watch.
constexpr Millis kMaxStartHold{1500};
/// An owner that has held starts for this long by an old view does not keep up
/// with its work, unless loading took it longer: its successor would start
/// nothing for that time.
constexpr Millis kBehindLimit{1500};
/// An owner whose store answers and that has read no further record for this
/// time does not come to it. How long all of them take depends on their number:
/// another node of the same strength would need as long.
constexpr Millis kLoadLimit{6000};
/// The same while a long answer of the store is arriving, whose records are
/// read when it is whole. Bounds lists that fail and begin anew.
constexpr Millis kArrivalLimit{30000};
/// A long answer is arriving if a part of it came this recently.
constexpr Millis kArrivalGap{1000};

}  // namespace

void PartitionOwner::CheckLoading() {
  const TimePoint now = deps_.clock->Now();
  // A silent store keeps the records from every node.
  if (now >= listener_.confirmed_until()) loading_progress_at_ = now;
  const Millis limit =
      now - answer_part_at_ < kArrivalGap ? kArrivalLimit : kLoadLimit;
  if (now - loading_progress_at_ >= limit && listener_.on_behind) {
    listener_.on_behind();
  }
}

void PartitionOwner::NoteAnswerPart() { answer_part_at_ = deps_.clock->Now(); }

void PartitionOwner::NoteLoadingProgress() {
  if (!loaded_) loading_progress_at_ = deps_.clock->Now();
}

void PartitionOwner::CheckLoopLateness() {
  const TimePoint now = deps_.clock->Now();
  const Millis late =
      next_tick_at_ == TimePoint{} ? Millis(0) : now - next_tick_at_;
  if (late >= kLateLoop) {
    if (held_since_ == TimePoint{}) {
      Count("starts_held_total");
      LogEvent(LogLevel::kWarning, "starts-held",
               {{"late_ms", late.count()},
                {"inbox_age_ms", (now - inbox_->FreshAt()).count()}});
    }
    // An overdue tick counts once, although several rounds may see it.
    next_tick_at_ = now;
    held_since_ = now;
  }
  // While the store is silent, MayStart() bounds how long the owner goes on.
  if (inbox_ != nullptr && (inbox_->FreshAt() >= held_since_ ||
                            now - held_since_ >= kMaxStartHold)) {
    held_since_ = TimePoint{};
  }
}

bool PartitionOwner::MayRenewLeases() const {
  return deps_.clock->Now() <
         listener_.confirmed_until() + options_.max_unconfirmed;
}

bool PartitionOwner::MayStart() const {
  return loaded_ && catalog_ != nullptr && MayRenewLeases();
}

Millis PartitionOwner::StoreSilence() const {
  const TimePoint now = deps_.clock->Now();
  const TimePoint until = listener_.confirmed_until();
  return now < until ? Millis(0) : now - (until - options_.term_lease);
}

bool PartitionOwner::ViewIsStale() const {
  const TimePoint fresh_at = std::min(inbox_->FreshAt(), directory_->FreshAt());
  // While the store does not confirm the term it is taken for silent; then
  // MayStart() bounds how long the owner goes on. A view that was too old when
  // the store last answered stays so: the renewal of the term may be late too.
  return deps_.clock->Now() - fresh_at - StoreSilence() >=
             options_.max_view_age ||
         evacuation_.ViewIsStale();
}

bool PartitionOwner::StartsHeld() const {
  // The start of a lasting task waits for the store.
  return !MayStart() || !TermIsConfirmed() || held_since_ != TimePoint{} ||
         ViewIsStale();
}

bool PartitionOwner::HasStaleView() {
  if (!ViewIsStale()) {
    stale_since_ = TimePoint{};
    return false;
  }
  const TimePoint now = deps_.clock->Now();
  if (stale_since_ == TimePoint{}) {
    stale_since_ = now;
    Count("starts_held_total");
    const std::optional<Millis> requests_age =
        deps_.evacuations == nullptr ? std::nullopt : deps_.evacuations->Age();
    LogEvent(LogLevel::kWarning, "starts-held",
             {{"inbox_age_ms", (now - inbox_->FreshAt()).count()},
              {"directory_age_ms", (now - directory_->FreshAt()).count()},
              {"evacuations_age_ms",
               requests_age ? Json(requests_age->count()) : Json()}});
  }
  const Millis limit = std::max(kBehindLimit, load_time_);
  if (now - stale_since_ >= limit && listener_.on_behind) {
    listener_.on_behind();
  }
  return true;
}

}  // namespace basilusher
