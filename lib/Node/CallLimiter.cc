// Additive increase and multiplicative decrease of calls under way.
#include "basilusher/Node/CallLimiter.h"

#include <algorithm>

namespace basilusher {
namespace {

/// Calls that were sent side by side mostly fail together: they lower the limit
/// once. Longer than a slow store's answer.
constexpr Millis kLowerPeriod{200};
constexpr double kLowerFactor = 0.5;
/// A refusal comes within milliseconds, and the next call would be refused too.
/// Forty nodes at the least limit then send 1,600 calls a second.
constexpr Millis kRefusalPause{100};

bool ShowsOverload(TxnStatus status) {
  return status == TxnStatus::kRefused || status == TxnStatus::kLost ||
         status == TxnStatus::kUnreachable;
}

}  // namespace

bool CallLimiter::TryBegin() {
  if (in_flight_ + 1 > limit_ || clock_->Now() < paused_until_) return false;
  ++in_flight_;
  return true;
}

void CallLimiter::End(TxnStatus status) {
  --in_flight_;
  if (!ShowsOverload(status)) {
    limit_ = std::min(options_.most, limit_ + 1 / limit_);
    return;
  }
  const TimePoint now = clock_->Now();
  if (status == TxnStatus::kRefused) paused_until_ = now + kRefusalPause;
  if (now - lowered_at_ < kLowerPeriod) return;
  lowered_at_ = now;
  limit_ = std::max(options_.least, limit_ * kLowerFactor);
}

}  // namespace basilusher
