// Changes of the store as the watch reports them.
#ifndef BASILUSHER_CONTROL_STORECHANGES_H_
#define BASILUSHER_CONTROL_STORECHANGES_H_

#include <vector>

#include "basilusher/Store/KeyValueStore.h"

namespace basilusher {

inline constexpr char kMemberPrefix[] = "member/";
inline constexpr char kIntentHeadKey[] = "intent/head";
inline constexpr char kKeysKey[] = "keys";
inline constexpr char kFleetPrefix[] = "fleet/";

/// Result of one wait on the store's watch.
struct StoreChanges {
  /// Changed entries; version zero for a deletion.
  std::vector<StoreEntry> entries;
  /// Own clock when the wait was asked for: everything accepted before is known
  /// now.
  TimePoint asked_at{};
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_STORECHANGES_H_
