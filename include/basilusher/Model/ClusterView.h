// What one entry believes of the cluster at one moment.
#ifndef BASILUSHER_MODEL_CLUSTERVIEW_H_
#define BASILUSHER_MODEL_CLUSTERVIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "basilusher/Model/Intent.h"
#include "basilusher/Model/KeySet.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// A worker as the platform lists it.
struct WorkerInfo {
  std::string id;
  std::string address;
  int port = 0;
  std::string data_centre;
  std::string rack;
  int slots = 8;
  int connections = 64;
  bool leaving = false;
  /// Whether the platform wants to reboot it once it is drained.
  bool wants_maintenance = false;
  bool rebooting = false;
  /// Maintenances it has had.
  std::int64_t maintained = 0;

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// One run of one entry process.
struct EntryInfo {
  std::string instance;
  /// Grows with each start of the instance.
  std::int64_t incarnation = 0;
  std::string address;
  int http_port = 0;
  int peer_port = 0;
  std::string data_centre;

  friend bool operator==(const EntryInfo&, const EntryInfo&) = default;
};

/// The pool of one instance.
struct Assignment {
  std::string pool;
  /// Grows with each move.
  std::int64_t generation = 0;

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// Pool of every instance: an instance is in exactly one pool since it has one
/// row in one document.
using Assignments = std::map<std::string, Assignment>;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Assignment, pool, generation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerInfo, id, address, port,
                                                data_centre, rack, slots,
                                                connections, leaving,
                                                wants_maintenance, rebooting,
                                                maintained)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EntryInfo, instance, incarnation, address,
                                   http_port, peer_port, data_centre)

/// An immutable picture of the cluster, replaced as a whole on each change.
struct ClusterView {
  /// Null until a first intent is known.
  std::shared_ptr<const Intent> intent;
  /// Never null.
  std::shared_ptr<const KeySet> keys = std::make_shared<KeySet>();
  /// Entries that are alive, by instance name, this one among them.
  std::map<std::string, EntryInfo> entries;
  /// Entries that hold a lease in the store, as last heard from it.
  std::map<std::string, EntryInfo> leased;
  /// Entry instances that the platform lists; empty until a first list came.
  std::set<std::string> listed_entries;
  /// Workers that the platform lists, by id.
  std::map<std::string, WorkerInfo> workers;
  /// Pool of every instance; null until it is known.
  std::shared_ptr<const Assignments> assignments;
  /// Instances that hold a place in their pool's budget and get no new work.
  std::set<std::string> draining;
  /// Highest intent version heard of; work is not served by a lower one.
  std::int64_t heard_version = 0;
  /// Until this reading of its own clock the entry knows of withdrawals; after
  /// it, it is isolated and must refuse keyed work.
  TimePoint fresh_until{};
  /// Whether this entry is in its graceful shutdown.
  bool shutting_down = false;
};

using ViewPtr = std::shared_ptr<const ClusterView>;

/// Holds the current view and replaces it as a whole. Thread-safe.
class ViewHub {
 public:
  /// The current view; never null.
  ViewPtr Current() const;
  /// Applies `change` to a copy of the current view and makes it current.
  void Update(const std::function<void(ClusterView*)>& change);

 private:
  mutable std::mutex mutex_;
  ViewPtr view_ = std::make_shared<ClusterView>();
};

/// The entry on which `subject` has its home by `view`: the one with the
/// highest hash, so that a change of one entry moves only its own homes.
/// Empty if the view has no entry. Thread-safe.
std::string HomeOf(const ClusterView& view, const std::string& subject);

/// Workers of `pool` that may get new work, by `view`. Thread-safe.
std::vector<WorkerInfo> WorkersOf(const ClusterView& view,
                                  const std::string& pool);

}  // namespace basilusher

#endif  // BASILUSHER_MODEL_CLUSTERVIEW_H_
