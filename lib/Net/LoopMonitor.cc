// Lateness of an event loop.
#include "basilusher/Net/LoopMonitor.h"

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr Millis kPeriod{100};
/// A third of a node's lease, which this loop renews.
constexpr Millis kLate{500};

}  // namespace

void LoopMonitor::Begin() {
  due_ = clock_->Now() + kPeriod;
  timers_->After(kPeriod, [this] { Check(); });
}

void LoopMonitor::Check() {
  const Millis late = std::chrono::duration_cast<Millis>(clock_->Now() - due_);
  counters_->Observe("loop_late_ms", late.count());
  if (late >= kLate) {
    LogEvent(LogLevel::kWarning, "loop-late", {{"late_ms", late.count()}});
  }
  Begin();
}

}  // namespace basilusher
