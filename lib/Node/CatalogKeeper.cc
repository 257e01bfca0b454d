// Configuration from the store and from peers.
#include "basilusher/Node/CatalogKeeper.h"

#include <algorithm>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// One watch's wait. A quiet watch proves after this time that nothing has
/// changed, so it bounds how long a change may go unnoticed.
constexpr Millis kConfigWait{500};
/// A configuration must be in force within two seconds; a view older than this
/// is checked with peers before requests are refused or served by it.
constexpr Millis kFreshFor{1300};
constexpr Millis kCheckPeriod{200};
constexpr Millis kPeerTimeout{300};
/// A peer's report counts for this long.
constexpr Millis kReportLife{1200};
/// After this long without a report, no peer that answers has the store: each
/// peer of a small deployment has been asked and has had time to answer.
constexpr Millis kAskBeforeGivingUp{700};
/// Peers asked in one round.
constexpr std::size_t kPeersPerRound = 3;

}  // namespace

CatalogKeeper::CatalogKeeper(TransactionalStore* store, TimerService* timers,
                             const Clock* clock,
                             const DirectoryFormats* formats, PeerCaller* peers,
                             CatalogListener listener)
    : store_(store),
      timers_(timers),
      clock_(clock),
      formats_(formats),
      peers_(peers),
      listener_(std::move(listener)) {
  watcher_ = std::make_shared<StoreWatcher>(
      store_, timers_, clock_,
      StoreWatcherOptions{.prefix = formats_->OperatorPrefix(),
                          .wait = kConfigWait},
      StoreWatcher::Listener{
          .on_item = [this](const StoredItem& item) { OnItem(item); },
          .on_loaded = {}});
}

void CatalogKeeper::Begin() {
  watcher_->Begin();
  Check();
}

bool CatalogKeeper::NoteEvacuation(const StoredItem& item) {
  if (listener_.evacuations == nullptr) return false;
  std::optional<std::string> data_centre;
  try {
    data_centre = formats_->DecodeEvacuation(item.key);
  } catch (const Error& error) {
    listener_.evacuations->NoteInvalid(item.key, error.what());
    return true;
  }
  if (!data_centre) return false;
  if (item.removed) {
    listener_.evacuations->End(*data_centre, item.revision);
  } else {
    listener_.evacuations->Begin(*data_centre, item.value, item.revision);
  }
  return true;
}

void CatalogKeeper::OnItem(const StoredItem& item) {
  if (NoteEvacuation(item) || item.removed) return;
  if (item.key == formats_->ConfigKey()) {
    Apply(item.value, "store");
    return;
  }
  const std::optional<MaintenanceWave> wave =
      formats_->DecodeWave(item.key, item.value);
  if (wave) listener_.on_wave(*wave);
}

void CatalogKeeper::Apply(const std::string& bytes, const char* source) {
  std::shared_ptr<const Catalog> catalog;
  try {
    catalog = formats_->DecodeCatalog(bytes);
  } catch (const Error& error) {
    LogEvent(LogLevel::kError, "configuration-unreadable",
             {{"source", source}, {"error", error.what()}});
    return;
  }
  if (catalog_ != nullptr && catalog->version <= catalog_->version) return;
  catalog_ = std::move(catalog);
  bytes_ = bytes;
  LogEvent(LogLevel::kInfo, "configuration",
           {{"version", catalog_->version}, {"source", source}});
  listener_.on_catalog(catalog_);
}

std::int64_t CatalogKeeper::NewestKnownVersion() const {
  return std::max(peer_version_, catalog_ == nullptr ? 0 : catalog_->version);
}

bool CatalogKeeper::StoreFresh() const {
  return watcher_->Loaded() && clock_->Now() - watcher_->FreshAt() < kFreshFor;
}

StoreReach CatalogKeeper::Reach() const {
  if (StoreFresh()) return StoreReach::kDirect;
  if (!PeersWithStore().empty()) return StoreReach::kThroughPeers;
  const bool asked =
      !store_was_fresh_ && clock_->Now() - store_lost_at_ >= kAskBeforeGivingUp;
  return asked ? StoreReach::kNone : StoreReach::kUnknown;
}

std::vector<std::string> CatalogKeeper::PeersWithStore() const {
  std::vector<std::string> addresses;
  const TimePoint now = clock_->Now();
  for (const auto& [node, report] : reports_) {
    if (report.fresh && now - report.heard_at <= kReportLife) {
      addresses.push_back(report.address);
    }
  }
  return addresses;
}

std::shared_ptr<const Catalog> CatalogKeeper::InForce() const {
  if (catalog_ == nullptr || StoreFresh()) return catalog_;
  const TimePoint now = clock_->Now();
  if (now - peer_fresh_at_ < kReportLife) return catalog_;
  // If no peer sees the store either, nobody can know of a newer version.
  bool heard = false;
  for (const auto& [node, report] : reports_) {
    if (now - report.heard_at > kReportLife) continue;
    if (report.fresh) return nullptr;
    heard = true;
  }
  return heard ? catalog_ : nullptr;
}

Json CatalogKeeper::Status() const {
  return {{"version", catalog_ == nullptr ? 0 : catalog_->version},
          {"fresh", StoreFresh()}};
}

Json CatalogKeeper::Export() const { return {{"bytes", bytes_}}; }

void CatalogKeeper::Check() {
  const bool fresh = StoreFresh();
  if (fresh != store_was_fresh_) {
    store_was_fresh_ = fresh;
    if (!fresh) store_lost_at_ = clock_->Now();
    LogEvent(fresh ? LogLevel::kInfo : LogLevel::kWarning,
             fresh ? "store-regained" : "store-lost",
             {{"age_ms", (clock_->Now() - watcher_->FreshAt()).count()}});
  }
  if (!fresh) AskPeers();
  timers_->After(kCheckPeriod, [self = shared_from_this()] { self->Check(); });
}

void CatalogKeeper::AskPeers() {
  const std::map<std::string, std::string>& peers = listener_.peers();
  if (peers.empty()) return;
  // Begins at another peer each round, so that silent ones are passed over.
  static constexpr std::int64_t kMillisPerRound = 200;
  const std::size_t offset = static_cast<std::size_t>(
      clock_->Now().time_since_epoch().count() / kMillisPerRound);
  std::vector<std::pair<std::string, std::string>> all(peers.begin(),
                                                       peers.end());
  const std::size_t count = std::min(kPeersPerRound, all.size());
  for (std::size_t i = 0; i < count; ++i) {
    const auto& [node, address] = all[(offset * count + i) % all.size()];
    peers_->Call(address, PeerPaths::kStatus, Json::object(), kPeerTimeout,
                 [self = shared_from_this(), node = node, address = address,
                  asked_at = clock_->Now()](std::optional<Json> answer) {
                   if (answer) {
                     self->OnPeerStatus(node, address, asked_at, *answer);
                   }
                 });
  }
}

void CatalogKeeper::OnPeerStatus(const std::string& node,
                                 const std::string& address, TimePoint asked_at,
                                 const Json& status) {
  const bool fresh = FieldOr(status, "fresh", false);
  reports_[node] = {.heard_at = asked_at, .fresh = fresh, .address = address};
  const std::int64_t version = FieldOr(status, "version", std::int64_t{0});
  peer_version_ = std::max(peer_version_, version);
  const std::int64_t known = catalog_ == nullptr ? 0 : catalog_->version;
  if (version > known) {
    Fetch(address);
  } else if (fresh && version == known && known > 0) {
    peer_fresh_at_ = std::max(peer_fresh_at_, asked_at);
  }
}

void CatalogKeeper::Fetch(const std::string& address) {
  if (fetching_ || watcher_->Receiving()) return;
  fetching_ = true;
  peers_->Fetch(address, PeerPaths::kCatalog, Json::object(), kPeerTimeout,
                [self = shared_from_this()](std::optional<Json> answer) {
                  self->fetching_ = false;
                  if (answer) {
                    self->Apply(FieldOr(*answer, "bytes", std::string()),
                                "peer");
                  }
                });
}

}  // namespace basilusher
