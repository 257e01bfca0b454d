// Tasks over HTTP.
#include "TaskRoutes.h"

#include <algorithm>

#include "HttpFrontend.h"
#include "basilusher/Support/Digest.h"

namespace basilusher {
namespace {

constexpr int kTaskIdDigits = 24;
constexpr int kAcceptedStatus = 202;

/// The team of the request's key; throws the numbered error of a bad key.
std::string TeamOf(const EntryServices& services,
                   const httplib::Request& request) {
  const std::string key = request.get_header_value("X-Team-Key");
  if (key.empty()) {
    throw Error(ResultCode::kKeyMissing,
                "X-Team-Key: found nothing; expected: a team's key");
  }
  const ViewPtr view = services.views.Current();
  if (services.clock.Now() > view->fresh_until) {
    throw Error(ResultCode::kIsolated,
                "this entry is cut off and can't check keys");
  }
  const KeyLookup lookup = view->keys->Find(key);
  if (lookup.state == KeyState::kWithdrawn) {
    throw Error(ResultCode::kKeyWithdrawn, "the key has been withdrawn");
  }
  if (lookup.state == KeyState::kUnknown) {
    throw Error(ResultCode::kKeyUnknown, "the key is not known");
  }
  return lookup.team;
}

QueueIntent QueueOf(const EntryServices& services, const std::string& name,
                    const std::string& team) {
  const ViewPtr view = services.views.Current();
  if (view->intent == nullptr) {
    throw Error(ResultCode::kNoIntent, "no intent is known yet");
  }
  const auto queue = view->intent->queues.find(name);
  if (queue == view->intent->queues.end()) {
    throw Error(ResultCode::kUnknownQueue,
                "queue: found \"" + name +
                    "\"; expected: a queue of the published intent");
  }
  const std::vector<std::string>& teams = queue->second.teams;
  if (!queue->second.open &&
      std::find(teams.begin(), teams.end(), team) == teams.end()) {
    throw Error(ResultCode::kWrongTeam,
                "queue " + name + " is not open to team " + team);
  }
  return queue->second;
}

void WriteTaskError(ResultCode code, const std::string& text,
                    httplib::Response* response) {
  response->status = HttpStatusOf(Refuse(code, text));
  response->set_content(
      Json{{"code", static_cast<int>(code)},
           {"name", ResultCodeName(code)},
           {"text", text}}
          .dump(-1, ' ', false, Json::error_handler_t::replace),
      "application/json");
}

void WriteTaskAnswer(const TaskAnswer& answer, int status,
                     httplib::Response* response) {
  const ResultCode code = static_cast<ResultCode>(answer.code);
  if (code != ResultCode::kOk) {
    WriteTaskError(code, std::string(ResultCodeName(code)), response);
    return;
  }
  response->status = status;
  response->set_content(
      answer.state.dump(-1, ' ', false, Json::error_handler_t::replace),
      "application/json");
}

TaskAsk SubmitAsk(EntryServices* services, const httplib::Request& request) {
  const std::string team = TeamOf(*services, request);
  const QueueIntent queue = QueueOf(*services, request.matches[1], team);
  if (services->stopping) {
    throw Error(ResultCode::kShuttingDown, "this entry is stopping");
  }
  const std::size_t most = std::min(queue.max_body_bytes, kMaxTaskBodyBytes);
  if (request.body.size() > most) {
    throw Error(ResultCode::kBodyTooLarge,
                "body: found " + std::to_string(request.body.size()) +
                    " bytes; expected: at most " + std::to_string(most));
  }
  const std::string key = request.get_header_value("Idempotency-Key");
  // The same key names the same task, whichever entry it reaches.
  const std::string id =
      key.empty() ? RandomHex(&services->random, kTaskIdDigits)
                  : DigestOf(team + "/" + key).substr(0, kTaskIdDigits);
  return {.operation = TaskOperation::kSubmit,
          .task_id = id,
          .team = team,
          .key = key,
          .queue = queue.name,
          .body = request.body,
          .idempotent = queue.idempotent};
}

}  // namespace

void AddTaskRoutes(httplib::Server* server, EntryServices* services) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server->Post(R"(/v1/queues/([^/]+)/tasks)", [services](const Request& request,
                                                         Response& response) {
    try {
      WriteTaskAnswer(services->tasks->Call(SubmitAsk(services, request)),
                      kAcceptedStatus, &response);
    } catch (const Error& error) {
      WriteTaskError(error.Code(), error.what(), &response);
    }
  });
  const auto call = [services](TaskOperation operation, const Request& request,
                               Response* response) {
    try {
      WriteTaskAnswer(
          services->tasks->Call({.operation = operation,
                                 .task_id = request.matches[1],
                                 .team = TeamOf(*services, request)}),
          200, response);
    } catch (const Error& error) {
      WriteTaskError(error.Code(), error.what(), response);
    }
  };
  server->Get(R"(/v1/tasks/([0-9a-f]+))",
              [call](const Request& request, Response& response) {
                call(TaskOperation::kQuery, request, &response);
              });
  server->Delete(R"(/v1/tasks/([0-9a-f]+))",
                 [call](const Request& request, Response& response) {
                   call(TaskOperation::kCancel, request, &response);
                 });
}

}  // namespace basilusher
