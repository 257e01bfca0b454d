// Take-over, announcements and recalls of places.
#include "basilusher/Control/PlaceHome.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace basilusher {
namespace {

/// Whether there is evidence that this incarnation has ended: its instance runs
/// as a newer one or is no longer listed by the platform. Missing heartbeats
/// and an expired lease are no evidence.
bool MayHaveEnded(const ClusterView& view, const PeerId& holder) {
  const auto it = view.entries.find(holder.instance);
  if (it != view.entries.end()) {
    return it->second.incarnation > holder.incarnation;
  }
  return !view.listed_entries.empty() &&
         !view.listed_entries.contains(holder.instance);
}

constexpr Millis kReadPeriod{500};
constexpr Millis kUpdatePeriod{500};
constexpr Millis kAnnouncePeriod{250};
constexpr Millis kRecallPeriod{100};
constexpr Millis kHolderCheckPeriod{1000};
/// Period after which the places that remain after an even split go to other
/// holders.
constexpr Millis kRotationPeriod{400};

std::string PlaceSubject(const std::string& team) { return "places/" + team; }

}  // namespace

std::string PlaceKey(const std::string& team) { return "places/" + team; }

PlaceHome::PlaceHome(Context context, HolderFencing* fencing)
    : context_(std::move(context)), fencing_(fencing) {}

std::int64_t PlaceHome::TermOf(const std::string& team) const {
  const PlaceLedger* ledger = LedgerOf(team);
  return ledger == nullptr ? 0 : ledger->Record().term;
}

const PlaceLedger* PlaceHome::LedgerOf(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? nullptr : it->second.ledger.get();
}

bool PlaceHome::HomeMayBeAlive(const PlaceRecord& record) const {
  const ViewPtr view = context_.views->Current();
  // A home that this entry can't reach may still be reachable for others, so it
  // counts as alive while it holds its lease, which a planned shutdown ends
  // early. After that it still counts as alive while the view lists it among
  // the live entries, by recent heartbeats that announce no shutdown.
  const auto leased = view->leased.find(record.home.instance);
  if (leased != view->leased.end() &&
      leased->second.incarnation == record.home.incarnation) {
    return true;
  }
  const auto reachable = view->entries.find(record.home.instance);
  return reachable != view->entries.end() &&
         reachable->second.incarnation == record.home.incarnation;
}

bool PlaceHome::ShouldTakeOver(const std::string& team,
                               const TeamState& state) const {
  if (shutting_down_) return false;
  const ViewPtr view = context_.views->Current();
  if (HomeOf(*view, PlaceSubject(team)) != context_.self.instance) return false;
  return !state.stored || !HomeMayBeAlive(*state.stored) ||
         state.stored->home == context_.Self();
}

void PlaceHome::OnTick() {
  const ViewPtr view = context_.views->Current();
  if (view->intent == nullptr) return;
  const TimePoint now = context_.clock->Now();
  for (const std::pair<const std::string, TeamIntent>& row :
       view->intent->teams) {
    TeamState& state = teams_[row.first];
    if (state.ledger != nullptr) {
      TickHome(row.first, &state);
      continue;
    }
    if (state.store_call_pending || now < state.next_read) continue;
    state.next_read = now + kReadPeriod;
    if (ShouldTakeOver(row.first, state)) ReadRecord(row.first);
  }
}

void PlaceHome::ReadRecord(const std::string& team) {
  teams_[team].store_call_pending = true;
  context_.store->Get(StorePurpose::kPlace, PlaceKey(team),
                      [this, team](const StoreReply& reply) {
                        teams_[team].store_call_pending = false;
                        OnRecordRead(team, reply);
                      });
}

void PlaceHome::OnRecordRead(const std::string& team, const StoreReply& reply) {
  TeamState& state = teams_[team];
  if (reply.status == StoreStatus::kUnavailable) return;
  if (reply.status == StoreStatus::kNotFound) {
    state.stored.reset();
    state.version = 0;
  } else {
    state.stored = Json::parse(reply.entries.front().value).get<PlaceRecord>();
    state.version = reply.entries.front().version;
  }
  if (state.ledger == nullptr && ShouldTakeOver(team, state)) TakeOver(team);
}

void PlaceHome::TakeOver(const std::string& team) {
  TeamState& state = teams_[team];
  PlaceRecord desired =
      state.stored.value_or(PlaceRecord{.team = team, .term = 0});
  ++desired.term;
  desired.home = context_.Self();
  const ViewPtr view = context_.views->Current();
  if (!state.stored) {
    const auto it = view->intent->teams.find(team);
    desired.basis = it == view->intent->teams.end() ? 0 : it->second.limit;
  }
  state.store_call_pending = true;
  context_.store->Swap(StorePurpose::kPlace,
                       {.key = PlaceKey(team),
                        .expected_version = state.version,
                        .value = Json(desired).dump()},
                       [this, team, desired](const StoreReply& reply) {
                         teams_[team].store_call_pending = false;
                         OnTakeOverReply(team, desired, reply);
                       });
}

void PlaceHome::OnTakeOverReply(const std::string& team,
                                const PlaceRecord& desired,
                                const StoreReply& reply) {
  TeamState& state = teams_[team];
  // After a lost reply the record is read again. If it names this entry, the
  // next term is taken, so that no term is ever served from two accounts.
  if (reply.status != StoreStatus::kOk) return;
  state.stored = desired;
  state.version = reply.version;
  state.ledger = std::make_unique<PlaceLedger>(desired);
  state.next_announcement = {};
  context_.counters->Add("place_takeovers");
  TickHome(team, &state);
}

void PlaceHome::TickHome(const std::string& team, TeamState* state) {
  const ViewPtr view = context_.views->Current();
  const auto it = view->intent->teams.find(team);
  state->ledger->SetLimit(it == view->intent->teams.end() ? 0
                                                          : it->second.limit);
  UpdateRecord(team, state);
  if (state->ledger == nullptr) return;
  Announce(team, state);
  SendRecalls(state);
  RemoveEndedHolders(team, state);
}

void PlaceHome::UpdateRecord(const std::string& team, TeamState* state) {
  const TimePoint now = context_.clock->Now();
  if (state->store_call_pending || now < state->next_update) return;
  state->next_update = now + kUpdatePeriod;
  const ViewPtr view = context_.views->Current();
  std::vector<std::string> holders;
  for (const std::pair<const std::string, EntryInfo>& row : view->entries) {
    holders.push_back(ToString({row.first, row.second.incarnation}));
  }
  // The first entry to start knows of no other entry yet. A ceiling computed
  // for it alone would be the whole limit, and would stay accounted to it if it
  // then became unreachable.
  const int expected = static_cast<int>(
      std::max(view->listed_entries.size(), view->leased.size()));
  const PlaceRecord desired = state->ledger->DesiredRecord(holders, expected);
  const PlaceRecord& record = state->ledger->Record();
  if (desired.ceilings == record.ceilings && desired.basis == record.basis) {
    return;
  }
  state->store_call_pending = true;
  state->ledger->BeginRecordWrite(desired);
  context_.store->Swap(StorePurpose::kPlace,
                       {.key = PlaceKey(team),
                        .expected_version = state->version,
                        .value = Json(desired).dump()},
                       [this, team, desired](const StoreReply& reply) {
                         teams_[team].store_call_pending = false;
                         OnRecordUpdateReply(team, desired, reply);
                       });
}

void PlaceHome::OnRecordUpdateReply(const std::string& team,
                                    const PlaceRecord& desired,
                                    const StoreReply& reply) {
  TeamState& state = teams_[team];
  if (state.ledger == nullptr) return;
  switch (reply.status) {
    case StoreStatus::kOk:
      state.version = reply.version;
      state.stored = desired;
      state.ledger->SetRecord(desired);
      return;
    case StoreStatus::kUnavailable:
      // Nothing was written: the stored record stays in force until a later
      // write.
      state.ledger->SetRecord(state.ledger->Record());
      return;
    case StoreStatus::kConflict:
    case StoreStatus::kAnswerLost:
    case StoreStatus::kNotFound:
      // Another entry took the team over, or it is unknown what is stored.
      StepDown(&state);
      ReadRecord(team);
      return;
  }
}

void PlaceHome::StepDown(TeamState* state) {
  state->ledger.reset();
  context_.counters->Add("place_stepdowns");
}

void PlaceHome::Announce(const std::string& team, TeamState* state) {
  const TimePoint now = context_.clock->Now();
  if (now < state->next_announcement) return;
  state->next_announcement = now + kAnnouncePeriod;
  const ViewPtr view = context_.views->Current();
  const PlaceTerm term{.team = team,
                       .term = state->ledger->Record().term,
                       .home = context_.Self()};
  const std::vector<std::string> unreported = state->ledger->Unreported();
  for (const std::pair<const std::string, EntryInfo>& row : view->entries) {
    const std::string name = ToString({row.first, row.second.incarnation});
    if (std::find(unreported.begin(), unreported.end(), name) ==
        unreported.end()) {
      continue;
    }
    context_.bus->Send(row.first, term);
  }
}

void PlaceHome::SendRecalls(TeamState* state) {
  const TimePoint now = context_.clock->Now();
  if (now < state->next_recall) return;
  state->next_recall = now + kRecallPeriod;
  const std::int64_t rotation =
      now.time_since_epoch().count() / kRotationPeriod.count();
  for (const std::pair<PeerId, PlaceRecall>& row :
       state->ledger->Recalls(rotation)) {
    context_.bus->Send(row.first.instance, row.second);
  }
}

void PlaceHome::RemoveEndedHolders(const std::string& team, TeamState* state) {
  const TimePoint now = context_.clock->Now();
  if (now < state->next_holder_check) return;
  state->next_holder_check = now + kHolderCheckPeriod;
  const ViewPtr view = context_.views->Current();
  const std::int64_t term = state->ledger->Record().term;
  for (const std::pair<const std::string, int>& row :
       state->ledger->Record().ceilings) {
    const std::size_t mark = row.first.rfind('#');
    const PeerId holder{row.first.substr(0, mark),
                        std::stoll(row.first.substr(mark + 1))};
    if (!MayHaveEnded(*view, holder)) continue;
    fencing_->BarHolder(holder,
                        [this, team, term, name = row.first](bool barred) {
                          TeamState& current = teams_[team];
                          if (!barred || TermOf(team) != term) return;
                          current.ledger->Remove(name);
                          context_.counters->Add("place_holders_removed");
                        });
  }
}

void PlaceHome::OnMessage(const PeerId& from, const Message& message) {
  if (const PlaceAsk* ask = std::get_if<PlaceAsk>(&message)) OnAsk(from, *ask);
  if (const PlaceTerm* term = std::get_if<PlaceTerm>(&message)) OnTerm(*term);
}

void PlaceHome::OnTerm(const PlaceTerm& term) {
  TeamState& state = teams_[term.team];
  if (state.ledger == nullptr || state.ledger->Record().term >= term.term) {
    return;
  }
  StepDown(&state);
}

void PlaceHome::OnAsk(const PeerId& from, const PlaceAsk& ask) {
  TeamState& state = teams_[ask.team];
  if (state.ledger == nullptr) {
    if (!state.stored || state.stored->home == context_.Self()) return;
    context_.bus->Send(from.instance, PlaceTerm{.team = ask.team,
                                                .term = state.stored->term,
                                                .home = state.stored->home});
    return;
  }
  const std::int64_t term = state.ledger->Record().term;
  if (ask.term > term) {
    StepDown(&state);
    return;
  }
  if (ask.term < term) {
    context_.bus->Send(
        from.instance,
        PlaceTerm{.team = ask.team, .term = term, .home = context_.Self()});
    return;
  }
  const std::optional<PlaceAnswer> answer = state.ledger->OnAsk(from, ask);
  if (answer) context_.bus->Send(from.instance, *answer);
}

}  // namespace basilusher
