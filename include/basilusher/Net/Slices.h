// Work over many elements that leaves the event loop to other events.
#ifndef BASILUSHER_NET_SLICES_H_
#define BASILUSHER_NET_SLICES_H_

#include <cstddef>
#include <functional>

#include "basilusher/Net/IoLoop.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Calls `step` with 0 to `count` - 1, in order, and then `done`. Other events
/// get a turn after each 20 ms of steps; short work is finished before this
/// function returns. Ends without `done` once `step` returns false. Both
/// functions may be destroyed later than their last call. `timers` and `clock`
/// must outlive the work. Not thread-safe: I/O thread only.
void RunInSlices(TimerService* timers, const Clock* clock, std::size_t count,
                 std::function<bool(std::size_t)> step,
                 std::function<void()> done);

}  // namespace basilusher

#endif  // BASILUSHER_NET_SLICES_H_
