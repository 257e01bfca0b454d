// HTTP server whose callers may close their sending side and still get their
// answer.
#ifndef BASILUSHER_LIB_DAEMON_CALLERSERVER_H_
#define BASILUSHER_LIB_DAEMON_CALLERSERVER_H_

#include <httplib.h>

namespace basilusher {

/// The library's own loop takes a half-closed connection for a closed one and
/// drops the answer; this one answers as long as the connection can be written
/// to. Thread-safety as the library's server.
class CallerServer : public httplib::Server {
 private:
  bool process_and_close_socket(
      socket_t sock) override;  // NOLINT(readability-identifier-naming)
};

}  // namespace basilusher

#endif  // BASILUSHER_LIB_DAEMON_CALLERSERVER_H_
