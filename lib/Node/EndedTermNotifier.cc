// Repeated calls that tell peers of an ended term.
#include "basilusher/Node/EndedTermNotifier.h"

#include <utility>

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kCallTimeout{300};
constexpr Millis kCallRetry{100};
/// A process that stops lives on for at most this long to tell its peers.
constexpr Millis kNotifyLimit{1000};

}  // namespace

EndedTermNotifier::EndedTermNotifier(TimerService* timers, const Clock* clock,
                                     PeerCaller* peers, std::string node)
    : timers_(timers), clock_(clock), peers_(peers), node_(std::move(node)) {}

void EndedTermNotifier::Send(const EndedTerm& ended,
                             const std::map<std::string, std::string>& peers) {
  if (peers.empty()) return;
  const std::shared_ptr<Round> round =
      std::make_shared<Round>(Round{.ended = ended,
                                    .began_at = clock_->Now(),
                                    .unanswered = peers,
                                    .peers = peers.size()});
  ++rounds_;
  for (const auto& [node, address] : peers) Tell(round, node, address);
  timers_->After(kNotifyLimit, [self = shared_from_this(), round] {
    self->Finish(round.get());
  });
}

void EndedTermNotifier::Tell(const std::shared_ptr<Round>& round,
                             const std::string& node,
                             const std::string& address) {
  const EndedTerm ended = Aged(round->ended, clock_->Now() - round->began_at);
  peers_->Call(address, PeerPaths::kTermEnded,
               {{"node", node_}, {"ended_term", EncodeEndedTerm(ended)}},
               kCallTimeout,
               [self = shared_from_this(), round, node,
                address](const std::optional<Json>& answer) {
                 if (round->finished) return;
                 if (answer) {
                   round->unanswered.erase(node);
                   if (round->unanswered.empty()) self->Finish(round.get());
                   return;
                 }
                 self->timers_->After(kCallRetry, [self, round, node, address] {
                   if (!round->finished) self->Tell(round, node, address);
                 });
               });
}

void EndedTermNotifier::Finish(Round* round) {
  if (round->finished) return;
  round->finished = true;
  --rounds_;
  LogEvent(LogLevel::kInfo, "ended-term-sent",
           {{"term", round->ended.term},
            {"peers", round->peers},
            {"answered", round->peers - round->unanswered.size()},
            {"after_ms", (clock_->Now() - round->began_at).count()}});
}

}  // namespace basilusher
