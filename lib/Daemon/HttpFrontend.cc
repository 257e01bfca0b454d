// Callers' requests and health checks over HTTP.
#include "HttpFrontend.h"

#include <httplib.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "CallerServer.h"
#include "OperatorRoutes.h"
#include "TaskRoutes.h"
#include "basilusher/Support/Digest.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

constexpr int kReadTimeoutSeconds = 5;
constexpr int kWriteTimeoutSeconds = 5;
constexpr int kKeepAliveSeconds = 2;
constexpr std::size_t kKeepAliveRequests = 1000000;
constexpr std::size_t kMostBodyBytes = 8u << 20;
constexpr int kRequestIdDigits = 24;
constexpr std::int64_t kLongestDeadlineMs = 3600000;
constexpr int kStatusOk = 200;

struct StatusRow {
  ResultCode code;
  int status;
};

constexpr std::array<StatusRow, 22> kStatusRows = {{
    {ResultCode::kMalformedRequest, 400},
    {ResultCode::kIdempotencyKeyMissing, 400},
    {ResultCode::kKeyMissing, 401},
    {ResultCode::kKeyUnknown, 401},
    {ResultCode::kKeyWithdrawn, 401},
    {ResultCode::kOperatorTokenWrong, 401},
    {ResultCode::kWrongTeam, 403},
    {ResultCode::kUnknownQueue, 404},
    {ResultCode::kUnknownTask, 404},
    {ResultCode::kDeadlineExpired, 408},
    {ResultCode::kClaimInProgress, 409},
    {ResultCode::kTaskEnded, 409},
    {ResultCode::kIntentStale, 409},
    {ResultCode::kBodyTooLarge, 413},
    {ResultCode::kIdempotencyKeyReused, 422},
    {ResultCode::kIntentInvalid, 422},
    {ResultCode::kOverloaded, 429},
    {ResultCode::kTeamAtLimit, 429},
    {ResultCode::kAnswerLost, 504},
    {ResultCode::kEarlierOutcomeUnknown, 504},
    {ResultCode::kCancelledWhileRunning, 504},
    {ResultCode::kCancelled, 410},
}};

constexpr int kDefaultStatus = 503;

Json AnswerJson(const Answer& answer, const std::string& request_id) {
  Json json = {{"outcome", NameOf(kOutcomeNames, answer.outcome)},
               {"code", static_cast<int>(answer.code)},
               {"name", ResultCodeName(answer.code)},
               {"text", answer.text},
               {"requestId", request_id}};
  if (answer.outcome == Outcome::kNotRun) {
    json["notRunCovers"] = NameOf(kNotRunScopeNames, answer.scope);
  }
  return json;
}

void WriteAnswer(const Answer& answer, const std::string& request_id,
                 httplib::Response* response) {
  response->set_header("X-Outcome",
                       std::string(NameOf(kOutcomeNames, answer.outcome)));
  response->set_header("X-Result-Code",
                       std::to_string(static_cast<int>(answer.code)));
  response->set_header("X-Request-Id", request_id);
  if (answer.recorded) response->set_header("X-Recorded", "1");
  if (answer.retry_after_ms > 0) {
    constexpr int kMillisPerSecond = 1000;
    response->set_header("Retry-After", std::to_string((answer.retry_after_ms +
                                                        kMillisPerSecond - 1) /
                                                       kMillisPerSecond));
  }
  response->status = HttpStatusOf(answer);
  if (answer.outcome == Outcome::kRan) {
    response->set_header("X-Worker", answer.worker);
    response->set_content(answer.body, "application/octet-stream");
    return;
  }
  response->set_content(
      AnswerJson(answer, request_id)
          .dump(-1, ' ', false, Json::error_handler_t::replace),
      "application/json");
}

/// Reads an optional header with a count of milliseconds; throws
/// Error(kMalformedRequest).
Millis DeadlineOf(const httplib::Request& request) {
  const std::string text = request.get_header_value("X-Deadline-Millis");
  if (text.empty()) return Millis(0);
  const bool digits =
      text.find_first_not_of("0123456789") == std::string::npos &&
      text.size() <= 9;
  if (!digits) {
    throw Error(ResultCode::kMalformedRequest,
                "X-Deadline-Millis: found \"" + text +
                    "\"; expected: a whole number of milliseconds");
  }
  const std::int64_t millis = std::stoll(text);
  if (millis == 0) {
    throw Error(ResultCode::kDeadlineExpired,
                "X-Deadline-Millis: found 0; expected: time to run in");
  }
  return Millis(std::min(millis, kLongestDeadlineMs));
}

}  // namespace

int HttpStatusOf(const Answer& answer) {
  if (answer.outcome == Outcome::kRan) {
    return answer.status == 0 ? kStatusOk : answer.status;
  }
  for (const StatusRow& row : kStatusRows) {
    if (row.code == answer.code) return row.status;
  }
  return kDefaultStatus;
}

namespace {

/// Share of the memory for bodies. They take up to twice their size, and as
/// much again while they are sent to a worker.
constexpr std::size_t kBodyShareOfMemory = 5;
/// Connections that may wait for each thread.
constexpr std::size_t kWaitingPerThread = 4;
constexpr int kRetryAfterMillis = 1000;

std::size_t BudgetOf(const Settings& settings) {
  return std::max(
      kMostBodyBytes,
      (std::size_t{1024} * 1024 * settings.memory_mb) / kBodyShareOfMemory);
}

Answer RefuseForMemory() {
  Answer answer = Refuse(ResultCode::kOverloaded,
                         "the bodies of other requests use up the memory");
  answer.retry_after_ms = kRetryAfterMillis;
  return answer;
}

}  // namespace

class HttpFrontend::Impl {
 public:
  explicit Impl(EntryServices* services)
      : services_(services),
        server_(BudgetOf(services->settings), &services->counters) {
    const std::size_t threads =
        static_cast<std::size_t>(services->settings.http_threads);
    server_.new_task_queue = [threads] {
      return new BoundedTaskQueue(threads, kWaitingPerThread * threads);
    };
    server_.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          if (server_.AcceptBody(request)) {
            return httplib::Server::HandlerResponse::Unhandled;
          }
          WriteAnswer(RefuseForMemory(), "", &response);
          response.status = kDefaultStatus;
          return httplib::Server::HandlerResponse::Handled;
        });
    server_.set_read_timeout(kReadTimeoutSeconds);
    server_.set_write_timeout(kWriteTimeoutSeconds);
    server_.set_keep_alive_timeout(kKeepAliveSeconds);
    server_.set_keep_alive_max_count(kKeepAliveRequests);
    server_.set_payload_max_length(kMostBodyBytes);
    server_.set_tcp_nodelay(true);
    server_.set_error_handler(
        [](const httplib::Request& /*request*/, httplib::Response& response) {
          WriteLibraryError(&response);
        });
    AddRoutes();
  }

  int Bind() {
    const Settings& settings = services_->settings;
    int port = settings.http_port;
    if (port == 0) {
      port = server_.bind_to_any_port(settings.address);
    } else if (!server_.bind_to_port(settings.address, port)) {
      port = -1;
    }
    if (port < 0) {
      throw Error(ResultCode::kTransportFailed,
                  "settings: field /httpPort: " + settings.address + ":" +
                      std::to_string(settings.http_port) +
                      " can't be bound; choose a free port");
    }
    return port;
  }

  void Start() {
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }

  void Stop() {
    if (!thread_.joinable()) return;
    server_.stop();
    thread_.join();
  }

 private:
  /// Errors that the HTTP library found before any handler ran.
  static void WriteLibraryError(httplib::Response* response) {
    if (!response->body.empty()) return;
    constexpr int kPayloadTooLarge = 413;
    constexpr int kNotFound = 404;
    ResultCode code = ResultCode::kMalformedRequest;
    if (response->status == kPayloadTooLarge) code = ResultCode::kBodyTooLarge;
    if (response->status == kNotFound) code = ResultCode::kUnknownQueue;
    const int status = response->status;
    WriteAnswer(Refuse(code,
                       "the request can't be read or its path is "
                       "not known"),
                "", response);
    response->status = status;
  }

  void AddRoutes() {
    server_.Post(
        R"(/v1/queues/([^/]+)/requests)",
        [this](const httplib::Request& request, httplib::Response& response) {
          ServeRequest(request, &response);
        });
    server_.Get("/healthz/live", [](const httplib::Request& /*request*/,
                                    httplib::Response& response) {
      response.set_content("live\n", "text/plain");
    });
    server_.Get("/healthz/ready", [this](const httplib::Request& /*request*/,
                                         httplib::Response& response) {
      const bool ready = services_->ready && !services_->stopping;
      response.status = ready ? kStatusOk : kDefaultStatus;
      response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server_.Get("/metrics", [this](const httplib::Request& /*request*/,
                                   httplib::Response& response) {
      response.set_content(services_->counters.Render(), "text/plain");
    });
    AddTaskRoutes(&server_, services_);
    AddOperatorRoutes(&server_, services_);
  }

  void ServeRequest(const httplib::Request& request,
                    httplib::Response* response) {
    const std::string id = RandomHex(&services_->random, kRequestIdDigits);
    const std::optional<TraceContext> caller =
        ParseTraceparent(request.get_header_value("traceparent"));
    Span span;
    span.context = caller ? ChildOf(*caller, &services_->random)
                          : BeginTrace(&services_->random);
    span.parent_id = caller ? caller->span_id : "";
    span.name = "request";
    span.start_micros = WallMicros();
    Answer answer;
    try {
      answer = RunRequest(id, span.context, request);
    } catch (const Error& error) {
      answer = Refuse(error.Code(), error.what());
    }
    WriteAnswer(answer, id, response);
    response->set_header("traceparent", FormatTraceparent(span.context));
    span.end_micros = WallMicros();
    span.attributes = {{"request", id},
                       {"queue", request.matches[1].str()},
                       {"outcome", NameOf(kOutcomeNames, answer.outcome)},
                       {"code", static_cast<int>(answer.code)}};
    LogSpan(span);
  }

  Answer RunRequest(const std::string& id, const TraceContext& trace,
                    const httplib::Request& request) {
    const Submission submission{
        .request_id = id,
        .key = request.get_header_value("X-Team-Key"),
        .queue = request.matches[1],
        .idempotency_key = request.get_header_value("Idempotency-Key"),
        .body_digest = DigestOf(request.body),
        .body_bytes = request.body.size(),
        .deadline = DeadlineOf(request),
        .trace = trace};
    const std::shared_ptr<Exchange> exchange = services_->requests->Open(id);
    services_->directory.Run(
        ComponentKind::kFrontDoor, [submission](Component* component) {
          static_cast<FrontDoor*>(component)->Submit(submission);
        });
    while (true) {
      Instruction next = exchange->Next();
      if (next.answer) {
        services_->requests->Close(id);
        return std::move(*next.answer);
      }
      CarryOut(*next.command, trace, request.body);
    }
  }

  void CarryOut(const DispatchCommand& command, const TraceContext& trace,
                const std::string& body) {
    Span span;
    span.context = ChildOf(trace, &services_->random);
    span.parent_id = trace.span_id;
    span.name = "dispatch";
    span.start_micros = WallMicros();
    DispatchResult result =
        services_->workers->Run(command, body, FormatTraceparent(span.context));
    span.end_micros = WallMicros();
    span.attributes = {{"request", command.request_id},
                       {"attempt", command.attempt},
                       {"worker", command.worker.id},
                       {"status", static_cast<int>(result.status)}};
    LogSpan(span);
    services_->directory.Run(
        ComponentKind::kFrontDoor,
        [id = command.request_id, attempt = command.attempt,
         result = std::move(result)](Component* component) {
          static_cast<FrontDoor*>(component)->OnDispatched(id, attempt, result);
        });
  }

  EntryServices* services_;
  CallerServer server_;
  std::thread thread_;
};

HttpFrontend::HttpFrontend(EntryServices* services)
    : impl_(std::make_unique<Impl>(services)) {}

HttpFrontend::~HttpFrontend() { Stop(); }

int HttpFrontend::Bind() { return impl_->Bind(); }

void HttpFrontend::Start() { impl_->Start(); }

void HttpFrontend::Stop() { impl_->Stop(); }

}  // namespace basilusher
