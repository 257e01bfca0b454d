// What an owner of the fleet's work is given: names of its records, formats of
// the directory, the objects that it uses, and its options.
#ifndef BASILUSHER_PARTITION_OWNEROPTIONS_H_
#define BASILUSHER_PARTITION_OWNEROPTIONS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Jobs/Interfaces.h"
#include "basilusher/Net/IoLoop.h"
#include "basilusher/Partition/EvacuationView.h"
#include "basilusher/Store/TransactionalStore.h"
#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"

namespace basilusher {

/// Keys of the system's own records in the store.
struct RecordKeys {
  /// Watched by every node: terms, the owner and the nodes.
  std::string control_prefix = "b/c/";
  std::string term = "b/c/term";
  std::string owner = "b/c/owner";
  std::string node_prefix = "b/c/node/";
  /// Workers on which tasks may run, with their addresses.
  std::string workers = "b/workers";
  /// Written by the nodes that accept requests: jobs and cancellations.
  std::string inbox_prefix = "b/in/";
  std::string job_prefix = "b/in/job/";
  std::string cancel_prefix = "b/in/cancel/";
  std::string progress_prefix = "b/progress/";
  std::string final_prefix = "b/final/";
  /// Instances of a maintenance wave whose maintenance is done.
  std::string wave_prefix = "b/wave/";
  /// Instances that an owner has recently ordered to move or to go down for
  /// maintenance, each with the time of the order.
  std::string orders = "b/orders";
};

/// Key names and encodings of the platform's directory, supplied by the
/// platform adapter.
class DirectoryFormats {
 public:
  virtual ~DirectoryFormats() = default;
  virtual std::string ConfigKey() const = 0;
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string WorkerPrefix() const = 0;
  virtual std::string WaveStatusKey(std::int64_t wave) const = 0;
  /// Throws Error(kIntentInvalid) if `bytes` is not a valid configuration.
  virtual std::shared_ptr<const Catalog> DecodeCatalog(
      const std::string& bytes) const = 0;
  /// Returns nothing if the entry names no usable worker.
  virtual std::optional<WorkerEntry> DecodeWorker(
      const std::string& key, const std::string& bytes) const = 0;
  /// Returns nothing if the key holds no wave.
  virtual std::optional<MaintenanceWave> DecodeWave(
      const std::string& key, const std::string& bytes) const = 0;
  /// Data centre that the key asks to evacuate; nothing if the key is of
  /// another kind. Throws Error(kIntentInvalid) if it can name none.
  virtual std::optional<std::string> DecodeEvacuation(
      const std::string& key) const = 0;
  virtual std::string EncodeWaveStatus(bool finished) const = 0;
};

/// Objects that an owner uses and does not own.
struct OwnerDependencies {
  TransactionalStore* store = nullptr;
  WorkerGateway* workers = nullptr;
  InstanceProvider* instances = nullptr;
  PlacementAdvisor* advisor = nullptr;
  TimerService* timers = nullptr;
  const Clock* clock = nullptr;
  const DirectoryFormats* formats = nullptr;
  /// May be null in tests.
  Counters* counters = nullptr;
  /// Requests to evacuate data centres; null if there are none.
  const EvacuationView* evacuations = nullptr;
};

struct OwnerOptions {
  std::string node;
  std::int64_t term = 0;
  /// First of the terms in a row, up to this one, whose owners store each start
  /// of a lasting task before they send it. Zero if not known.
  std::int64_t starts_stored_since = 0;
  /// Revision of the owner record. It changes when the term ends, so every
  /// write is conditional on it.
  std::int64_t term_revision = 0;
  RecordKeys keys;
  /// Duration of the lease that runs on a worker get.
  Millis task_lease{4000};
  /// Longest lease that a worker accepts, measured on its own clock.
  Millis max_task_lease{10000};
  /// Minimum time for which the final state of a job can be queried.
  Millis final_retention{150000};
  /// Longest time for which an owner that cannot confirm its term keeps
  /// starting tasks and renewing leases.
  Millis max_unconfirmed{8000};
  /// Time after the start of this term during which an earlier owner may still
  /// renew leases.
  Millis earlier_owner_grace{8000};
  /// Minimum time between orders of two owners for the same instance.
  Millis holder_lease{3000};
  /// Nothing is started by a view of the store older than this while the store
  /// answers. Less than the time after which a cancelled job or a draining
  /// worker must see no start.
  Millis max_view_age{1700};
  /// Jobs within their workspace's share go before the others while their pool
  /// is full.
  bool workspace_shares = false;
  /// Time for which an answer of the store confirms the term.
  Millis term_lease{1500};
  /// Each round of placement ranks the jobs of all pools, also of those in
  /// which nothing can start. The decisions are the same; for tests of that.
  bool rank_all_pools = false;
  /// Expected durations are learned from finished runs; otherwise declared
  /// estimates are scaled.
  bool learned_durations = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_PARTITION_OWNEROPTIONS_H_
