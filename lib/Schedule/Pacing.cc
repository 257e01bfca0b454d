// Controls the fillers' pace by the tail latencies of serving tasks.
#include "basilusher/Schedule/Pacing.h"

#include <algorithm>

namespace basilusher {
namespace {

constexpr int kFull = 100;
/// Shares of the latency target: above the first the pace is lowered, below the
/// second it may rise. The reported tail is imprecise, so the first is below 1.
constexpr double kHigh = 0.9;
constexpr double kLow = 0.7;
/// Time until a change of pace is visible in the samples: a reported tail
/// covers the last half second, and a pace command takes a tenth of a second to
/// have effect.
constexpr Millis kSettleTime{600};
/// Minimum time from the last change of pace, up or down, to an increase. A
/// high tail at pace zero counts as a change.
constexpr Millis kRiseInterval{1000};
constexpr int kRiseStep = 20;
/// A lower pace becomes zero: so little progress does not justify the
/// interference.
constexpr int kMinPercent = 12;
/// The ceiling is removed when no high tail has lowered the pace for this long.
constexpr Millis kCeilingLife{6000};

}  // namespace

int FillerPaceController::Update(const std::vector<TailSample>& samples,
                                 TimePoint now) {
  double worst = 0;
  for (const TailSample& sample : samples) {
    if (sample.target_ms <= 0) continue;
    worst = std::max(worst, static_cast<double>(sample.tail_ms) /
                                static_cast<double>(sample.target_ms));
  }
  if (worst > kHigh) {
    if (now - lowered_at_ < kSettleTime) return percent_;
    ceiling_ = std::max(percent_ - kRiseStep, 0);
    percent_ /= 2;
    if (percent_ < kMinPercent) percent_ = 0;
    lowered_at_ = now;
    return percent_;
  }
  if (worst > kLow || percent_ == kFull) return percent_;
  const Millis calm = now - std::max(lowered_at_, raised_at_);
  if (calm < kRiseInterval) return percent_;
  if (now - lowered_at_ > kCeilingLife) ceiling_ = kFull;
  const int next =
      std::min({percent_ + kRiseStep, kFull, std::max(ceiling_, percent_)});
  if (next == percent_) return percent_;
  percent_ = next;
  raised_at_ = now;
  return percent_;
}

}  // namespace basilusher
