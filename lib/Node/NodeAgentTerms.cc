// How terms end: requests to end one, and what is told and learnt of ended
// ones.
#include <algorithm>

#include "basilusher/Node/NodeAgent.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kAskTimeout{400};
constexpr Millis kAskRetry{400};
/// Longer than it takes live nodes to register again after an outage.
constexpr Millis kFormerPeerTime{5000};

}  // namespace

void NodeAgent::LearnPreviousEnd(const OwnerView& earlier) {
  const std::optional<EndedTerm> ended = EndOf(owner_->Term() - 1);
  if (ended) {
    LogEarlierOwner(earlier,
                    earlier.node == options_.node ? "own term" : "heard",
                    ended->long_leases);
    owner_->NotePreviousTermEnded(*ended);
    return;
  }
  AskEarlierOwner(earlier);
  AskPeersForPreviousEnd();
}

void NodeAgent::AskEarlierOwner(const OwnerView& earlier) {
  if (earlier.address.empty() || EndOf(owner_->Term() - 1)) return;
  // A term between the two was not heard of: its owner may still go on.
  if (earlier.term + 1 != owner_->Term()) {
    LogEarlierOwner(earlier, "not asked: another term was between",
                    std::nullopt);
    return;
  }
  if (earlier.node == options_.node) {
    LogEarlierOwner(earlier, "own term", std::nullopt);
    owner_->NoteEarlierOwnerStopped(std::nullopt);
    return;
  }
  const std::shared_ptr<PartitionOwner> owner = owner_;
  peer_client_->Call(
      earlier.address, PeerPaths::kEndTerm, {{"below", owner->Term()}},
      kAskTimeout,
      [self = shared_from_this(), owner, earlier](std::optional<Json> answer) {
        if (self->owner_ != owner) return;
        if (answer && FieldOr(*answer, "ended", false)) {
          const std::optional<LongLeases> leases = DecodeLongLeases(*answer);
          self->LogEarlierOwner(earlier, "ended", leases);
          const std::optional<EndedTerm> ended =
              DecodeEndedTerm(answer->value("ended_term", Json()));
          if (ended && ended->term == earlier.term) {
            self->NoteEndedTerm(*ended);
          } else {
            owner->NoteEarlierOwnerStopped(leases);
          }
          return;
        }
        self->LogEarlierOwner(earlier, answer ? "not ended" : "none",
                              std::nullopt);
        self->ports_.timers->After(kAskRetry, [self, owner, earlier] {
          if (self->owner_ == owner) self->AskEarlierOwner(earlier);
        });
      });
}

void NodeAgent::AskPeersForPreviousEnd() {
  const std::shared_ptr<PartitionOwner> owner = owner_;
  const std::int64_t previous = owner->Term() - 1;
  if (previous == 0 || EndOf(previous) || !owner->AwaitsEarlierLeases()) return;
  for (const auto& [node, address] : peers_) {
    peer_client_->Call(
        address, PeerPaths::kFindEndedTerm, {{"term", previous}}, kAskTimeout,
        [self = shared_from_this()](const std::optional<Json>& answer) {
          if (!answer) return;
          const std::optional<EndedTerm> ended =
              DecodeEndedTerm(answer->value("ended_term", Json()));
          if (ended) self->NoteEndedTerm(*ended);
        });
  }
  ports_.timers->After(kAskRetry, [self = shared_from_this(), owner] {
    if (self->owner_ == owner) self->AskPeersForPreviousEnd();
  });
}

std::map<std::string, std::string> NodeAgent::RecentPeers() const {
  std::map<std::string, std::string> recent = peers_;
  for (const auto& [node, former] : former_peers_) {
    if (ports_.clock->Now() - former.left_at < kFormerPeerTime) {
      recent.try_emplace(node, former.address);
    }
  }
  return recent;
}

std::optional<EndedTerm> NodeAgent::EndOf(std::int64_t term) const {
  if (!last_end_ || last_end_->term != term) return std::nullopt;
  return Aged(*last_end_, ports_.clock->Now() - last_end_at_);
}

void NodeAgent::NoteEndedTerm(const EndedTerm& ended) {
  if (last_end_ && last_end_->term >= ended.term) return;
  last_end_ = ended;
  last_end_at_ = ports_.clock->Now();
  if (owner_ != nullptr) owner_->NotePreviousTermEnded(ended);
}

Json NodeAgent::AnswerEndTerm(const Json& request) {
  const std::int64_t below = request.at("below").get<std::int64_t>();
  Json answer = {{"ended", EndTermBelow(below)}};
  const std::optional<EndedTerm> ended = EndOf(below - 1);
  const bool leases_known = ended && ended->long_leases;
  LogEvent(LogLevel::kInfo, "end-term-answered",
           {{"below", below},
            {"ended", answer["ended"]},
            {"held_term", held_term_},
            {"long_leases",
             leases_known ? Json(ended->long_leases->size()) : Json()},
            {"ended_ago_ms", ended ? Json(ended->ended_ago.count()) : Json()}});
  if (ended) answer["ended_term"] = EncodeEndedTerm(*ended);
  // Nodes of an earlier version read this field only.
  if (leases_known) {
    answer["long_leases"] = EncodeLongLeases(*ended->long_leases);
  }
  return answer;
}

std::optional<Json> NodeAgent::HearEndedTerm(const Json& message) {
  const std::string from = FieldOr(message, "node", std::string());
  const std::optional<EndedTerm> ended =
      DecodeEndedTerm(message.value("ended_term", Json()));
  if (!ended) {
    LogEvent(LogLevel::kWarning, "ended-term-malformed", {{"from", from}});
    return std::nullopt;
  }
  LogEvent(LogLevel::kInfo, "ended-term-heard",
           {{"term", ended->term},
            {"from", from},
            {"ended_ago_ms", ended->ended_ago.count()},
            {"long_leases",
             ended->long_leases ? Json(ended->long_leases->size()) : Json()},
            {"earlier_left_ms", ended->earlier_left.count()}});
  NoteEndedTerm(*ended);
  return Json{{"heard", true}};
}

Json NodeAgent::AnswerFindEndedTerm(const Json& request) const {
  const std::optional<EndedTerm> ended =
      EndOf(FieldOr(request, "term", std::int64_t{0}));
  if (!ended) return Json::object();
  return Json{{"ended_term", EncodeEndedTerm(*ended)}};
}

bool NodeAgent::EndTermBelow(std::int64_t term) {
  // The asker relies on it: an election whose answer is still on its way is
  // over too.
  last_ended_term_ = std::max(last_ended_term_, term - 1);
  if (owner_ != nullptr && owner_->Term() < term) {
    Depose("a later owner asked");
  }
  return owner_ == nullptr || owner_->Term() >= term;
}

}  // namespace basilusher
