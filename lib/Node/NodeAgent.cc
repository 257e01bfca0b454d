// Lease, registration and election.
#include "basilusher/Node/NodeAgent.h"

#include <algorithm>
#include <utility>

#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// A node's lease: an owner that is lost is replaced after about this long.
constexpr Millis kLeaseTtl{1500};
constexpr Millis kRenewPeriod{400};
/// A renewal without an answer is followed by the next one after this time,
/// well before its own time-out: a store that loses half of its answers must
/// not end the lease.
constexpr Millis kRenewAgain{200};
/// Least time between looks at the next renewal.
constexpr Millis kRenewTick{20};
constexpr Millis kRenewRetry{100};
/// Between requests for a lease. A silent store must not delay the next one by
/// a call's timeout: the strongest node is to be ready first when it returns.
constexpr Millis kGrantPeriod{250};
/// A watch whose connection has gone silent hides the loss of an owner for this
/// long and a call's timeout more.
constexpr Millis kControlWait{1000};
/// The weakest node stands this much later than the strongest.
constexpr double kWeaknessDelayMs = 60.0;
/// Field of the term record: OwnerOptions::starts_stored_since. Versions that
/// send starts of lasting tasks before they are stored write the record without
/// it.
constexpr const char* kStartsStoredSinceField = "starts_stored_since";
/// After handing its term over, a node leaves the next ones to others.
constexpr Millis kStandAgainAfter{10000};
/// At most this long for records to be stored at a planned stop.
constexpr Millis kStopFlushLimit{1500};
constexpr Millis kStopPoll{20};

}  // namespace

NodeAgent::NodeAgent(OwnerDependencies ports, PeerCaller* peers,
                     NodeOptions options, CatalogSource catalog)
    : ports_(ports),
      peer_client_(peers),
      options_(std::move(options)),
      catalog_(std::move(catalog)),
      ended_term_notifier_(std::make_shared<EndedTermNotifier>(
          ports_.timers, ports_.clock, peer_client_, options_.node)) {
  watcher_ = std::make_shared<StoreWatcher>(
      ports_.store, ports_.timers, ports_.clock,
      StoreWatcherOptions{.prefix = options_.owner.keys.control_prefix,
                          .wait = kControlWait},
      StoreWatcher::Listener{
          .on_item = [this](const StoredItem& item) { OnControl(item); },
          .on_loaded = [this] { ConsiderElection(); }});
}

void NodeAgent::Begin() {
  watcher_->Begin();
  GrantLease();
}

void NodeAgent::GrantLease() { AskForLease(++grant_round_); }

void NodeAgent::AskForLease(std::int64_t round) {
  if (stopping_ || lease_ != 0 || round != grant_round_) return;
  const TimePoint sent_at = ports_.clock->Now();
  ports_.store->GrantLease(kLeaseTtl, [self = shared_from_this(), sent_at,
                                       round](const StoreAnswer& answer) {
    if (answer.status != TxnStatus::kOk) return;
    // A lease beside the first one holds nothing and runs out.
    if (self->stopping_ || self->lease_ != 0 || round != self->grant_round_) {
      return;
    }
    self->lease_ = answer.revision;
    self->confirmed_until_ = sent_at + kLeaseTtl;
    self->Register();
    self->ConsiderElection();
    self->next_renewal_at_ = self->ports_.clock->Now() + kRenewPeriod;
    self->KeepLease(self->lease_);
  });
  ports_.timers->After(kGrantPeriod, [self = shared_from_this(), round] {
    self->AskForLease(round);
  });
}

void NodeAgent::KeepLease(std::int64_t lease) {
  if (lease != lease_) return;
  const TimePoint now = ports_.clock->Now();
  if (now >= next_renewal_at_) {
    next_renewal_at_ = now + kRenewAgain;
    RenewLease();
  }
  ports_.timers->After(
      std::max(kRenewTick, next_renewal_at_ - now),
      [self = shared_from_this(), lease] { self->KeepLease(lease); });
}

void NodeAgent::RenewLease() {
  const TimePoint sent_at = ports_.clock->Now();
  ports_.store->KeepLease(lease_, [self = shared_from_this(), sent_at,
                                   lease = lease_](const StoreAnswer& answer) {
    if (lease != self->lease_) return;
    if (answer.status == TxnStatus::kNotFound) {
      self->LoseLease("the lease has ended at the store");
      return;
    }
    if (answer.status != TxnStatus::kOk) return;
    self->confirmed_until_ =
        std::max(self->confirmed_until_, sent_at + kLeaseTtl);
    self->next_renewal_at_ =
        std::max(self->next_renewal_at_, sent_at + kRenewPeriod);
  });
}

void NodeAgent::LoseLease(const char* reason) {
  lease_ = 0;
  LogEvent(LogLevel::kWarning, "lease-lost", {{"reason", reason}});
  Depose(reason);
  GrantLease();
}

void NodeAgent::Register() {
  if (stopping_ || lease_ == 0) return;
  const std::string key = options_.owner.keys.node_prefix + options_.node;
  Txn txn;
  txn.writes.push_back({.key = key,
                        .value = Json({{"address", options_.peer_address},
                                       {"incarnation", options_.incarnation},
                                       {"strength", options_.strength}})
                                     .dump(),
                        .lease = lease_});
  ports_.store->Commit(txn, [self = shared_from_this(),
                             lease = lease_](const StoreAnswer& answer) {
    if (answer.status == TxnStatus::kOk || lease != self->lease_) return;
    self->ports_.timers->After(kRenewRetry, [self] { self->Register(); });
  });
}

void NodeAgent::OnControl(const StoredItem& item) {
  const RecordKeys& keys = options_.owner.keys;
  const Json document =
      item.removed ? Json() : Json::parse(item.value, nullptr, false);
  if (item.key == keys.term) {
    term_ = FieldOr(document, "term", std::int64_t{0});
    starts_stored_since_ =
        FieldOr(document, kStartsStoredSinceField, std::int64_t{0});
    term_key_revision_ = item.revision;
  } else if (item.key == keys.owner) {
    if (!owner_view_.node.empty()) earlier_owner_ = owner_view_;
    owner_view_ = {};
    if (document.is_object()) {
      owner_view_ = {
          .node = FieldOr(document, "node", std::string()),
          .address = FieldOr(document, "address", std::string()),
          .incarnation = FieldOr(document, "incarnation", std::string()),
          .term = FieldOr(document, "term", std::int64_t{0}),
          .revision = item.revision};
      LogEvent(LogLevel::kInfo, "owner",
               {{"node", owner_view_.node}, {"term", owner_view_.term}});
      if (owner_ != nullptr && owner_view_.term > owner_->Term()) {
        Depose("a later term has begun");
      }
    }
  } else if (item.key.starts_with(keys.node_prefix)) {
    const std::string node = item.key.substr(keys.node_prefix.size());
    if (node == options_.node) return;
    if (document.is_object()) {
      peers_[node] = FieldOr(document, "address", std::string());
      former_peers_.erase(node);
      peer_strengths_[node] = FieldOr(document, "strength", 0.0);
    } else {
      const auto peer = peers_.find(node);
      if (peer != peers_.end()) {
        former_peers_[node] = {.address = peer->second,
                               .left_at = ports_.clock->Now()};
        peers_.erase(peer);
      }
      peer_strengths_.erase(node);
    }
  }
  if (watcher_->Loaded()) ConsiderElection();
}

void NodeAgent::ConsiderElection() {
  if (stopping_ || standing_ || owner_ != nullptr || lease_ == 0 ||
      !watcher_->Loaded() || catalog_() == nullptr ||
      (ports_.clock->Now() < stands_again_at_ && HasSuccessor())) {
    return;
  }
  const bool own_earlier_life = owner_view_.node == options_.node &&
                                owner_view_.incarnation != options_.incarnation;
  if (owner_view_.incarnation == options_.incarnation &&
      owner_view_.term > last_ended_term_) {
    // Elected by a try whose answer was lost. Nobody else tells of it again,
    // so this holds also while the next try is planned.
    OnElected(owner_view_.term, owner_view_.revision);
    return;
  }
  if (election_planned_) return;
  if (!owner_view_.node.empty() && !own_earlier_life) return;
  election_planned_ = true;
  const double weakness = 1.0 / std::max(0.05, options_.strength) - 1.0;
  const Millis delay(static_cast<std::int64_t>(weakness * kWeaknessDelayMs));
  ports_.timers->After(delay, [self = shared_from_this()] {
    self->election_planned_ = false;
    self->StandForElection();
  });
}

void NodeAgent::StandForElection() {
  const bool own_earlier_life = owner_view_.node == options_.node &&
                                owner_view_.incarnation != options_.incarnation;
  if (stopping_ || standing_ || owner_ != nullptr || lease_ == 0 ||
      (!owner_view_.node.empty() && !own_earlier_life)) {
    return;
  }
  standing_ = true;
  const std::int64_t term = term_ + 1;
  const std::int64_t since =
      starts_stored_since_ > 0 ? starts_stored_since_ : term;
  stood_for_ = {term, since};
  const RecordKeys& keys = options_.owner.keys;
  Txn txn;
  txn.conditions.push_back({keys.owner, owner_view_.revision});
  txn.conditions.push_back({keys.term, term_key_revision_});
  txn.writes.push_back({.key = keys.owner,
                        .value = Json({{"node", options_.node},
                                       {"address", options_.peer_address},
                                       {"incarnation", options_.incarnation},
                                       {"term", term}})
                                     .dump(),
                        .lease = lease_});
  txn.writes.push_back(
      {.key = keys.term,
       .value =
           Json({{"term", term}, {kStartsStoredSinceField, since}}).dump()});
  ports_.store->Commit(txn, [self = shared_from_this(), term, keys,
                             lease = lease_](const StoreAnswer& answer) {
    self->standing_ = false;
    if (answer.status == TxnStatus::kOk) {
      if (lease == self->lease_) self->OnElected(term, answer.revision);
      return;
    }
    if (answer.status == TxnStatus::kConflict) {
      for (const StoredItem& item : answer.items) {
        if (item.key != keys.owner || item.revision == 0) continue;
        const Json holder = Json::parse(item.value, nullptr, false);
        // A try whose answer was lost was done.
        if (FieldOr(holder, "incarnation", std::string()) ==
                self->options_.incarnation &&
            FieldOr(holder, "term", std::int64_t{0}) == term &&
            lease == self->lease_) {
          self->OnElected(term, item.revision);
          return;
        }
      }
    }
    // The watch tells what has changed; stand again if nobody holds the term.
    self->ports_.timers->After(kRenewRetry,
                               [self] { self->ConsiderElection(); });
  });
}

void NodeAgent::OnElected(std::int64_t term, std::int64_t revision) {
  if (owner_ != nullptr || stopping_ || term <= last_ended_term_) return;
  OwnerOptions options = options_.owner;
  options.term = term;
  options.term_revision = revision;
  if (stood_for_.first == term) {
    options.starts_stored_since = stood_for_.second;
  }
  options.term_lease = kLeaseTtl;
  owner_ = std::make_shared<PartitionOwner>(
      ports_, options,
      PartitionOwner::Listener{
          .on_deposed =
              DoLater([](NodeAgent* self) { self->Depose("fenced"); }),
          .on_behind = DoLater([](NodeAgent* self) { self->HandOver(); }),
          .confirmed_until = [this] { return confirmed_until_; }});
  const OwnerView earlier = owner_view_.node.empty() || owner_view_.term == term
                                ? earlier_owner_
                                : owner_view_;
  owner_view_ = {.node = options_.node,
                 .address = options_.peer_address,
                 .incarnation = options_.incarnation,
                 .term = term,
                 .revision = revision};
  LogElected(earlier);
  owner_->Begin(catalog_());
  for (const auto& [number, wave] : waves_) owner_->SetWave(wave);
  LearnPreviousEnd(earlier);
}

void NodeAgent::SetBounds(Millis task_lease, Millis max_task_lease,
                          Millis final_retention, Millis holder_lease,
                          Millis max_view_age) {
  options_.owner.task_lease = task_lease;
  options_.owner.max_task_lease = max_task_lease;
  options_.owner.final_retention = final_retention;
  options_.owner.holder_lease = holder_lease;
  options_.owner.max_view_age = max_view_age;
}

void NodeAgent::Depose(const char* reason) {
  if (owner_ == nullptr) return;
  LogTermEnded(reason);
  last_ended_term_ = std::max(last_ended_term_, owner_->Term());
  held_term_ = owner_->Term();
  owner_->Close();
  const EndedTerm ended = owner_->DescribeEnd();
  owner_.reset();
  NoteEndedTerm(ended);
  ended_term_notifier_->Send(ended, RecentPeers());
  if (owner_view_.incarnation == options_.incarnation) {
    earlier_owner_ = owner_view_;
    owner_view_ = {};
  }
  ConsiderElection();
}

std::function<void()> NodeAgent::DoLater(void (*action)(NodeAgent*)) {
  return [weak = weak_from_this(), action] {
    const std::shared_ptr<NodeAgent> self = weak.lock();
    if (self == nullptr) return;
    self->ports_.timers->After(Millis(0), [self, action, owner = self->owner_] {
      if (owner == self->owner_) action(self.get());
    });
  };
}

bool NodeAgent::HasSuccessor() const {
  return std::any_of(
      peer_strengths_.begin(), peer_strengths_.end(),
      [this](const auto& it) { return it.second >= options_.strength; });
}

void NodeAgent::HandOver() {
  if (owner_ == nullptr || stopping_ || !HasSuccessor()) return;
  stands_again_at_ = ports_.clock->Now() + kStandAgainAfter;
  const std::int64_t revision = owner_view_.revision;
  Depose("the owner does not keep up with its work");
  RemoveOwnerRecord(revision);
  ports_.timers->After(kStandAgainAfter, [self = shared_from_this()] {
    self->ConsiderElection();
  });
}

void NodeAgent::RemoveOwnerRecord(std::int64_t revision) {
  Txn txn;
  txn.conditions.push_back({options_.owner.keys.owner, revision});
  txn.removals.push_back(options_.owner.keys.owner);
  // The record lives as long as this node's lease, so nobody is elected while
  // it stays.
  ports_.store->Commit(
      txn, [self = shared_from_this(), revision](const StoreAnswer& answer) {
        if (answer.status == TxnStatus::kOk ||
            answer.status == TxnStatus::kConflict) {
          return;
        }
        self->ports_.timers->After(kRenewRetry, [self, revision] {
          self->RemoveOwnerRecord(revision);
        });
      });
}

PartitionOwner* NodeAgent::LocalOwner() {
  return owner_ != nullptr && owner_->Loaded() ? owner_.get() : nullptr;
}

const OwnerView* NodeAgent::RemoteOwner() const {
  if (owner_ != nullptr || owner_view_.address.empty()) return nullptr;
  return &owner_view_;
}

void NodeAgent::OnCatalog(const std::shared_ptr<const Catalog>& catalog) {
  if (owner_ != nullptr) owner_->SetCatalog(catalog);
  ConsiderElection();
}

void NodeAgent::OnWave(const MaintenanceWave& wave) {
  waves_[wave.number] = wave;
  if (owner_ != nullptr) owner_->SetWave(wave);
}

void NodeAgent::Stop(std::function<void()> done) {
  stopping_ = true;
  on_stopped_ = std::move(done);
  stop_began_ = ports_.clock->Now();
  FinishStop();
}

void NodeAgent::FinishStop() {
  const bool flushed = owner_ == nullptr || owner_->RecordsIdle() ||
                       ports_.clock->Now() - stop_began_ > kStopFlushLimit;
  if (!flushed) {
    ports_.timers->After(kStopPoll,
                         [self = shared_from_this()] { self->FinishStop(); });
    return;
  }
  Depose("the node stops");
  if (lease_ == 0) return ReportStopped();
  const std::int64_t lease = lease_;
  lease_ = 0;
  EndLease(lease);
}

void NodeAgent::EndLease(std::int64_t lease) {
  ports_.store->EndLease(lease, [self = shared_from_this(),
                                 lease](const StoreAnswer& answer) {
    const bool ended = answer.status == TxnStatus::kOk ||
                       answer.status == TxnStatus::kNotFound;
    // The process does not wait for a store that fails, but while it lives
    // it tries again: a lease may be longer than the outage, and nobody is
    // elected until it has ended.
    if (!ended) {
      self->ports_.timers->After(kRenewRetry,
                                 [self, lease] { self->EndLease(lease); });
    }
    if (self->lease_end_answered_) {
      if (ended) {
        LogEvent(LogLevel::kInfo, "lease-ended",
                 {{"after_ms",
                   (self->ports_.clock->Now() - self->stop_began_).count()}});
      }
      return;
    }
    self->lease_end_answered_ = true;
    if (!ended) {
      LogEvent(LogLevel::kWarning, "lease-not-ended",
               {{"status", NameOf(kTxnStatusNames, answer.status)}});
    }
    self->ReportStopped();
  });
}

void NodeAgent::ReportStopped() {
  // With the process ends what only it can tell of its term.
  if (!ended_term_notifier_->Idle()) {
    ports_.timers->After(
        kStopPoll, [self = shared_from_this()] { self->ReportStopped(); });
    return;
  }
  std::exchange(on_stopped_, nullptr)();
}

}  // namespace basilusher
