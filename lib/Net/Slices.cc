// Sliced work on the event loop.
#include "basilusher/Net/Slices.h"

#include <memory>
#include <utility>

namespace basilusher {
namespace {

/// Short against a node's lease and the shortest time-out of a call.
constexpr Millis kSlice{20};

struct Work {
  TimerService* timers;
  const Clock* clock;
  std::size_t count;
  std::function<bool(std::size_t)> step;
  std::function<void()> done;
  std::size_t next = 0;
};

void RunSlice(const std::shared_ptr<Work>& work) {
  const TimePoint until = work->clock->Now() + kSlice;
  while (work->next < work->count) {
    if (!work->step(work->next++)) return;
    if (work->next < work->count && work->clock->Now() >= until) {
      work->timers->After(Millis(0), [work] { RunSlice(work); });
      return;
    }
  }
  work->done();
}

}  // namespace

void RunInSlices(TimerService* timers, const Clock* clock, std::size_t count,
                 std::function<bool(std::size_t)> step,
                 std::function<void()> done) {
  RunSlice(std::make_shared<Work>(Work{.timers = timers,
                                       .clock = clock,
                                       .count = count,
                                       .step = std::move(step),
                                       .done = std::move(done)}));
}

}  // namespace basilusher
