// Keeps the newest configuration in force on one node, from the store or, while
// the store turns this node away, from its peers.
#ifndef BASILUSHER_NODE_CATALOGKEEPER_H_
#define BASILUSHER_NODE_CATALOGKEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Store/StoreWatcher.h"

namespace basilusher {

struct CatalogListener {
  std::function<void(const std::shared_ptr<const Catalog>&)> on_catalog;
  std::function<void(const MaintenanceWave&)> on_wave;
  /// Peer addresses by node.
  std::function<const std::map<std::string, std::string>&()> peers;
};

/// Not thread-safe: I/O thread only.
class CatalogKeeper : public std::enable_shared_from_this<CatalogKeeper> {
 public:
  CatalogKeeper(TransactionalStore* store, TimerService* timers,
                const Clock* clock, const DirectoryFormats* formats,
                PeerClient* peers, CatalogListener listener);

  void Begin();
  /// The newest configuration heard of; null before the first.
  const std::shared_ptr<const Catalog>& Newest() const { return catalog_; }
  /// The newest configuration if it is known to be in force or no node can
  /// know better; else null.
  std::shared_ptr<const Catalog> InForce() const;
  /// The store has answered lately.
  bool StoreFresh() const;
  /// Answers of the peer calls about this node's configuration.
  Json Status() const;
  Json Export() const;

 private:
  struct PeerReport {
    TimePoint heard_at{};
    /// The peer had a fresh view of the store when it answered.
    bool fresh = false;
  };

  void OnItem(const StoredItem& item);
  void Apply(const std::string& bytes, const char* source);
  void Check();
  void AskPeers();
  void OnPeerStatus(const std::string& node, const std::string& address,
                    TimePoint asked_at, const Json& status);
  void Fetch(const std::string& address);

  TransactionalStore* store_;
  TimerService* timers_;
  const Clock* clock_;
  const DirectoryFormats* formats_;
  PeerClient* peers_;
  CatalogListener listener_;
  std::shared_ptr<StoreWatcher> watcher_;
  std::shared_ptr<const Catalog> catalog_;
  std::string bytes_;
  std::map<std::string, PeerReport> reports_;
  /// A fresh peer had no newer version at this time.
  TimePoint peer_fresh_at_{};
  bool store_was_fresh_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_CATALOGKEEPER_H_
