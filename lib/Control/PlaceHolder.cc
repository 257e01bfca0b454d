// Use of places, and the holder's side of the protocol with a team's home.
#include "basilusher/Control/PlaceHolder.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace basilusher {
namespace {

/// An ask without an answer is sent again after this time.
constexpr Millis kAskTimeout{150};
/// Shortest time between two asks.
constexpr Millis kAskPeriod{50};
/// Unused places are returned after this time without demand.
constexpr Millis kIdleReturnDelay{1000};
/// Places asked for beyond the present use, for the next requests.
constexpr int kHeadroom = 1;
/// An answer received later than this after its ask is ignored.
constexpr Millis kAnswerTimeout{2000};

}  // namespace

PlaceHolder::PlaceHolder(Context context) : context_(std::move(context)) {}

int PlaceHolder::LimitOf(const std::string& team) const {
  const ViewPtr view = context_.views->Current();
  if (view->intent == nullptr) return 0;
  const auto it = view->intent->teams.find(team);
  return it == view->intent->teams.end() ? 0 : it->second.limit;
}

int PlaceHolder::UsableCeiling(const std::string& team,
                               const TeamPlaces& places) const {
  return std::min(ScaledCeiling(team, places), places.target);
}

int PlaceHolder::ScaledCeiling(const std::string& team,
                               const TeamPlaces& places) const {
  // All ceilings granted under one basis add up to at most that basis. Scaled
  // down by limit/basis, they add up to at most a lowered limit, so that no
  // message from the home is needed.
  const int limit = LimitOf(team);
  if (limit >= places.basis) return std::min(places.ceiling, limit);
  return places.ceiling * limit / places.basis;
}

bool PlaceHolder::TryAcquire(const std::string& team) {
  TeamPlaces& places = teams_[team];
  places.busy_until = context_.clock->Now() + kIdleReturnDelay;
  if (places.in_use >= UsableCeiling(team, places)) return false;
  ++places.in_use;
  assert(places.in_use <= places.ceiling && "use stays under the ceiling");
  return true;
}

void PlaceHolder::Release(const std::string& team) {
  TeamPlaces& places = teams_[team];
  assert(places.in_use > 0 && "only taken places are released");
  --places.in_use;
  if (places.target < places.ceiling) LowerCeiling(&places, places.target);
}

void PlaceHolder::SetWaiting(const std::string& team, int waiting) {
  TeamPlaces& places = teams_[team];
  places.waiting = waiting;
  if (waiting == 0) return;
  const TimePoint now = context_.clock->Now();
  places.busy_until = now + kIdleReturnDelay;
  const bool due =
      !places.ask_pending && now - places.ask_sent_at >= kAskPeriod;
  if (due && places.in_use + waiting > UsableCeiling(team, places)) {
    SendAsk(team, &places);
  }
}

bool PlaceHolder::IsWithinLimit(const std::string& team) const {
  return teams_.contains(team) && ExcessOf(team) <= 0;
}

int PlaceHolder::ExcessOf(const std::string& team) const {
  const auto it = teams_.find(team);
  if (it == teams_.end()) return 0;
  return it->second.in_use - ScaledCeiling(team, it->second);
}

int PlaceHolder::InUse(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.in_use;
}

int PlaceHolder::Ceiling(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.ceiling;
}

void PlaceHolder::LowerCeiling(TeamPlaces* places, int ceiling) {
  places->ceiling =
      std::min(places->ceiling, std::max(ceiling, places->in_use));
}

void PlaceHolder::SendAsk(const std::string& team, TeamPlaces* places) {
  std::string home = places->home.instance;
  const ViewPtr view = context_.views->Current();
  if (!view->entries.contains(home)) {
    home = HomeOrSelf(context_, "places/" + team);
  }
  // Answers to earlier asks are ignored from here on, so the ceiling in this
  // ask can't be raised by one of them.
  ++places->sequence;
  places->ask_pending = true;
  places->ask_sent_at = context_.clock->Now();
  const int wanted =
      std::max(places->in_use + places->waiting,
               std::min(places->in_use + kHeadroom, places->ceiling));
  context_.bus->Send(home, PlaceAsk{.team = team,
                                    .term = places->term,
                                    .sequence = places->sequence,
                                    .ceiling = places->ceiling,
                                    .basis = places->basis,
                                    .in_use = places->in_use,
                                    .wanted = wanted});
}

void PlaceHolder::OnMessage(const PeerId& from, const Message& message) {
  if (const PlaceAnswer* answer = std::get_if<PlaceAnswer>(&message)) {
    OnAnswer(from, *answer);
  }
  if (const PlaceTerm* term = std::get_if<PlaceTerm>(&message)) OnTerm(*term);
  if (const PlaceRecall* recall = std::get_if<PlaceRecall>(&message)) {
    OnRecall(*recall);
  }
}

void PlaceHolder::OnAnswer(const PeerId& from, const PlaceAnswer& answer) {
  TeamPlaces& places = teams_[answer.team];
  if (answer.term != places.term || from != places.home) return;
  if (!places.ask_pending || answer.sequence != places.sequence) return;
  places.ask_pending = false;
  if (context_.clock->Now() - places.ask_sent_at > kAnswerTimeout) return;
  // An answer never withdraws places that are in use.
  if (answer.ceiling < places.in_use) return;
  places.ceiling = answer.ceiling;
  places.basis = answer.basis;
  places.target = answer.ceiling;
}

void PlaceHolder::OnTerm(const PlaceTerm& term) {
  TeamPlaces& places = teams_[term.team];
  if (term.term < places.term) return;
  places.term = term.term;
  places.home = term.home;
  // This ask acknowledges the term: answers of older terms are ignored.
  SendAsk(term.team, &places);
}

void PlaceHolder::OnRecall(const PlaceRecall& recall) {
  TeamPlaces& places = teams_[recall.team];
  if (recall.term != places.term || recall.lower_to >= places.ceiling) return;
  places.target = recall.lower_to;
  LowerCeiling(&places, recall.lower_to);
  SendAsk(recall.team, &places);
}

void PlaceHolder::OnTick() {
  const TimePoint now = context_.clock->Now();
  for (std::pair<const std::string, TeamPlaces>& row : teams_) {
    TeamPlaces& places = row.second;
    if (places.ask_pending && now - places.ask_sent_at >= kAskTimeout) {
      SendAsk(row.first, &places);
      continue;
    }
    if (places.ask_pending || now - places.ask_sent_at < kAskPeriod) continue;
    const int needed = places.in_use + places.waiting;
    if (needed > UsableCeiling(row.first, places)) {
      SendAsk(row.first, &places);
      continue;
    }
    const int kept = places.in_use + kHeadroom;
    if (now >= places.busy_until && places.ceiling > kept - kHeadroom) {
      places.target = places.in_use;
      LowerCeiling(&places, places.in_use);
      SendAsk(row.first, &places);
    }
  }
}

}  // namespace basilusher
