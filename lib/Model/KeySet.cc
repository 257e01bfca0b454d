// Merge and look-up of keys.
#include "basilusher/Model/KeySet.h"

#include "basilusher/Support/Digest.h"

namespace basilusher {

bool KeySet::Add(const std::string& id, const KeyRecord& record) {
  const auto [it, fresh] = records_.emplace(id, record);
  if (fresh) return true;
  const KeyRecord before = it->second;
  // A tombstone may arrive before the key that it withdraws.
  if (it->second.team.empty()) it->second.team = record.team;
  if (it->second.hash.empty()) it->second.hash = record.hash;
  it->second.withdrawn = it->second.withdrawn || record.withdrawn;
  return !(before == it->second);
}

bool KeySet::Withdraw(const std::string& id) {
  return Add(id, {.team = "", .hash = "", .withdrawn = true});
}

bool KeySet::Merge(const KeySet& other) {
  bool changed = false;
  for (const std::pair<const std::string, KeyRecord>& row : other.records_) {
    changed = Add(row.first, row.second) || changed;
  }
  return changed;
}

KeyLookup KeySet::Find(std::string_view key) const {
  const std::size_t dot = key.find('.');
  if (dot == std::string_view::npos) return {};
  const auto it = records_.find(std::string(key.substr(0, dot)));
  // The hash is taken in either case, so that timing tells no ids.
  const std::string hash = KeyHash(key);
  if (it == records_.end()) return {};
  if (it->second.withdrawn) return {KeyState::kWithdrawn, it->second.team};
  if (!EqualInConstantTime(hash, it->second.hash)) return {};
  return {KeyState::kValid, it->second.team};
}

std::string KeySet::Digest() const { return DigestOf(Json(*this).dump()); }

void to_json(Json& json, const KeySet& keys) {
  json = Json::object();
  for (const std::pair<const std::string, KeyRecord>& row : keys.Records()) {
    json[row.first] = {{"team", row.second.team},
                       {"hash", row.second.hash},
                       {"withdrawn", row.second.withdrawn}};
  }
}

void from_json(const Json& json, KeySet& keys) {
  keys = KeySet();
  for (const auto& row : json.items()) {
    keys.Add(row.key(), {.team = row.value().at("team").get<std::string>(),
                         .hash = row.value().at("hash").get<std::string>(),
                         .withdrawn = row.value().at("withdrawn").get<bool>()});
  }
}

}  // namespace basilusher
