// Lease, heartbeats and the view of live entries.
#include "basilusher/Control/MembershipAgent.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace basilusher {
namespace {

/// Period of lease renewals.
constexpr Millis kRenewPeriod{1000};
constexpr Millis kHeartbeatPeriod{1000};
/// A peer whose connection ended is treated as not alive after this time,
/// unless a heartbeat arrives.
constexpr Millis kDisconnectGrace{200};

}  // namespace

MembershipAgent::MembershipAgent(Context context)
    : context_(std::move(context)) {}

std::string MembershipAgent::LeaseId() const {
  return ToString(context_.Self());
}

void MembershipAgent::RenewLease() {
  renewing_ = true;
  context_.store->KeepLease(
      LeaseId(), kLeaseTtl, [this](const StoreReply& reply) {
        renewing_ = false;
        if (reply.status != StoreStatus::kOk || left_) return;
        const auto it = leased_.find(context_.self.instance);
        const bool is_registered =
            it != leased_.end() &&
            it->second.incarnation == context_.self.incarnation;
        if (!registered_ || (had_store_contact_ && !is_registered)) Register(0);
      });
}

void MembershipAgent::Register(std::int64_t version) {
  const Json info = context_.self;
  context_.store->Swap(StorePurpose::kLease,
                       {.key = kMemberPrefix + context_.self.instance,
                        .expected_version = version,
                        .value = info.dump(),
                        .lease = LeaseId()},
                       [this, version](const StoreReply& reply) {
                         if (reply.status == StoreStatus::kOk) {
                           registered_ = true;
                         }
                         // The record of an earlier incarnation may be stored
                         // until its lease ends; it is replaced.
                         if (reply.status == StoreStatus::kConflict &&
                             version == 0 && reply.version != 0) {
                           Register(reply.version);
                         }
                       });
}

void MembershipAgent::Leave() {
  left_ = true;
  context_.store->EndLease(LeaseId(), [](const StoreReply& /*reply*/) {});
}

void MembershipAgent::OnStoreChanges(const StoreChanges& changes) {
  last_store_contact_ = std::max(last_store_contact_, changes.asked_at);
  had_store_contact_ = true;
  const std::string prefix = kMemberPrefix;
  for (const StoreEntry& entry : changes.entries) {
    if (entry.key.compare(0, prefix.size(), prefix) != 0) continue;
    const std::string instance = entry.key.substr(prefix.size());
    if (entry.version == 0) {
      leased_.erase(instance);
    } else {
      leased_[instance] = Json::parse(entry.value).get<EntryInfo>();
    }
  }
  UpdateView();
}

void MembershipAgent::OnInstances(
    const std::map<std::string, WorkerInfo>& workers,
    const std::vector<EntryInfo>& entries) {
  listed_.clear();
  std::set<std::string> names;
  for (const EntryInfo& entry : entries) {
    listed_[entry.instance] = entry;
    names.insert(entry.instance);
  }
  context_.views->Update([&workers, &names](ClusterView* view) {
    view->workers = workers;
    view->listed_entries = names;
  });
}

void MembershipAgent::OnMessage(const PeerId& from, const Message& message) {
  const Heartbeat* heartbeat = std::get_if<Heartbeat>(&message);
  if (heartbeat == nullptr) return;
  PeerState& peer = peers_[from.instance];
  if (heartbeat->info.incarnation < peer.heartbeat.info.incarnation) return;
  peer = {.heartbeat = *heartbeat, .at = context_.clock->Now()};
  UpdateView();
}

void MembershipAgent::OnDisconnected(const std::string& instance) {
  const auto it = peers_.find(instance);
  if (it != peers_.end()) it->second.disconnected_at = context_.clock->Now();
}

std::vector<EntryInfo> MembershipAgent::KnownPeers() const {
  std::map<std::string, EntryInfo> wanted = listed_;
  for (const std::pair<const std::string, EntryInfo>& row : leased_) {
    wanted[row.first] = row.second;
  }
  std::vector<EntryInfo> peers;
  for (const std::pair<const std::string, EntryInfo>& row : wanted) {
    if (row.first != context_.self.instance) peers.push_back(row.second);
  }
  return peers;
}

std::map<std::string, std::pair<Heartbeat, Millis>>
MembershipAgent::LastHeartbeats() const {
  std::map<std::string, std::pair<Heartbeat, Millis>> rows;
  for (const std::pair<const std::string, PeerState>& row : peers_) {
    rows[row.first] = {row.second.heartbeat,
                       context_.clock->Now() - row.second.at};
  }
  return rows;
}

void MembershipAgent::Broadcast() {
  const ViewPtr view = context_.views->Current();
  const TimePoint now = context_.clock->Now();
  const Heartbeat heartbeat{
      .info = context_.self,
      .intent_version = view->intent == nullptr ? 0 : view->intent->version,
      .keys_digest = view->keys->Digest(),
      .store_age_ms =
          had_store_contact_ ? (now - last_store_contact_).count() : -1,
      .shutting_down = shutting_down_};
  for (const EntryInfo& peer : KnownPeers()) {
    context_.bus->Send(peer.instance, heartbeat);
  }
}

bool MembershipAgent::IsAlive(const PeerState& peer, TimePoint now) const {
  if (now - peer.at > kHeartbeatTimeout) return false;
  if (peer.heartbeat.shutting_down) return false;
  return peer.disconnected_at == TimePoint{} ||
         now - peer.disconnected_at < kDisconnectGrace;
}

TimePoint MembershipAgent::LastMajorityContact() const {
  std::vector<TimePoint> times;
  std::set<std::string> known;
  for (const EntryInfo& peer : KnownPeers()) known.insert(peer.instance);
  for (const std::pair<const std::string, PeerState>& row : peers_) {
    known.insert(row.first);
    times.push_back(row.second.at);
  }
  // `others` peers and this entry make a majority of all known entries.
  const std::size_t others = (known.size() + 1) / 2;
  if (others == 0 || times.size() < others) return TimePoint{};
  std::sort(times.begin(), times.end(), std::greater<TimePoint>());
  return times[others - 1];
}

void MembershipAgent::UpdateView() {
  const TimePoint now = context_.clock->Now();
  std::map<std::string, EntryInfo> entries;
  if (!shutting_down_) entries[context_.self.instance] = context_.self;
  for (const std::pair<const std::string, PeerState>& row : peers_) {
    if (IsAlive(row.second, now)) {
      entries[row.first] = row.second.heartbeat.info;
    }
  }
  TimePoint contact = LastMajorityContact();
  if (had_store_contact_) contact = std::max(contact, last_store_contact_);
  const TimePoint fresh_until =
      contact == TimePoint{} ? TimePoint{} : contact + kIsolationTimeout;
  const ViewPtr view = context_.views->Current();
  if (view->entries == entries && view->leased == leased_ &&
      view->fresh_until == fresh_until) {
    return;
  }
  context_.views->Update([&](ClusterView* next) {
    next->leased = leased_;
    next->entries = std::move(entries);
    next->fresh_until = fresh_until;
  });
}

void MembershipAgent::OnTick() {
  const TimePoint now = context_.clock->Now();
  if (!left_ && !renewing_ && now >= next_renewal_) {
    next_renewal_ = now + kRenewPeriod;
    RenewLease();
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + kHeartbeatPeriod;
    Broadcast();
  }
  // Peers that are neither leased nor listed are removed once they stop sending
  // heartbeats.
  std::erase_if(
      peers_, [this, now](const std::pair<const std::string, PeerState>& row) {
        return now - row.second.at > kIsolationTimeout &&
               !leased_.contains(row.first) && !listed_.contains(row.first);
      });
  UpdateView();
}

}  // namespace basilusher
