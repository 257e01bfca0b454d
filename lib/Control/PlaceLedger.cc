// Accounting of granted places, grants and recalls.
#include "basilusher/Control/PlaceLedger.h"

#include <algorithm>
#include <cassert>

namespace basilusher {
namespace {

/// Places to account under `limit` for `places` granted under the limit
/// `basis`. When the limit is lowered, a holder scales its ceiling down by
/// limit/basis, so places granted under a lower basis count more under a higher
/// limit.
int ScaleUp(int places, int basis, int limit) {
  if (basis >= limit) return places;
  if (basis <= 0) return places == 0 ? 0 : limit;
  return (places * limit + basis - 1) / basis;
}

/// Max-min fair split of `limit` over `wants`. Places that remain after an even
/// split go to holders in turn, beginning with `rotation`.
std::vector<int> SplitFairly(const std::vector<int>& wants, int limit,
                             std::int64_t rotation) {
  std::vector<int> parts(wants.size(), 0);
  int left = limit;
  while (left > 0) {
    std::vector<std::size_t> unsatisfied;
    for (std::size_t n = 0; n < wants.size(); ++n) {
      if (parts[n] < wants[n]) unsatisfied.push_back(n);
    }
    if (unsatisfied.empty()) break;
    const int each = left / static_cast<int>(unsatisfied.size());
    if (each == 0) {
      for (int n = 0; n < left; ++n) {
        ++parts[unsatisfied[(rotation + n) % unsatisfied.size()]];
      }
      break;
    }
    for (std::size_t n : unsatisfied) {
      const int part = std::min(each, wants[n] - parts[n]);
      parts[n] += part;
      left -= part;
    }
  }
  return parts;
}

int CeilingIn(const PlaceRecord& record, const std::string& name) {
  const auto it = record.ceilings.find(name);
  return it == record.ceilings.end() ? 0 : it->second;
}

}  // namespace

void to_json(Json& json, const PlaceRecord& record) {
  json = {
      {"team", record.team},          {"term", record.term},
      {"home", record.home.instance}, {"incarnation", record.home.incarnation},
      {"basis", record.basis},        {"ceilings", record.ceilings}};
}

void from_json(const Json& json, PlaceRecord& record) {
  record.team = json.at("team").get<std::string>();
  record.term = json.at("term").get<std::int64_t>();
  record.home = {json.at("home").get<std::string>(),
                 json.at("incarnation").get<std::int64_t>()};
  record.basis = json.at("basis").get<int>();
  record.ceilings = json.at("ceilings").get<std::map<std::string, int>>();
}

PlaceLedger::PlaceLedger(PlaceRecord record) { SetRecord(std::move(record)); }

void PlaceLedger::SetRecord(PlaceRecord record) {
  assert((record_.term == 0 || record_.term == record.term) &&
         "a ledger lives for one term");
  record_ = std::move(record);
  pending_.reset();
  for (const std::pair<const std::string, int>& row : record_.ceilings) {
    holders_.try_emplace(row.first);
  }
}

void PlaceLedger::BeginRecordWrite(PlaceRecord pending) {
  assert(pending.term == record_.term && "a ledger lives for one term");
  pending_ = std::move(pending);
}

int PlaceLedger::RecordedCeiling(const std::string& name) const {
  const int stored = CeilingIn(record_, name);
  return pending_ ? std::max(stored, CeilingIn(*pending_, name)) : stored;
}

int PlaceLedger::GrantCap(const std::string& name) const {
  const int stored = CeilingIn(record_, name);
  return pending_ ? std::min(stored, CeilingIn(*pending_, name)) : stored;
}

int PlaceLedger::WeightOf(const std::string& name, const Holder& holder) const {
  if (!holder.reported) {
    return ScaleUp(RecordedCeiling(name), record_.basis, limit_);
  }
  return ScaleUp(holder.ceiling, holder.basis, limit_);
}

int PlaceLedger::Outstanding() const {
  int out = 0;
  for (const std::pair<const std::string, Holder>& row : holders_) {
    out += WeightOf(row.first, row.second);
  }
  return out;
}

std::optional<PlaceAnswer> PlaceLedger::OnAsk(const PeerId& peer,
                                              const PlaceAsk& ask) {
  assert(ask.term == record_.term && "reports belong to one term");
  const std::string name = ToString(peer);
  Holder& holder = holders_[name];
  if (holder.reported && ask.sequence <= holder.sequence) return std::nullopt;
  holder.peer = peer;
  holder.reported = true;
  holder.sequence = ask.sequence;
  // The report is exact, since the holder ignores answers to earlier asks.
  holder.ceiling = ask.ceiling;
  holder.basis = ask.basis;
  holder.in_use = ask.in_use;
  holder.wanted = ask.wanted;
  // A ceiling that fits under the present limit is accounted under that limit
  // from now on and may grow. Otherwise the holder keeps its ceiling and basis
  // and scales its ceiling down by them.
  const int free_now = limit_ - (Outstanding() - WeightOf(name, holder));
  const int grantable = std::min(ask.wanted, GrantCap(name));
  int ceiling = ask.ceiling;
  int basis = ask.basis;
  if (ask.ceiling <= free_now) {
    ceiling = std::max(ask.ceiling, std::min(grantable, free_now));
    basis = limit_;
  }
  holder.ceiling = ceiling;
  holder.basis = basis;
  return PlaceAnswer{.team = record_.team,
                     .term = record_.term,
                     .sequence = ask.sequence,
                     .ceiling = ceiling,
                     .basis = basis};
}

std::vector<std::pair<PeerId, PlaceRecall>> PlaceLedger::Recalls(
    std::int64_t rotation) const {
  std::vector<int> wants;
  bool short_of_places = Outstanding() > limit_;
  for (const std::pair<const std::string, Holder>& row : holders_) {
    const Holder& holder = row.second;
    wants.push_back(holder.reported ? holder.wanted
                                    : RecordedCeiling(row.first));
    short_of_places =
        short_of_places || (holder.reported && holder.wanted > holder.ceiling);
  }
  std::vector<std::pair<PeerId, PlaceRecall>> recalls;
  if (!short_of_places) return recalls;
  const std::vector<int> parts = SplitFairly(wants, limit_, rotation);
  std::size_t n = 0;
  for (const std::pair<const std::string, Holder>& row : holders_) {
    const int part = parts[n++];
    if (!row.second.reported || row.second.ceiling <= part) continue;
    recalls.emplace_back(row.second.peer, PlaceRecall{.team = record_.team,
                                                      .term = record_.term,
                                                      .lower_to = part});
  }
  return recalls;
}

std::vector<std::string> PlaceLedger::Unreported() const {
  std::vector<std::string> names;
  for (const std::pair<const std::string, Holder>& row : holders_) {
    if (!row.second.reported) names.push_back(row.first);
  }
  return names;
}

void PlaceLedger::Remove(const std::string& holder) {
  holders_.erase(holder);
  record_.ceilings.erase(holder);
}

PlaceRecord PlaceLedger::DesiredRecord(const std::vector<std::string>& holders,
                                       int entry_count) const {
  PlaceRecord desired = record_;
  const int count =
      std::max({1, entry_count, static_cast<int>(holders.size())});
  const int ceiling = std::min(limit_, (2 * limit_ + count - 1) / count);
  const bool accounted = IsFullyAccounted();
  if (accounted) {
    // The exact ceiling of every holder is known, so that older and higher ones
    // need not be kept.
    for (std::pair<const std::string, int>& row : desired.ceilings) {
      row.second = holders_.at(row.first).ceiling;
    }
  }
  for (const std::string& name : holders) {
    int& recorded = desired.ceilings[name];
    recorded = std::max(recorded, ceiling);
  }
  // The lowest basis is the safe one, since unreported holders are then
  // accounted with the most places.
  desired.basis = accounted ? limit_ : std::min(desired.basis, limit_);
  return desired;
}

bool PlaceLedger::IsFullyAccounted() const {
  for (const std::pair<const std::string, Holder>& row : holders_) {
    if (!row.second.reported) return false;
    if (row.second.ceiling > 0 && row.second.basis < limit_) return false;
  }
  return Outstanding() <= limit_;
}

}  // namespace basilusher
