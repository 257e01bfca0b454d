// Keeps the newest configuration in force on one node, from the store or, while
// the store turns this node away, from its peers.
#ifndef BASILUSHER_NODE_CATALOGKEEPER_H_
#define BASILUSHER_NODE_CATALOGKEEPER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilusher/Jobs/Catalog.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Partition/EvacuationView.h"
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Store/StoreWatcher.h"

namespace basilusher {

struct CatalogListener {
  std::function<void(const std::shared_ptr<const Catalog>&)> on_catalog;
  std::function<void(const MaintenanceWave&)> on_wave;
  /// What the operators' keys say of evacuations; null if nobody asks.
  EvacuationView* evacuations = nullptr;
  /// Peer addresses by node.
  std::function<const std::map<std::string, std::string>&()> peers;
};

/// How a node's calls can get to the store.
enum class StoreReach {
  /// The store has answered this node lately.
  kDirect,
  /// It answers some peers and not this node.
  kThroughPeers,
  /// Neither this node nor any peer that answers gets to it.
  kNone,
  /// This node has just lost it and is still asking the peers.
  kUnknown,
};

inline constexpr EnumTable<StoreReach, 4> kStoreReachNames = {{
    {StoreReach::kDirect, "direct"},
    {StoreReach::kThroughPeers, "through-peers"},
    {StoreReach::kNone, "none"},
    {StoreReach::kUnknown, "unknown"},
}};

/// Not thread-safe: I/O thread only.
class CatalogKeeper : public std::enable_shared_from_this<CatalogKeeper> {
 public:
  CatalogKeeper(TransactionalStore* store, TimerService* timers,
                const Clock* clock, const DirectoryFormats* formats,
                PeerCaller* peers, CatalogListener listener);

  void Begin();
  /// The newest configuration heard of; null before the first.
  const std::shared_ptr<const Catalog>& Newest() const { return catalog_; }
  /// The newest configuration if it is known to be in force or no node can
  /// know better; else null.
  std::shared_ptr<const Catalog> InForce() const;
  /// The newest version that this node has, or that a peer said it has.
  std::int64_t NewestKnownVersion() const;
  /// The store has answered lately.
  bool StoreFresh() const;
  /// All changes of the operators' keys that the store had acknowledged at this
  /// time are known; zero before the first list.
  TimePoint FreshAt() const { return watcher_->FreshAt(); }
  /// How this node's calls can get to the store now.
  StoreReach Reach() const;
  /// Addresses of the peers that said lately that the store answers them.
  std::vector<std::string> PeersWithStore() const;
  /// Answers of the peer calls about this node's configuration.
  Json Status() const;
  Json Export() const;

 private:
  struct PeerReport {
    TimePoint heard_at{};
    /// The peer had a fresh view of the store when it answered.
    bool fresh = false;
    std::string address;
  };

  void OnItem(const StoredItem& item);
  /// Returns true if the key is one of evacuations, valid or not.
  bool NoteEvacuation(const StoredItem& item);
  void Apply(const std::string& bytes, const char* source);
  void Check();
  void AskPeers();
  void OnPeerStatus(const std::string& node, const std::string& address,
                    TimePoint asked_at, const Json& status);
  /// Takes the configuration from a peer, unless an answer with it is arriving:
  /// a second copy would only take its share of a slow link.
  void Fetch(const std::string& address);

  TransactionalStore* store_;
  TimerService* timers_;
  const Clock* clock_;
  const DirectoryFormats* formats_;
  PeerCaller* peers_;
  CatalogListener listener_;
  std::shared_ptr<StoreWatcher> watcher_;
  std::shared_ptr<const Catalog> catalog_;
  std::string bytes_;
  std::map<std::string, PeerReport> reports_;
  /// A fresh peer had no newer version at this time.
  TimePoint peer_fresh_at_{};
  bool store_was_fresh_ = false;
  bool fetching_ = false;
  /// Newest version that a peer has told of.
  std::int64_t peer_version_ = 0;
  /// When the store stopped being fresh.
  TimePoint store_lost_at_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_CATALOGKEEPER_H_
