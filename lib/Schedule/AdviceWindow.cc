// Bounds of questions to an advisor that answers in turn.
#include "basilusher/Schedule/AdviceWindow.h"

#include <algorithm>
#include <cassert>

namespace basilusher {
namespace {

/// One question is being answered while the next one travels.
constexpr int kMaxInFlight = 2;
/// An advisor that is slower than this by its policy is taken for one that does
/// not answer.
constexpr double kMinStretch = 2;
constexpr double kMaxStretch = 16;
/// Added to each time-out, for the network.
constexpr Millis kNetworkAllowance{1500};
/// Pauses after failed questions.
constexpr Millis kFirstPause{150};
constexpr Millis kLongestPause{2400};

Millis PauseAfter(int failures) {
  Millis pause = kFirstPause;
  for (int i = 1; i < failures && pause < kLongestPause; ++i) pause *= 2;
  return std::min(pause, kLongestPause);
}

}  // namespace

bool AdviceWindow::MayAsk(TimePoint now) const {
  return in_flight_ < limit_ && now >= not_before_;
}

AdviceWindow::Question AdviceWindow::Begin(TimePoint now, Millis answer_time) {
  assert(MayAsk(now) && "the question has to wait for its turn");
  ++in_flight_;
  due_at_ = std::max(due_at_, now) + answer_time;
  const double expected_ms = static_cast<double>((due_at_ - now).count());
  return {.sent_at = now,
          .answer_time = answer_time,
          .timeout = Millis(static_cast<std::int64_t>(expected_ms * stretch_)) +
                     kNetworkAllowance};
}

void AdviceWindow::End(const Question& question, TimePoint now, bool answered) {
  --in_flight_;
  if (answered) {
    const TimePoint began_at = std::max(question.sent_at, last_answer_at_);
    const double took_ms = static_cast<double>((now - began_at).count());
    const double stated_ms =
        static_cast<double>(std::max(question.answer_time, Millis(1)).count());
    stretch_ =
        std::clamp(kMinStretch * took_ms / stated_ms, kMinStretch, kMaxStretch);
    last_answer_at_ = now;
    limit_ = kMaxInFlight;
    failures_ = 0;
  } else {
    ++failures_;
    limit_ = 1;
    not_before_ = now + PauseAfter(failures_);
    // A refusal or a lost connection does not show that answers take longer.
    if (now - question.sent_at >= question.timeout) {
      stretch_ = std::min(stretch_ * 2, kMaxStretch);
    }
  }
  if (in_flight_ == 0) due_at_ = now;
}

}  // namespace basilusher
