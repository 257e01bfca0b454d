// Faults in front of the stand-ins' handlers.
#include "StandinHttp.h"

#include <utility>

namespace basilusher {
namespace {

constexpr int kRefusedStatus = 503;
constexpr int kKeepAliveSeconds = 30;
constexpr std::size_t kKeepAliveRequests = 100000000;

/// Makes the library end the connection without a usable answer.
void CutConnection(httplib::Response* response) {
  constexpr std::size_t kClaimedBytes = 1000;
  response->set_content_provider(
      kClaimedBytes, "application/octet-stream",
      [](std::size_t /*offset*/, std::size_t /*length*/,
         httplib::DataSink& /*sink*/) { return false; });
}

}  // namespace

StandinHttp::StandinHttp(int threads) {
  server_.new_task_queue = [threads] {
    return new httplib::ThreadPool(threads);
  };
  server_.set_tcp_nodelay(true);
  server_.set_keep_alive_timeout(kKeepAliveSeconds);
  server_.set_keep_alive_max_count(kKeepAliveRequests);
  server_.Post("/fault", [this](const httplib::Request& request,
                                httplib::Response& response) {
    try {
      faults_.Add(ParseFault(
          ParseJson(request.body, "fault", ResultCode::kSettingsInvalid)));
    } catch (const Error& error) {
      response.status = 400;
      response.set_content(error.what(), "text/plain");
    }
  });
  server_.Delete("/fault",
                 [this](const httplib::Request& /*request*/,
                        httplib::Response& /*response*/) { faults_.Clear(); });
}

HttpHandler StandinHttp::WithFaults(const std::string& operation,
                                    HttpHandler handler) {
  return [this, operation, handler = std::move(handler)](
             const httplib::Request& request, httplib::Response& response) {
    const Fault fault = faults_.Take(operation);
    if (fault.delay > Millis(0)) std::this_thread::sleep_for(fault.delay);
    if (fault.kind == FaultKind::kRefuse) {
      response.status = kRefusedStatus;
      return;
    }
    if (fault.kind == FaultKind::kCut) {
      CutConnection(&response);
      return;
    }
    handler(request, response);
    if (fault.kind == FaultKind::kLoseAnswer) {
      response = httplib::Response();
      CutConnection(&response);
    }
  };
}

void StandinHttp::Post(const std::string& path, const std::string& operation,
                       HttpHandler handler) {
  server_.Post(path, WithFaults(operation, std::move(handler)));
}

void StandinHttp::Get(const std::string& path, const std::string& operation,
                      HttpHandler handler) {
  server_.Get(path, WithFaults(operation, std::move(handler)));
}

int StandinHttp::Start(const std::string& address, int port) {
  int bound = port;
  if (port == 0) {
    bound = server_.bind_to_any_port(address);
  } else if (!server_.bind_to_port(address, port)) {
    bound = -1;
  }
  if (bound < 0) {
    throw Error(ResultCode::kTransportFailed,
                address + ":" + std::to_string(port) + " can't be bound");
  }
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  return bound;
}

void StandinHttp::Stop() {
  if (!thread_.joinable()) return;
  server_.stop();
  thread_.join();
}

}  // namespace basilusher
