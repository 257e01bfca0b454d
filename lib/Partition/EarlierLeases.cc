// Bounds of earlier owners' leases, by what is known of these owners.
#include "basilusher/Partition/EarlierLeases.h"

#include <algorithm>

namespace basilusher {

EarlierLeases::EarlierLeases(const Limits& limits, TimePoint term_began_at)
    : limits_(limits),
      end_(term_began_at + limits.owner_grace + limits.longest) {}

void EarlierLeases::NotePreviousStopped(
    TimePoint now, const std::optional<LongLeases>& long_leases) {
  NoteLeasesOfPrevious(now, now, limits_.usual, long_leases);
  Shorten();
}

void EarlierLeases::NotePreviousEnded(TimePoint now, const EndedTerm& ended) {
  // The settings may have changed between the two terms.
  NoteLeasesOfPrevious(now, now - ended.ended_ago,
                       std::max(limits_.usual, ended.usual_lease),
                       ended.long_leases);
  const TimePoint end = now + ended.earlier_left;
  end_before_previous_ = std::min(end_before_previous_.value_or(end), end);
  Shorten();
}

void EarlierLeases::NoteLeasesOfPrevious(
    TimePoint now, TimePoint ended_at, Millis usual,
    const std::optional<LongLeases>& long_leases) {
  const TimePoint end = ended_at + (long_leases ? usual : limits_.longest);
  end_if_only_previous_ = std::min(end_if_only_previous_.value_or(end), end);
  for (const auto& [worker, left] : long_leases.value_or(LongLeases())) {
    const auto [it, added] = long_lease_ends_.try_emplace(worker, now + left);
    if (!added) it->second = std::min(it->second, now + left);
  }
}

void EarlierLeases::NoteOnlyPreviousGaveLeases() {
  only_previous_ = true;
  Shorten();
}

void EarlierLeases::Shorten() {
  if (!end_if_only_previous_) return;
  if (only_previous_) end_ = std::min(end_, *end_if_only_previous_);
  if (end_before_previous_) {
    end_ =
        std::min(end_, std::max(*end_if_only_previous_, *end_before_previous_));
  }
}

TimePoint EarlierLeases::LatestEnd() const {
  TimePoint latest = end_;
  for (const auto& [worker, end] : long_lease_ends_) {
    latest = std::max(latest, end);
  }
  return latest;
}

TimePoint EarlierLeases::EndOn(const std::string& worker) const {
  const auto it = long_lease_ends_.find(worker);
  return it == long_lease_ends_.end() ? end_ : std::max(end_, it->second);
}

}  // namespace basilusher
