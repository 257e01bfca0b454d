// The platform's key-value service as the system sees it.
#ifndef BASILUSHER_STORE_KEYVALUESTORE_H_
#define BASILUSHER_STORE_KEYVALUESTORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// What is known after a call. kAnswerLost: it may have taken effect.
enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,
  kUnavailable,
  kAnswerLost,
};

inline constexpr EnumTable<StoreStatus, 5> kStoreStatusNames = {{
    {StoreStatus::kOk, "ok"},
    {StoreStatus::kNotFound, "not-found"},
    {StoreStatus::kConflict, "conflict"},
    {StoreStatus::kUnavailable, "unavailable"},
    {StoreStatus::kAnswerLost, "answer-lost"},
}};

/// Purposes of calls, most pressing first; the client-side limiter spends its
/// rate in this order.
enum class StorePurpose { kLease, kClaim, kPlace, kConfig, kBackground };

inline constexpr EnumTable<StorePurpose, 5> kStorePurposeNames = {{
    {StorePurpose::kLease, "lease"},
    {StorePurpose::kClaim, "claim"},
    {StorePurpose::kPlace, "place"},
    {StorePurpose::kConfig, "config"},
    {StorePurpose::kBackground, "background"},
}};

/// One stored value with the revision of its last change.
struct StoreEntry {
  std::string key;
  std::string value;
  std::int64_t version = 0;
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnavailable;
  /// The value read, or all values of a prefix.
  std::vector<StoreEntry> entries;
  /// After a successful write, the new version; after a list, the revision up
  /// to which it is complete.
  std::int64_t version = 0;
};

using StoreCallback = std::function<void(const StoreReply&)>;

/// A compare-and-swap: writes `value` if the key is at `expected_version`
/// (zero: the key must be absent).
struct SwapRequest {
  std::string key;
  std::int64_t expected_version = 0;
  std::string value;
  /// Lease whose end deletes the key; empty for a lasting value.
  std::string lease;
  /// Deletes the key in place of writing `value`.
  bool erase = false;
};

/// Asynchronous calls to the key-value service. Each callback runs once, on the
/// caller's own actor; it may run before the call returns in tests. Not
/// thread-safe unless the subclass says so.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;
  /// Reads one key: kOk, kNotFound or kUnavailable.
  virtual void Get(StorePurpose purpose, const std::string& key,
                   StoreCallback done) = 0;
  /// Reads all keys that begin with `prefix`: kOk or kUnavailable.
  virtual void List(StorePurpose purpose, const std::string& prefix,
                    StoreCallback done) = 0;
  /// Compare-and-swap: kOk, kConflict, kUnavailable or kAnswerLost.
  virtual void Swap(StorePurpose purpose, const SwapRequest& request,
                    StoreCallback done) = 0;
  /// Makes the lease `id` last `ttl` from now, making it if it is not there.
  virtual void KeepLease(const std::string& id, Millis ttl,
                         StoreCallback done) = 0;
  /// Ends the lease and deletes its keys.
  virtual void EndLease(const std::string& id, StoreCallback done) = 0;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_KEYVALUESTORE_H_
