// The system's own calls between its nodes: HTTP with JSON bodies on an inner
// port.
#ifndef BASILUSHER_NODE_PEERS_H_
#define BASILUSHER_NODE_PEERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilusher/Jobs/Job.h"
#include "basilusher/Net/HttpClient.h"
#include "basilusher/Net/HttpServer.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Path of each call between nodes.
struct PeerPaths {
  static constexpr const char* kFind = "/v1/jobs/find";
  static constexpr const char* kSubmit = "/v1/jobs/submit";
  static constexpr const char* kCancel = "/v1/jobs/cancel";
  static constexpr const char* kPending = "/v1/queues/pending";
  static constexpr const char* kStatus = "/v1/node/status";
  static constexpr const char* kCatalog = "/v1/node/catalog";
  static constexpr const char* kEndTerm = "/v1/node/end-term";
};

using PeerCallback = std::function<void(std::optional<Json>)>;

/// Calls one peer. `done` gets nothing if no whole answer with status 200 came.
/// Not thread-safe: I/O thread only.
class PeerClient {
 public:
  explicit PeerClient(HttpClient* http) : http_(http) {}
  void Call(const std::string& address, const char* path, const Json& body,
            Millis timeout, PeerCallback done);

 private:
  HttpClient* http_;
};

/// Answers peers' calls. Not thread-safe: I/O thread only.
class PeerServer {
 public:
  /// Gets the call's body and a function that answers it; nothing means that
  /// the call cannot be served here.
  using Method = std::function<void(const Json&, PeerCallback)>;

  PeerServer(IoLoop* loop, const std::string& address);
  void On(const char* path, Method method);

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond);

  std::map<std::string, Method> methods_;
  HttpServer server_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_PEERS_H_
