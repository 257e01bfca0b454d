// The I/O thread: timers, signals and sockets run on it one after another.
#ifndef BASILUSHER_NET_IOLOOP_H_
#define BASILUSHER_NET_IOLOOP_H_

#include <functional>
#include <memory>
#include <string>

#include "basilusher/Support/Clock.h"

namespace basilusher {

/// True if `address` is an IPv4 address and a port, as in "10.0.0.1:80".
/// Thread-safe.
bool IsEndpoint(const std::string& address);

/// Calls a function later on the same thread.
class TimerService {
 public:
  virtual ~TimerService() = default;
  /// Runs `task` once after `delay`. Not thread-safe: I/O thread only.
  virtual void After(Millis delay, std::function<void()> task) = 0;
};

/// One event loop. Not thread-safe but for the constructor.
class IoLoop : public TimerService {
 public:
  /// The library's event loop; only lib/Net sees inside.
  struct Impl;

  IoLoop();
  ~IoLoop() override;
  void After(Millis delay, std::function<void()> task) override;
  /// Calls `handler` at each SIGTERM, SIGINT (stop) or SIGHUP (reload).
  void OnSignals(std::function<void()> stop, std::function<void()> reload);
  /// Runs until Stop is called.
  void Run();
  /// Makes Run return after the current handler.
  void Stop();
  Impl* Get() { return impl_.get(); }

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NET_IOLOOP_H_
