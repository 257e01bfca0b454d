// A key-value service in memory: the core of the stand-in and of the fake.
#ifndef BASILUSHER_STORE_MEMORYSTORE_H_
#define BASILUSHER_STORE_MEMORYSTORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilusher/Store/KeyValueStore.h"

namespace basilusher {

/// Values, versions and leases. Not thread-safe.
class MemoryStore {
 public:
  StoreReply Get(const std::string& key) const;
  StoreReply List(const std::string& prefix) const;
  StoreReply Swap(const SwapRequest& request);
  /// Makes or renews a lease that ends at `now` + `ttl`.
  StoreReply KeepLease(const std::string& id, Millis ttl, TimePoint now);
  StoreReply EndLease(const std::string& id);
  /// Ends all leases that are over at `now`; returns how many.
  int ExpireLeases(TimePoint now);
  /// Revision of the last change.
  std::int64_t Revision() const { return revision_; }
  /// Keys below one of `prefixes` changed after `revision`, deletions included
  /// (with an empty value and version zero).
  std::vector<StoreEntry> ChangesAfter(const std::vector<std::string>& prefixes,
                                       std::int64_t revision) const;

 private:
  struct Cell {
    std::string value;
    std::int64_t version = 0;
    std::string lease;
  };

  std::map<std::string, Cell> cells_;
  /// Revision of the deletion of keys that are gone.
  std::map<std::string, std::int64_t> deletions_;
  std::map<std::string, TimePoint> leases_;
  std::int64_t revision_ = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_MEMORYSTORE_H_
