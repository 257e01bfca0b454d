// HTTP interface for callers, the balancer and operators.
#ifndef BASILUSHER_LIB_DAEMON_HTTPFRONTEND_H_
#define BASILUSHER_LIB_DAEMON_HTTPFRONTEND_H_

#include <memory>

#include "EntryServices.h"

namespace basilusher {

/// Serves until Stop. Not thread-safe.
class HttpFrontend {
 public:
  explicit HttpFrontend(EntryServices* services);
  ~HttpFrontend();

  /// Binds the address of the settings; returns the port. Throws
  /// Error(kTransportFailed).
  int Bind();
  /// Starts serving on threads of its own.
  void Start();
  /// Stops listening and ends the threads; requests in progress are answered
  /// first.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// HTTP status that goes with an answer. Thread-safe.
int HttpStatusOf(const Answer& answer);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_HTTPFRONTEND_H_
