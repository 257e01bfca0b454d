// Calls between nodes.
#include "basilusher/Node/Peers.h"

#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Largest body between nodes: a configuration with room to grow.
constexpr std::size_t kMaxPeerBody = std::size_t{4} * 1024 * 1024;
/// Time to send or to receive a configuration; the largest needs 11 s on a link
/// of 1 Mbit/s.
constexpr Millis kLongestAnswer{15000};
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

HttpServerOptions WithPeerBody(HttpServerOptions options) {
  options.max_body_bytes = kMaxPeerBody;
  options.write_timeout = kLongestAnswer;
  return options;
}

}  // namespace

void PeerClient::Count(const char* path, const HttpAnswer& answer) {
  if (counters_ == nullptr) return;
  const char* result = "answered";
  if (answer.outcome != CallOutcome::kAnswered) {
    result = answer.outcome == CallOutcome::kNotSent ? "not-sent" : "lost";
  } else if (answer.status != kStatusOk) {
    result = "refused";
  }
  counters_->Add("peer_calls_total{path=\"" + std::string(path) +
                 "\",result=\"" + result + "\"}");
}

void PeerClient::Call(const std::string& address, const char* path,
                      const Json& body, Millis timeout, PeerCallback done) {
  Send(address, path,
       {.method = "POST",
        .target = path,
        .headers = {},
        .body = body.dump(),
        .timeout = timeout},
       std::move(done));
}

void PeerClient::Fetch(const std::string& address, const char* path,
                       const Json& body, Millis timeout, PeerCallback done) {
  Send(address, path,
       {.method = "POST",
        .target = path,
        .headers = {},
        .body = body.dump(),
        .timeout = timeout,
        .long_answer = LongAnswer{.max_duration = kLongestAnswer}},
       std::move(done));
}

void PeerClient::Send(const std::string& address, const char* path,
                      HttpCall call, PeerCallback done) {
  http_->Call(address, std::move(call),
              [this, path, done = std::move(done)](const HttpAnswer& answer) {
                Count(path, answer);
                if (answer.outcome != CallOutcome::kAnswered ||
                    answer.status != kStatusOk) {
                  done(std::nullopt);
                  return;
                }
                Json document = Json::parse(answer.body, nullptr, false);
                if (!document.is_object()) {
                  done(std::nullopt);
                  return;
                }
                done(std::move(document));
              });
}

void PeerMethods::On(const char* path, Method method) {
  methods_[path] = std::move(method);
}

const PeerMethods::Method* PeerMethods::Find(const std::string& path) const {
  const auto method = methods_.find(path);
  return method == methods_.end() ? nullptr : &method->second;
}

PeerServer::PeerServer(IoLoop* loop, HttpServerOptions options,
                       const PeerMethods* methods)
    : methods_(methods),
      server_(loop, WithPeerBody(std::move(options)),
              [this](const HttpRequest& request, const HttpResponder& respond) {
                Serve(request, respond);
              }) {}

void PeerServer::Serve(const HttpRequest& request,
                       const HttpResponder& respond) {
  const PeerMethods::Method* method = methods_->Find(request.target);
  if (method == nullptr) {
    respond({.status = kStatusNotFound, .body = {}});
    return;
  }
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    respond({.status = kStatusBadRequest, .body = {}});
    return;
  }
  try {
    (*method)(body, [respond](std::optional<Json> answer) {
      if (!answer) {
        respond({.status = kStatusUnavailable, .body = {}});
        return;
      }
      respond({.status = kStatusOk, .body = answer->dump()});
    });
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "peer-request-malformed",
             {{"method", request.target}, {"error", error.what()}});
    respond({.status = kStatusBadRequest, .body = {}});
  }
}

}  // namespace basilusher
