// Keys of teams: a set that only grows, with withdrawals as tombstones.
#ifndef BASILUSHER_MODEL_KEYSET_H_
#define BASILUSHER_MODEL_KEYSET_H_

#include <map>
#include <string>
#include <string_view>

#include "basilusher/Support/Json.h"

namespace basilusher {

/// One key. Only its hash is kept. A withdrawn key stays as a tombstone.
struct KeyRecord {
  std::string team;
  std::string hash;
  bool withdrawn = false;

  friend bool operator==(const KeyRecord&, const KeyRecord&) = default;
};

/// Result of a look-up.
enum class KeyState { kValid, kUnknown, kWithdrawn };

struct KeyLookup {
  KeyState state = KeyState::kUnknown;
  std::string team;
};

/// All keys ever given, by id. Merging is commutative, associative and
/// idempotent, so replicas may exchange sets in any order. Not thread-safe;
/// share it as an immutable object.
class KeySet {
 public:
  /// Adds a key or withdraws one that is there; a tombstone is never undone.
  /// Returns whether the set changed.
  bool Add(const std::string& id, const KeyRecord& record);
  /// Marks `id` withdrawn, also if this replica has not heard of it yet.
  /// Returns whether the set changed.
  bool Withdraw(const std::string& id);
  /// Takes over everything of `other`; returns whether the set changed.
  bool Merge(const KeySet& other);
  /// Looks up a key as a caller shows it ("id.secret"). The secret is compared
  /// in constant time.
  KeyLookup Find(std::string_view key) const;
  /// Order-independent digest for comparing replicas.
  std::string Digest() const;
  const std::map<std::string, KeyRecord>& Records() const { return records_; }

  friend bool operator==(const KeySet&, const KeySet&) = default;

 private:
  std::map<std::string, KeyRecord> records_;
};

void to_json(Json& json, const KeySet& keys);
void from_json(const Json& json, KeySet& keys);

}  // namespace basilusher

#endif  // BASILUSHER_MODEL_KEYSET_H_
