// Membership of the entries (the basilusherd control processes): renews this
// entry's lease, exchanges heartbeats and determines which entries are alive.
#ifndef BASILUSHER_CONTROL_MEMBERSHIPAGENT_H_
#define BASILUSHER_CONTROL_MEMBERSHIPAGENT_H_

#include <map>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/StoreChanges.h"

namespace basilusher {

/// Time to live of an entry's lease.
inline constexpr Millis kLeaseTtl{3000};
/// An entry that has been in contact with neither the store nor a majority of
/// the entries for this long is isolated, since it may have missed withdrawals
/// of keys. Also the time without heartbeats after which a peer that is neither
/// leased nor listed is removed.
inline constexpr Millis kIsolationTimeout{3000};
/// A peer without a heartbeat for this long is not routed to.
inline constexpr Millis kHeartbeatTimeout{2500};

/// Maintains the live entries, the leased entries and the time of the last
/// contact with the cluster in the view. Not thread-safe.
class MembershipAgent : public Component {
 public:
  explicit MembershipAgent(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Applies changes of the members' records; each call also proves contact
  /// with the store.
  void OnStoreChanges(const StoreChanges& changes);
  /// Applies the platform's list of workers and entries, which may be stale.
  void OnInstances(const std::map<std::string, WorkerInfo>& workers,
                   const std::vector<EntryInfo>& entries);
  /// Records that the connection to `instance` ended.
  void OnDisconnected(const std::string& instance);
  /// Sends a heartbeat to all peers now.
  void Broadcast();
  /// From now on, heartbeats announce the planned shutdown and the view no
  /// longer lists this entry as alive.
  void BeginShutdown() { shutting_down_ = true; }
  /// Ends this entry's lease.
  void Leave();
  /// Returns the other entries that hold a lease or are listed by the platform.
  /// They are connected to, sent heartbeats and counted for the majority.
  std::vector<EntryInfo> KnownPeers() const;
  /// Returns the last heartbeat of each peer and its age, for status reports.
  std::map<std::string, std::pair<Heartbeat, Millis>> LastHeartbeats() const;

 private:
  /// What is known of a peer since its last heartbeat.
  struct PeerState {
    Heartbeat heartbeat;
    TimePoint at{};
    /// When the connection ended; zero while it is up.
    TimePoint disconnected_at{};
  };

  std::string LeaseId() const;
  void RenewLease();
  void Register(std::int64_t version);
  void UpdateView();
  bool IsAlive(const PeerState& peer, TimePoint now) const;
  /// Returns the latest time since which a majority of all known entries, this
  /// one included, has sent a heartbeat; TimePoint{} if there is none.
  TimePoint LastMajorityContact() const;

  Context context_;
  /// Entries that hold a lease, by the store.
  std::map<std::string, EntryInfo> leased_;
  /// Entries in the platform's list.
  std::map<std::string, EntryInfo> listed_;
  std::map<std::string, PeerState> peers_;
  TimePoint last_store_contact_{};
  bool had_store_contact_ = false;
  TimePoint next_renewal_{};
  TimePoint next_heartbeat_{};
  bool registered_ = false;
  bool renewing_ = false;
  bool shutting_down_ = false;
  bool left_ = false;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_MEMBERSHIPAGENT_H_
