// Event-driven HTTP/1.1 client with a bounded connection pool per address.
#ifndef BASILUSHER_NET_HTTPCLIENT_H_
#define BASILUSHER_NET_HTTPCLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Net/HttpServer.h"
#include "basilusher/Net/IoLoop.h"

namespace basilusher {

/// What is known about a call that has ended.
enum class CallOutcome {
  /// A whole answer came.
  kAnswered,
  /// No byte of the call was sent.
  kNotSent,
  /// Sent at least in part and not answered: it may have taken effect.
  kLost,
};

/// Time limits of an answer that has begun before its call's timeout.
struct LongAnswer {
  /// Longest time without a further byte.
  Millis stall_timeout{1000};
  /// From the call to the last byte of its answer.
  Millis max_duration{15000};
  /// Runs each time that a part of the answer has come and more is due; must
  /// not call the client. May be empty.
  std::function<void()> on_progress;
};

struct HttpCall {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
  /// From the call until its whole answer has come, connecting included. Bytes
  /// that have come are read to the end, however slow the event loop is.
  Millis timeout{1000};
  /// For answers whose length is not known to be small; nothing if `timeout`
  /// bounds the whole call. On a slow link, a call that ends at a fixed time
  /// fails each time that it is repeated.
  std::optional<LongAnswer> long_answer;
};

struct HttpAnswer {
  CallOutcome outcome = CallOutcome::kNotSent;
  int status = 0;
  std::string body;
  /// Its body is longer than the client takes; the outcome is kLost.
  bool beyond_limits = false;
};

using HttpCallback = std::function<void(const HttpAnswer&)>;

struct HttpClientOptions {
  /// Calls beyond this number wait for a connection.
  std::size_t max_connections_per_address = 8;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  Millis idle_timeout{12000};
};

/// Not thread-safe: I/O thread only.
class HttpClient {
 public:
  HttpClient(IoLoop* loop, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls `address` ("10.0.0.1:80"); `done` runs once, later. A connection
  /// whose call timed out is closed, with all idle ones to its address, since
  /// they may have gone silent together.
  void Call(const std::string& address, HttpCall call, HttpCallback done);
  /// Closes idle connections to `address`.
  void Forget(const std::string& address);

 private:
  struct Shared;
  class Connection;
  std::shared_ptr<Shared> shared_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NET_HTTPCLIENT_H_
