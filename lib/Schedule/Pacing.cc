// Pace from tails.
#include "basilusher/Schedule/Pacing.h"

#include <algorithm>

namespace basilusher {
namespace {

constexpr int kFull = 100;
/// Shares of the bound: above the first the pace falls, below the second it may
/// rise. The figure is rough, so the first lies under the bound.
constexpr double kHigh = 0.9;
constexpr double kLow = 0.7;
/// A figure covers the last half second, and an order takes a tenth to work: a
/// change shows after this.
constexpr Millis kSettleTime{600};
/// Between two rises.
constexpr Millis kRiseEvery{1000};
constexpr int kRiseStep = 20;
/// A pace below this does too little to be worth disturbing others.
constexpr int kSmallest = 12;
/// The ceiling is tried again after this long without a high tail.
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
    if (percent_ < kSmallest) percent_ = 0;
    lowered_at_ = now;
    return percent_;
  }
  if (worst > kLow || percent_ == kFull) return percent_;
  const Millis calm = now - std::max(lowered_at_, raised_at_);
  if (calm < kRiseEvery) return percent_;
  if (now - lowered_at_ > kCeilingLife) ceiling_ = kFull;
  const int next =
      std::min({percent_ + kRiseStep, kFull, std::max(ceiling_, percent_)});
  if (next == percent_) return percent_;
  percent_ = next;
  raised_at_ = now;
  return percent_;
}

}  // namespace basilusher
