// One node's part in the system: its lease and registration, the election of
// the owner, and the owner itself while this node holds the term.
#ifndef BASILUSHER_NODE_NODEAGENT_H_
#define BASILUSHER_NODE_NODEAGENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "basilusher/Node/EndedTermNotifier.h"
#include "basilusher/Node/Peers.h"
#include "basilusher/Partition/PartitionOwner.h"
#include "basilusher/Store/StoreWatcher.h"

namespace basilusher {

struct NodeOptions {
  std::string node;
  /// Distinguishes this life of the node's process from earlier ones.
  std::string incarnation;
  /// Address of its peer server.
  std::string peer_address;
  /// Share of a core times its speed; stronger nodes stand for election first.
  double strength = 1.0;
  OwnerOptions owner;
};

/// Who holds the term, as last heard.
struct OwnerView {
  std::string node;
  std::string address;
  std::string incarnation;
  std::int64_t term = 0;
  std::int64_t revision = 0;
};

/// Not thread-safe: I/O thread only.
class NodeAgent : public std::enable_shared_from_this<NodeAgent> {
 public:
  using CatalogSource = std::function<std::shared_ptr<const Catalog>()>;

  NodeAgent(OwnerDependencies ports, PeerCaller* peers, NodeOptions options,
            CatalogSource catalog);

  void Begin();
  /// Gives up the term, if held, once its records are stored; then ends the
  /// lease, tells the peers how the term ended and runs `done`, also if the
  /// store or a peer does not answer. The lease is tried until it has ended.
  void Stop(std::function<void()> done);
  /// Takes effect with the next term that this node holds.
  void SetBounds(Millis task_lease, Millis max_task_lease,
                 Millis final_retention, Millis holder_lease,
                 Millis max_view_age);
  /// The same for OwnerOptions::learned_durations and workspace_shares.
  void SetScheduling(bool learned_durations, bool workspace_shares) {
    options_.owner.learned_durations = learned_durations;
    options_.owner.workspace_shares = workspace_shares;
  }
  /// Ends the term that a peer says is over; true if none is held after it. No
  /// term below `term` begins here from then on.
  bool EndTermBelow(std::int64_t term);
  /// Answers a later owner's request to end the terms before its own: whether
  /// they have ended and, if that is known here, how the last of them ended.
  Json AnswerEndTerm(const Json& request);
  /// Takes note of a peer's message that its term has ended. Returns nothing if
  /// the message is malformed.
  std::optional<Json> HearEndedTerm(const Json& message);
  /// Answers which end of the term `term` of the request is known here, if any.
  Json AnswerFindEndedTerm(const Json& request) const;

  /// The owner while this node holds the term and has loaded its records.
  PartitionOwner* LocalOwner();
  /// The owner's node as last heard; null if none is known.
  const OwnerView* RemoteOwner() const;
  /// Term of the owner as last heard, here or elsewhere; zero if none is known.
  std::int64_t OwnerTerm() const { return owner_view_.term; }
  void OnCatalog(const std::shared_ptr<const Catalog>& catalog);
  void OnWave(const MaintenanceWave& wave);
  /// Peer addresses by node, without this one.
  const std::map<std::string, std::string>& Peers() const { return peers_; }
  /// Time since which the control records may have changed unheard.
  TimePoint FreshAt() const { return watcher_->FreshAt(); }

 private:
  void GrantLease();
  /// Asks for a lease until one is granted or another round begins.
  void AskForLease(std::int64_t round);
  /// Renews `lease` when it is time, for as long as it is this node's lease.
  void KeepLease(std::int64_t lease);
  void RenewLease();
  void LoseLease(const char* reason);
  void Register();
  void OnControl(const StoredItem& item);
  void ConsiderElection();
  void StandForElection();
  void OnElected(std::int64_t term, std::int64_t revision);
  /// Returns a function for the owner to call: it runs `action` a little later,
  /// since the owner is on the call stack, unless its term has ended by then.
  std::function<void()> DoLater(void (*action)(NodeAgent*));
  void Depose(const char* reason);
  /// True if a node that is at least as strong is registered.
  bool HasSuccessor() const;
  /// Ends the term of an owner that does not keep up with its work, if a node
  /// that is at least as strong can take it.
  void HandOver();
  /// Removes the owner record of an ended term until that is known to be done.
  void RemoveOwnerRecord(std::int64_t revision);
  // NodeAgentTerms.cc.
  /// Learns how the term before the present one ended: from what this node has
  /// heard, from its owner, or from the other peers.
  void LearnPreviousEnd(const OwnerView& earlier);
  void AskEarlierOwner(const OwnerView& earlier);
  /// Asks all peers until the end of the term before is known, or the leases
  /// from then are over.
  void AskPeersForPreviousEnd();
  /// Addresses of the peers that are registered or were so shortly before:
  /// after an outage of the store live nodes register anew.
  std::map<std::string, std::string> RecentPeers() const;
  /// How `term` ended, as seen now; nothing if that is not known here.
  std::optional<EndedTerm> EndOf(std::int64_t term) const;
  /// Keeps the end of the latest ended term, and tells the owner.
  void NoteEndedTerm(const EndedTerm& ended);
  // NodeAgentLogs.cc.
  void LogElected(const OwnerView& earlier) const;
  void LogTermEnded(const char* reason) const;
  /// Logs what the earlier owner answered to the request to end its term,
  /// unless it is the same as before.
  void LogEarlierOwner(const OwnerView& earlier, const char* answer,
                       const std::optional<LongLeases>& long_leases);
  void FinishStop();
  void EndLease(std::int64_t lease);
  void ReportStopped();

  OwnerDependencies ports_;
  PeerCaller* peer_client_;
  NodeOptions options_;
  CatalogSource catalog_;
  std::shared_ptr<EndedTermNotifier> ended_term_notifier_;
  std::shared_ptr<StoreWatcher> watcher_;
  std::shared_ptr<PartitionOwner> owner_;
  OwnerView owner_view_;
  /// Who held the term before the present one.
  OwnerView earlier_owner_;
  std::map<std::string, std::string> peers_;
  std::map<std::string, double> peer_strengths_;
  /// A peer whose registration has ended at the store, and when.
  struct FormerPeer {
    std::string address;
    TimePoint left_at{};
  };
  std::map<std::string, FormerPeer> former_peers_;
  std::map<std::int64_t, MaintenanceWave> waves_;
  std::int64_t term_ = 0;
  /// The last term that this process does not hold any more, or never will.
  std::int64_t last_ended_term_ = 0;
  /// The last term that this process began and ended.
  std::int64_t held_term_ = 0;
  /// The latest term of which this process knows how it ended, here or
  /// elsewhere, as it was at the time beside it.
  std::optional<EndedTerm> last_end_;
  TimePoint last_end_at_{};
  /// The last answer of an earlier owner that was logged, and in which term.
  std::pair<std::int64_t, std::string> logged_answer_;
  std::int64_t term_key_revision_ = 0;
  /// OwnerOptions::starts_stored_since by the term record; zero if it has none.
  std::int64_t starts_stored_since_ = 0;
  /// The last term for which this node stood, and the value that it wrote.
  std::pair<std::int64_t, std::int64_t> stood_for_;
  std::int64_t lease_ = 0;
  std::int64_t grant_round_ = 0;
  /// This node does not stand for election before, as long as another can.
  TimePoint stands_again_at_{};
  TimePoint next_renewal_at_{};
  TimePoint confirmed_until_{};
  bool standing_ = false;
  bool election_planned_ = false;
  bool stopping_ = false;
  bool lease_end_answered_ = false;
  std::function<void()> on_stopped_;
  TimePoint stop_began_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_NODEAGENT_H_
