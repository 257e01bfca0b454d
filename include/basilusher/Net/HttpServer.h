// Event-driven HTTP/1.1 server on one I/O thread.
#ifndef BASILUSHER_NET_HTTPSERVER_H_
#define BASILUSHER_NET_HTTPSERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "basilusher/Net/ClientBudget.h"
#include "basilusher/Net/IoLoop.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

using HttpHeader = std::pair<std::string, std::string>;

/// One request that was read whole.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;

  /// Value of the header `name`, compared without case; empty if absent.
  std::string_view Header(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body;
  /// Seconds until the caller should come back; zero sends no header.
  int retry_after_s = 0;
};

/// Sends the answer of one request. Call it once, from the I/O thread; a caller
/// that has gone away is ignored.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpServerOptions {
  /// IPv4 address and port, as "10.0.0.1:80".
  std::string address;
  /// Bound on a request's head, and again on its chunk extensions and on its
  /// trailers.
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// Fields of a head; each takes far more memory than its text, which the
  /// budget counts. No head of `max_header_bytes` has more: a field takes four
  /// bytes at least.
  std::size_t max_header_fields = 4096;
  std::size_t max_body_bytes = std::size_t{256} * 1024;
  /// Time to receive a whole head once its first byte has come.
  Millis read_timeout{3000};
  /// Time to send a whole answer to a reader that is slow.
  Millis write_timeout{3000};
  /// Time that a connection may rest between requests, and time to receive a
  /// whole body once its head is known.
  Millis idle_timeout{15000};
  /// Beyond this number a new connection replaces the one that has rested, or
  /// whose request has been incomplete, for longest.
  std::size_t max_connections = 1500;
  /// Shared by the servers of one process; null for a budget of its own.
  std::shared_ptr<ClientBudget> budget;
};

/// Serves one address. Not thread-safe: all calls from the I/O thread.
class HttpServer {
 public:
  /// Binds and listens; throws Error(kTransportFailed) if the address is taken.
  /// `handler` runs on the I/O thread.
  HttpServer(IoLoop* loop, HttpServerOptions options, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Changes limits for requests that have not begun yet; `read_timeout` is
  /// also that of writes.
  void SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                 Millis read_timeout, Millis idle_timeout);
  /// From now on each answer closes its connection.
  void BeginDrain();
  /// Stops accepting connections and closes those with no request in progress.
  void StopAccepting();
  /// Requests read whole and not answered yet.
  std::size_t InProgress() const;

 private:
  struct Shared;
  class Session;
  std::shared_ptr<Shared> shared_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NET_HTTPSERVER_H_
