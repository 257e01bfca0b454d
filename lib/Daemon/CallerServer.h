// HTTP server whose callers may close their sending side and still get their
// answer.
#ifndef BASILUSHER_LIB_DAEMON_CALLERSERVER_H_
#define BASILUSHER_LIB_DAEMON_CALLERSERVER_H_

#include <httplib.h>

#include <cstddef>

#include "CallerLimits.h"

namespace basilusher {

/// The library's own loop takes a half-closed connection for a closed one and
/// drops the answer; this one answers as long as the connection can be written
/// to. It also bounds the bytes and the time of each request, which the library
/// does not. Thread-safety as the library's server.
class CallerServer : public httplib::Server {
 public:
  class SocketStream;

  /// `max_bytes` bounds what the bodies of all requests in progress hold;
  /// `counters` must outlive the server.
  CallerServer(std::size_t max_bytes, Counters* counters)
      : budget_(max_bytes, counters) {}

  /// Takes the request's head into account, on the thread that serves it. False
  /// if its body is rejected for lack of memory; the connection is then closed
  /// after its answer.
  bool AcceptBody(const httplib::Request& request);

 private:
  bool process_and_close_socket(
      socket_t sock) override;  // NOLINT(readability-identifier-naming)

  CallerBudget budget_;
};

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_CALLERSERVER_H_
