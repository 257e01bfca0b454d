// Notices of cancellations to the owner.
#include "basilusher/Node/CancellationNotifier.h"

#include <algorithm>
#include <utility>

namespace basilusher {
namespace {

constexpr Millis kCallTimeout{350};
/// Pauses between two calls for the same cancellation.
constexpr Millis kFirstPause{150};
constexpr Millis kMaxPause{600};
constexpr int kMaxCalls = 8;

}  // namespace

struct CancellationNotifier::Notice {
  std::string job;
  /// No call is sent later.
  TimePoint until;
  Millis pause = kFirstPause;
  int calls_left = kMaxCalls;
  /// Latest term whose owner has confirmed the notice; zero if none has.
  std::int64_t confirmed_term = 0;
};

CancellationNotifier::CancellationNotifier(PeerCaller* peers,
                                           TimerService* timers,
                                           const Clock* clock,
                                           std::shared_ptr<NodeAgent> agent,
                                           Millis bound)
    : peers_(peers),
      timers_(timers),
      clock_(clock),
      agent_(std::move(agent)),
      bound_(bound) {}

void CancellationNotifier::Tell(const std::string& job) {
  const std::shared_ptr<Notice> notice = std::make_shared<Notice>();
  notice->job = job;
  notice->until = clock_->Now() + bound_;
  TellOwner(notice);
}

void CancellationNotifier::TellOwner(const std::shared_ptr<Notice>& notice) {
  if (clock_->Now() >= notice->until) return;
  PartitionOwner* owner = agent_->LocalOwner();
  if (owner != nullptr) {
    if (owner->Term() > notice->confirmed_term) {
      owner->NoteCancelled(notice->job);
      notice->confirmed_term = owner->Term();
    }
    return TellOwnerLater(notice);
  }
  const OwnerView* remote = agent_->RemoteOwner();
  if (remote == nullptr || remote->term <= notice->confirmed_term) {
    return TellOwnerLater(notice);
  }
  if (notice->calls_left == 0) return;
  --notice->calls_left;
  peers_->Call(remote->address, PeerPaths::kCancelled, {{"job", notice->job}},
               kCallTimeout,
               [self = shared_from_this(), notice](std::optional<Json> answer) {
                 if (answer) {
                   notice->confirmed_term =
                       std::max(notice->confirmed_term,
                                FieldOr(*answer, "term", std::int64_t{0}));
                 }
                 self->TellOwnerLater(notice);
               });
}

void CancellationNotifier::TellOwnerLater(
    const std::shared_ptr<Notice>& notice) {
  timers_->After(notice->pause, [self = shared_from_this(), notice] {
    self->TellOwner(notice);
  });
  notice->pause = std::min(notice->pause * 2, kMaxPause);
}

}  // namespace basilusher
