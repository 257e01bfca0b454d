// Store prefixes that entries watch, and the changes that a watch reports.
#ifndef BASILUSHER_CONTROL_STORECHANGES_H_
#define BASILUSHER_CONTROL_STORECHANGES_H_

#include <vector>

#include "basilusher/Store/KeyValueStore.h"

namespace basilusher {

inline constexpr char kMemberPrefix[] = "member/";
inline constexpr char kIntentHeadKey[] = "intent/head";
inline constexpr char kKeysKey[] = "keys";
inline constexpr char kFleetPrefix[] = "fleet/";

/// Result of one call to the store's watch.
struct StoreChanges {
  /// Changed entries; version zero for a deletion.
  std::vector<StoreEntry> entries;
  /// Own clock when the call was sent: every write accepted before then is
  /// known now.
  TimePoint asked_at{};
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_STORECHANGES_H_
