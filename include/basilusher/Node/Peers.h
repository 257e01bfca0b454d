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
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

/// Path of each call between nodes.
struct PeerPaths {
  static constexpr const char* kFind = "/v1/jobs/find";
  static constexpr const char* kSubmit = "/v1/jobs/submit";
  static constexpr const char* kOffer = "/v1/jobs/offer";
  static constexpr const char* kCancel = "/v1/jobs/cancel";
  static constexpr const char* kCancelled = "/v1/jobs/cancelled";
  static constexpr const char* kPending = "/v1/queues/pending";
  static constexpr const char* kAdvise = "/v1/steps/advise";
  static constexpr const char* kStatus = "/v1/node/status";
  static constexpr const char* kCatalog = "/v1/node/catalog";
  static constexpr const char* kEndTerm = "/v1/node/end-term";
  static constexpr const char* kTermEnded = "/v1/node/term-ended";
  static constexpr const char* kFindEndedTerm = "/v1/node/find-ended-term";
};

using PeerCallback = std::function<void(std::optional<Json>)>;

/// Calls peers. Not thread-safe: I/O thread only.
class PeerCaller {
 public:
  virtual ~PeerCaller() = default;
  /// `done` runs once, with nothing if no whole answer with status 200 came
  /// within `timeout`.
  virtual void Call(const std::string& address, const char* path,
                    const Json& body, Millis timeout, PeerCallback done) = 0;
  /// The same for an answer that may be long: `timeout` bounds only the time
  /// until it begins to come.
  virtual void Fetch(const std::string& address, const char* path,
                     const Json& body, Millis timeout, PeerCallback done) = 0;
};

/// Calls peers over HTTP and counts their answers in
/// `peer_calls_total{path,result}`. Not thread-safe: I/O thread only.
class PeerClient : public PeerCaller {
 public:
  /// Both must outlive this object; `counters` may be null.
  PeerClient(HttpClient* http, Counters* counters)
      : http_(http), counters_(counters) {}
  void Call(const std::string& address, const char* path, const Json& body,
            Millis timeout, PeerCallback done) override;
  void Fetch(const std::string& address, const char* path, const Json& body,
             Millis timeout, PeerCallback done) override;

 private:
  void Send(const std::string& address, const char* path, HttpCall call,
            PeerCallback done);
  void Count(const char* path, const HttpAnswer& answer);

  HttpClient* http_;
  Counters* counters_;
};

/// What a node answers to its peers, by path. Not thread-safe: I/O thread only.
class PeerMethods {
 public:
  /// Gets the call's body and a function that answers it; nothing means that
  /// the call cannot be served here. May throw Json::exception for a body of
  /// another shape.
  using Method = std::function<void(const Json&, PeerCallback)>;

  void On(const char* path, Method method);
  /// The method of `path`; null if there is none.
  const Method* Find(const std::string& path) const;

 private:
  std::map<std::string, Method> methods_;
};

/// Serves a node's methods over HTTP. Not thread-safe: I/O thread only.
class PeerServer {
 public:
  /// `options` name the address and the limits but for that of bodies.
  /// `methods` must outlive the server.
  PeerServer(IoLoop* loop, HttpServerOptions options,
             const PeerMethods* methods);

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond);

  const PeerMethods* methods_;
  HttpServer server_;
};

}  // namespace basilusher

#endif  // BASILUSHER_NODE_PEERS_H_
