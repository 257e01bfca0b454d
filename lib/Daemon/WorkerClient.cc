// Calls to workers and what their failures mean.
#include "basilusher/Daemon/WorkerClient.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

#include "basilusher/Support/Digest.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr Millis kConnectTimeout{500};
constexpr Millis kCheckTimeout{500};
/// Time added to a request's deadline for the answer's way back.
constexpr Millis kAnswerMargin{100};
constexpr char kNotRunHeader[] = "X-Not-Run";
constexpr int kFirstFailureStatus = 500;

std::string WorkerKey(const WorkerInfo& worker) {
  return worker.address + ":" + std::to_string(worker.port);
}

/// Whether the answer is whole and belongs to this attempt.
bool IsOwnAnswer(const httplib::Response& response,
                 const DispatchCommand& command) {
  if (response.get_header_value("X-Request-Id") != command.request_id) {
    return false;
  }
  if (response.get_header_value("X-Attempt") !=
      std::to_string(command.attempt)) {
    return false;
  }
  return response.get_header_value("X-Digest") == DigestOf(response.body);
}

constexpr int kStartedStatus = 200;

constexpr EnumTable<TaskRunState, 4> kTaskRunNames = {{
    {TaskRunState::kRunning, "running"},
    {TaskRunState::kDone, "done"},
    {TaskRunState::kStopped, "stopped"},
    {TaskRunState::kNeverStarted, "never-started"},
}};

/// The count in a worker's answer; -1 without a usable answer.
int CountOf(const httplib::Result& result) {
  if (!result || result->status != kStartedStatus) return -1;
  const bool digits =
      !result->body.empty() && result->body.size() <= 9 &&
      result->body.find_first_not_of("0123456789") == std::string::npos;
  return digits ? std::stoi(result->body) : -1;
}

/// One call about a task's run.
TaskRunReport CallTask(const WorkerInfo& worker, const std::string& path,
                       const httplib::Headers& headers) {
  httplib::Client client(worker.address, worker.port);
  client.set_connection_timeout(kCheckTimeout);
  client.set_read_timeout(kCheckTimeout);
  const httplib::Result result =
      client.Post(path, headers, "", "application/octet-stream");
  if (!result || result->status != kStartedStatus) return {};
  const Json json =
      Json::parse(result->body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return {};
  const std::optional<TaskRunState> state =
      ValueOf(kTaskRunNames, json.value("state", std::string()));
  if (!state) return {};
  return {.state = *state, .body = json.value("result", std::string())};
}

}  // namespace

int ConnectionShare(int connections, int entries) {
  const int each = connections / (std::max(1, entries) + 1);
  return std::max(1, each - kControlConnections);
}

/// Hides the HTTP library from the header.
class WorkerClient::Connection {
 public:
  explicit Connection(const WorkerInfo& worker)
      : client(worker.address, worker.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(kConnectTimeout);
  }

  httplib::Client client;
};

WorkerClient::WorkerClient(std::string holder, Counters* counters)
    : holder_(std::move(holder)), counters_(counters) {}

WorkerClient::~WorkerClient() = default;

void WorkerClient::SetEntries(int entries) {
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_ = entries;
}

std::unique_ptr<WorkerClient::Connection> WorkerClient::Borrow(
    const WorkerInfo& worker, bool fresh) {
  std::unique_ptr<Connection> closing;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Pool& pool = pools_[WorkerKey(worker)];
    if (!pool.idle.empty()) {
      std::unique_ptr<Connection> connection = std::move(pool.idle.back());
      pool.idle.pop_back();
      if (!fresh) return connection;
      // The idle connection makes room for the fresh one.
      closing = std::move(connection);
      --pool.open;
    }
    if (pool.open >= ConnectionShare(worker.connections, entries_)) {
      return nullptr;
    }
    ++pool.open;
  }
  return std::make_unique<Connection>(worker);
}

void WorkerClient::Return(const WorkerInfo& worker,
                          std::unique_ptr<Connection> connection,
                          bool reusable) {
  if (!reusable) connection.reset();
  const std::lock_guard<std::mutex> lock(mutex_);
  Pool& pool = pools_[WorkerKey(worker)];
  if (reusable) {
    pool.idle.push_back(std::move(connection));
  } else {
    --pool.open;
  }
}

DispatchResult WorkerClient::Run(const DispatchCommand& command,
                                 const std::string& body,
                                 const std::string& traceparent) {
  const SteadyClock clock;
  // A worker may close an idle connection at the moment of sending, which
  // leaves the outcome in doubt; work that may run once gets a fresh one.
  std::unique_ptr<Connection> connection =
      Borrow(command.worker, /*fresh=*/!command.idempotent);
  if (connection == nullptr) {
    counters_->Add("worker_connections_short");
    return {.status = DispatchStatus::kRefused};
  }
  const TimePoint start = clock.Now();
  if (start > command.send_before) {
    Return(command.worker, std::move(connection), true);
    return {.status = DispatchStatus::kNotSent};
  }
  const Millis patience =
      std::max(command.answer_before - start, Millis(1)) + kAnswerMargin;
  connection->client.set_read_timeout(patience);
  connection->client.set_write_timeout(patience);
  const httplib::Headers headers{{"X-Holder", holder_},
                                 {"X-Team", command.team},
                                 {"X-Attempt", std::to_string(command.attempt)},
                                 {"traceparent", traceparent}};
  httplib::Result result = connection->client.Post(
      "/run/" + command.request_id, headers, body, "application/octet-stream");
  const Millis service = clock.Now() - start;
  Return(command.worker, std::move(connection),
         static_cast<bool>(result) && command.idempotent);
  if (!result) {
    const bool unreached = result.error() == httplib::Error::Connection ||
                           result.error() == httplib::Error::ConnectionTimeout;
    return {.status = unreached ? DispatchStatus::kUnreachable
                                : DispatchStatus::kLost,
            .service = service};
  }
  if (result->has_header(kNotRunHeader)) {
    return {.status = DispatchStatus::kRefused, .service = service};
  }
  if (!IsOwnAnswer(*result, command)) {
    counters_->Add("answers_crossed_or_partial");
    return {.status = DispatchStatus::kLost, .service = service};
  }
  return {.status = result->status >= kFirstFailureStatus
                        ? DispatchStatus::kFailed
                        : DispatchStatus::kAnswered,
          .http_status = result->status,
          .body = std::move(result->body),
          .service = service};
}

RunState WorkerClient::CheckRun(const WorkerInfo& worker,
                                const std::string& request_id, int attempt) {
  httplib::Client client(worker.address, worker.port);
  client.set_connection_timeout(kCheckTimeout);
  client.set_read_timeout(kCheckTimeout);
  const httplib::Params params{{"request", request_id},
                               {"attempt", std::to_string(attempt)}};
  const httplib::Result result = client.Post("/bar/run", params);
  if (!result || result->status != 200) return RunState::kNoAnswer;
  return result->body == "0" ? RunState::kNotRunning : RunState::kRunning;
}

DispatchStatus WorkerClient::StartTask(const DispatchCommand& command,
                                       const std::string& body, Millis lease) {
  httplib::Client client(command.worker.address, command.worker.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kCheckTimeout);
  const httplib::Headers headers{
      {"X-Holder", holder_},
      {"X-Team", command.team},
      {"X-Attempt", std::to_string(command.attempt)},
      {"X-Lease-Millis", std::to_string(lease.count())}};
  const httplib::Result result =
      client.Post("/task/start/" + command.request_id, headers, body,
                  "application/octet-stream");
  if (!result) {
    const bool unreached = result.error() == httplib::Error::Connection ||
                           result.error() == httplib::Error::ConnectionTimeout;
    return unreached ? DispatchStatus::kUnreachable : DispatchStatus::kLost;
  }
  return result->status == kStartedStatus ? DispatchStatus::kAnswered
                                          : DispatchStatus::kRefused;
}

TaskRunReport WorkerClient::RenewTask(const WorkerInfo& worker,
                                      const std::string& request_id,
                                      Millis lease) {
  return CallTask(worker, "/task/renew/" + request_id,
                  {{"X-Lease-Millis", std::to_string(lease.count())}});
}

TaskRunReport WorkerClient::StopTask(const WorkerInfo& worker,
                                     const std::string& request_id) {
  return CallTask(worker, "/task/stop/" + request_id, {});
}

int WorkerClient::Drain(const WorkerInfo& worker, std::int64_t fence) {
  httplib::Client client(worker.address, worker.port);
  client.set_connection_timeout(kCheckTimeout);
  client.set_read_timeout(kCheckTimeout);
  return CountOf(
      client.Post("/drain", httplib::Params{{"fence", std::to_string(fence)}}));
}

bool WorkerClient::Admit(const WorkerInfo& worker, std::int64_t fence) {
  httplib::Client client(worker.address, worker.port);
  client.set_connection_timeout(kCheckTimeout);
  client.set_read_timeout(kCheckTimeout);
  const httplib::Result result =
      client.Post("/admit", httplib::Params{{"fence", std::to_string(fence)}});
  return result && result->status == kStartedStatus;
}

int WorkerClient::BarHolder(const WorkerInfo& worker,
                            const std::string& holder) {
  httplib::Client client(worker.address, worker.port);
  client.set_connection_timeout(kCheckTimeout);
  client.set_read_timeout(kCheckTimeout);
  const httplib::Params params{{"holder", holder}};
  return CountOf(client.Post("/bar/holder", params));
}

}  // namespace basilusher
