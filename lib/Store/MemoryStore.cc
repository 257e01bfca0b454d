// Values, versions and leases in memory.
#include "basilusher/Store/MemoryStore.h"

#include <utility>

namespace basilusher {
namespace {

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

bool HasAnyPrefix(const std::string& key,
                  const std::vector<std::string>& prefixes) {
  for (const std::string& prefix : prefixes) {
    if (HasPrefix(key, prefix)) return true;
  }
  return false;
}

}  // namespace

StoreReply MemoryStore::Get(const std::string& key) const {
  const auto it = cells_.find(key);
  if (it == cells_.end()) return {.status = StoreStatus::kNotFound};
  return {.status = StoreStatus::kOk,
          .entries = {{key, it->second.value, it->second.version}},
          .version = it->second.version};
}

StoreReply MemoryStore::List(const std::string& prefix) const {
  StoreReply reply{.status = StoreStatus::kOk, .version = revision_};
  for (auto it = cells_.lower_bound(prefix);
       it != cells_.end() && HasPrefix(it->first, prefix); ++it) {
    reply.entries.push_back({it->first, it->second.value, it->second.version});
  }
  return reply;
}

StoreReply MemoryStore::Swap(const SwapRequest& request) {
  const auto it = cells_.find(request.key);
  const std::int64_t version = it == cells_.end() ? 0 : it->second.version;
  if (version != request.expected_version) {
    return {.status = StoreStatus::kConflict, .version = version};
  }
  if (!request.lease.empty() && !leases_.contains(request.lease)) {
    return {.status = StoreStatus::kConflict, .version = version};
  }
  if (request.erase) {
    cells_.erase(request.key);
    deletions_[request.key] = ++revision_;
    return {.status = StoreStatus::kOk, .version = revision_};
  }
  cells_[request.key] = {request.value, ++revision_, request.lease};
  deletions_.erase(request.key);
  return {.status = StoreStatus::kOk, .version = revision_};
}

StoreReply MemoryStore::KeepLease(const std::string& id, Millis ttl,
                                  TimePoint now) {
  leases_[id] = now + ttl;
  return {.status = StoreStatus::kOk};
}

StoreReply MemoryStore::EndLease(const std::string& id) {
  if (leases_.erase(id) == 0) return {.status = StoreStatus::kNotFound};
  for (auto it = cells_.begin(); it != cells_.end();) {
    if (it->second.lease != id) {
      ++it;
      continue;
    }
    deletions_[it->first] = ++revision_;
    it = cells_.erase(it);
  }
  return {.status = StoreStatus::kOk};
}

int MemoryStore::ExpireLeases(TimePoint now) {
  std::vector<std::string> over;
  for (const std::pair<const std::string, TimePoint>& row : leases_) {
    if (row.second <= now) over.push_back(row.first);
  }
  for (const std::string& id : over) EndLease(id);
  return static_cast<int>(over.size());
}

std::vector<StoreEntry> MemoryStore::ChangesAfter(
    const std::vector<std::string>& prefixes, std::int64_t revision) const {
  std::vector<StoreEntry> changes;
  for (const std::pair<const std::string, Cell>& row : cells_) {
    if (row.second.version <= revision) continue;
    if (!HasAnyPrefix(row.first, prefixes)) continue;
    changes.push_back({row.first, row.second.value, row.second.version});
  }
  for (const std::pair<const std::string, std::int64_t>& row : deletions_) {
    if (row.second <= revision || !HasAnyPrefix(row.first, prefixes)) continue;
    changes.push_back({row.first, "", 0});
  }
  return changes;
}

}  // namespace basilusher
