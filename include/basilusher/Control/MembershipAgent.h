// Keeps this entry's lease, exchanges heartbeats and tells who is alive.
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
/// An entry without the store and without a majority of its peers for this
/// long can't know of withdrawals and is isolated.
inline constexpr Millis kIsolationTimeout{3000};
/// A peer that was not heard for this long is not routed to.
inline constexpr Millis kHeartbeatTimeout{2500};

/// Not thread-safe.
class MembershipAgent : public Component {
 public:
  explicit MembershipAgent(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  /// Takes changes of the store; also proof of contact.
  void OnStoreChanges(const StoreChanges& changes);
  /// Takes the platform's (lagging) list of workers and entries.
  void OnInstances(const std::map<std::string, WorkerInfo>& workers,
                   const std::vector<EntryInfo>& entries);
  /// Notes that the connection to `instance` ended.
  void OnDisconnected(const std::string& instance);
  /// Sends a heartbeat to all peers now.
  void Broadcast();
  /// Announces the planned stop to peers from now on.
  void BeginShutdown() { shutting_down_ = true; }
  /// Gives the lease back.
  void Leave();
  /// Entries to which a connection is wanted.
  std::vector<EntryInfo> KnownPeers() const;
  /// Last heartbeat of each peer and its age, for status.
  std::map<std::string, std::pair<Heartbeat, Millis>> LastHeartbeats() const;

 private:
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
  bool IsAlive(const PeerState& heard, TimePoint now) const;
  TimePoint LastMajorityContact() const;

  Context context_;
  std::map<std::string, EntryInfo> leased_;
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
