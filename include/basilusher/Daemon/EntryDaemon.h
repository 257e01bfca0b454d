// One entry process: all components, their actors and the HTTP interface.
#ifndef BASILUSHER_DAEMON_ENTRYDAEMON_H_
#define BASILUSHER_DAEMON_ENTRYDAEMON_H_

#include <memory>

#include "basilusher/Daemon/Settings.h"

namespace basilusher {

/// Runs an entry. Not thread-safe but for RequestStop.
class EntryDaemon {
 public:
  explicit EntryDaemon(const Settings& settings);
  ~EntryDaemon();

  /// Starts listening and serving. Throws Error(kTransportFailed) if an address
  /// can't be had.
  void Start();
  /// Asks Run to begin the graceful shutdown. Thread-safe; not to be called
  /// from a signal handler.
  void RequestStop();
  /// Returns after a graceful shutdown: no request is cut off unless the
  /// shutdown time is over. Returns whether all ended in time.
  bool Run();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace basilusher

#endif  // BASILUSHER_DAEMON_ENTRYDAEMON_H_
