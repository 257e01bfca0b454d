// Blocking of signals and the wait for them.
#include "basilusher/Support/StopSignals.h"

#include <pthread.h>

namespace basilusher {

StopSignals::StopSignals() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void StopSignals::Wait() const {
  int signal_number = 0;
  sigwait(&signals_, &signal_number);
}

}  // namespace basilusher
