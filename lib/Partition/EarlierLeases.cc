// Bounds of earlier owners' leases, by what is known of these owners.
#include "basilusher/Partition/EarlierLeases.h"

#include <algorithm>

namespace basilusher {

EarlierLeases::EarlierLeases(const Limits& limits, TimePoint term_began_at)
    : limits_(limits),
      end_(term_began_at + limits.owner_grace + limits.longest) {}

void EarlierLeases::NotePreviousStopped(
    TimePoint now, const std::optional<LongLeases>& long_leases) {
  end_if_only_previous_ = now + (long_leases ? limits_.usual : limits_.longest);
  for (const auto& [worker, left] : long_leases.value_or(LongLeases())) {
    long_lease_ends_[worker] = now + left;
  }
  Shorten();
}

void EarlierLeases::NoteOnlyPreviousGaveLeases() {
  only_previous_ = true;
  Shorten();
}

void EarlierLeases::Shorten() {
  if (only_previous_ && end_if_only_previous_) {
    end_ = std::min(end_, *end_if_only_previous_);
  }
}

TimePoint EarlierLeases::EndOn(const std::string& worker) const {
  const auto it = long_lease_ends_.find(worker);
  return it == long_lease_ends_.end() ? end_ : std::max(end_, it->second);
}

}  // namespace basilusher
