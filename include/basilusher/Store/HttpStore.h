// Adapter to the platform's key-value service and lists over HTTP.
#ifndef BASILUSHER_STORE_HTTPSTORE_H_
#define BASILUSHER_STORE_HTTPSTORE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilusher/Model/ClusterView.h"
#include "basilusher/Store/KeyValueStore.h"

namespace basilusher {

struct HttpStoreOptions {
  /// IP number.
  std::string address;
  int port = 0;
  Millis timeout{1000};
};

/// Result of one wait on the watch.
struct WatchReply {
  StoreStatus status = StoreStatus::kUnavailable;
  std::int64_t revision = 0;
  std::vector<StoreEntry> entries;
};

/// The platform's list of instances.
struct InstanceLists {
  StoreStatus status = StoreStatus::kUnavailable;
  std::map<std::string, WorkerInfo> workers;
  std::vector<EntryInfo> entries;
};

/// Blocking calls, one connection each object. Not thread-safe.
class HttpStore {
 public:
  explicit HttpStore(const HttpStoreOptions& options);
  ~HttpStore();

  StoreReply Get(const std::string& key);
  StoreReply List(const std::string& prefix);
  StoreReply Swap(const SwapRequest& request);
  StoreReply KeepLease(const std::string& id, Millis ttl);
  StoreReply EndLease(const std::string& id);
  /// Waits up to `wait` for changes after `revision` below `prefixes`.
  WatchReply Watch(const std::vector<std::string>& prefixes,
                   std::int64_t revision, Millis wait);
  InstanceLists ListInstances();
  /// Lets the platform reboot a drained instance while its count of
  /// maintenances is `maintained`; returns whether the platform answered.
  bool ReleaseInstance(const std::string& id, std::int64_t maintained);

 private:
  class Connection;
  std::unique_ptr<Connection> connection_;
};

}  // namespace basilusher

#endif  // BASILUSHER_STORE_HTTPSTORE_H_
