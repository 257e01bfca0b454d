// The operators' intent: pools, queues, teams and weights at one version.
#ifndef BASILUSHER_MODEL_INTENT_H_
#define BASILUSHER_MODEL_INTENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/EnumTable.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Priority class of a queue's work, most pressing first.
enum class WorkClass { kUrgent, kStandard, kBackground };

inline constexpr EnumTable<WorkClass, 3> kWorkClassNames = {{
    {WorkClass::kUrgent, "urgent"},
    {WorkClass::kStandard, "standard"},
    {WorkClass::kBackground, "background"},
}};

/// A queue: where requests of one kind wait.
struct QueueIntent {
  std::string name;
  std::string pool;
  WorkClass work_class = WorkClass::kStandard;
  /// Time a request may take when the caller states none.
  Millis deadline{10000};
  /// Whether any team's key may submit to it.
  bool open = false;
  /// Teams whose keys may submit; unused if `open`.
  std::vector<std::string> teams;
  /// Whether a request may run twice without harm.
  bool idempotent = true;
  std::size_t max_body_bytes = 1 << 20;
  /// Requests that may wait in the queue's home.
  int max_waiting = 256;
};

/// A team's share when the fleet is full and its hard limit.
struct TeamIntent {
  std::string name;
  double share = 1;
  /// Requests and tasks that may run at once over the whole fleet.
  int limit = 1;
};

/// A pool of workers.
struct PoolIntent {
  std::string name;
  /// Workers that may be unavailable at once.
  int availability_budget = 1;
  /// Starting assignment of workers.
  std::vector<std::string> workers;
};

/// Weights of the deployment's measures.
struct MeasureWeights {
  double buffer_cost = 1;
  double roll_out_time = 1;
  double moves = 1;
  double closeness_to_share = 1;
};

/// One version of the whole intent. Immutable once published.
struct Intent {
  std::int64_t version = 0;
  std::string deployment;
  std::string spare_pool;
  /// Time for which outcomes of non-idempotent requests are kept.
  Millis claim_retention{86400000};
  MeasureWeights weights;
  std::map<std::string, QueueIntent> queues;
  std::map<std::string, TeamIntent> teams;
  std::map<std::string, PoolIntent> pools;
};

/// Reads a collected document as written by CollectIntent; throws
/// Error(kIntentInvalid) naming the first bad field. Thread-safe.
Intent ParseIntent(const Json& document, std::int64_t version);

}  // namespace basilusher

#endif  // BASILUSHER_MODEL_INTENT_H_
