// Configuration of queues, pools, workspaces and limits, as operators publish
// it.
#ifndef BASILUSHER_JOBS_CATALOG_H_
#define BASILUSHER_JOBS_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "basilusher/Jobs/Job.h"

namespace basilusher {

/// Whether a queue's steps need the placement advisor's permission to run on a
/// worker, and how long the advisor takes.
struct AdvicePolicy {
  bool needed = false;
  /// Fixed time of one answer, and time for each worker in the question.
  std::int64_t decide_ms = 0;
  std::int64_t per_worker_ms = 0;
  /// Validity of a ticket.
  std::int64_t valid_ms = 0;
};

struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;
  /// Zero is the highest priority and may preempt others.
  int priority = 0;
  /// Failed runs of one task after which its job fails.
  int max_attempts = 1;
  /// A job's latency objective is `stretch` times the duration of its critical
  /// path, plus `objective_ms`.
  double stretch = 1.0;
  std::int64_t objective_ms = 0;
  std::int64_t timeout_ms = 0;
  /// Open to callers without a key.
  bool open = false;
  AdvicePolicy advice;
};

struct PoolConfig {
  std::string name;
  /// Workers refuse tasks that exceed their free capacity.
  bool enforces_capacity = false;
  /// Instances of this pool are switched off and cost nothing.
  bool spare = false;
  std::string health_path;
};

struct WorkspaceConfig {
  std::string name;
  std::vector<std::string> keys;
  /// Weight of the workspace's share while the fleet is saturated.
  double weight = 1.0;
  /// Limit on the resources in use over all pools; zero in a dimension means
  /// no limit.
  Resources cap;
};

/// Limits on clients' HTTP requests to an entry process.
struct HttpLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15000;
};

/// One version of the configuration.
struct Catalog {
  std::int64_t version = 0;
  std::map<std::string, QueueConfig> queues;
  std::map<std::string, PoolConfig> pools;
  std::map<std::string, WorkspaceConfig> workspaces;
  HttpLimits limits;

  /// The queue with this host and the longest prefix of `path`; null if none.
  const QueueConfig* Route(std::string_view host, std::string_view path) const;
  /// Name of the workspace that owns `key`; empty if none does.
  std::string WorkspaceOfKey(std::string_view key) const;
};

/// An operator's request to maintain a set of instances within a time.
struct MaintenanceWave {
  std::int64_t number = 0;
  std::vector<std::string> instances;
  /// Time for the whole wave, seconds.
  std::int64_t ramp_s = 0;
  int max_at_once = 1;
};

}  // namespace basilusher

#endif  // BASILUSHER_JOBS_CATALOG_H_
