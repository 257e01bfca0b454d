// Signals that ask a program to stop, waited for by one thread.
#ifndef BASILUSHER_SUPPORT_STOPSIGNALS_H_
#define BASILUSHER_SUPPORT_STOPSIGNALS_H_

#include <signal.h>

namespace basilusher {

/// Blocks SIGTERM and SIGINT in this thread and those that it starts, and
/// ignores SIGPIPE. Make one before any thread starts.
class StopSignals {
 public:
  StopSignals();
  /// Returns once one of the signals has come. Thread-safe.
  void Wait() const;

 private:
  sigset_t signals_;
};

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_STOPSIGNALS_H_
