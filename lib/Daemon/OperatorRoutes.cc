// Publication, keys and status for operators.
#include "OperatorRoutes.h"

#include <future>
#include <utility>

#include "Explain.h"
#include "basilusher/Support/Digest.h"

namespace basilusher {
namespace {

constexpr int kKeyIdDigits = 12;
constexpr int kKeySecretDigits = 40;
constexpr int kStatusUnauthorised = 401;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnprocessable = 422;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusNotFound = 404;

void WriteJson(const Json& json, httplib::Response* response) {
  response->set_content(
      json.dump(-1, ' ', false, Json::error_handler_t::replace),
      "application/json");
}

void WriteError(int status, ResultCode code, const std::string& text,
                httplib::Response* response) {
  response->status = status;
  WriteJson({{"code", static_cast<int>(code)},
             {"name", ResultCodeName(code)},
             {"text", text}},
            response);
}

bool IsOperator(const EntryServices& services, const httplib::Request& request,
                httplib::Response* response) {
  const std::string hash =
      KeyHash(request.get_header_value("X-Operator-Token"));
  if (EqualInConstantTime(hash, services.settings.operator_token_hash)) {
    return true;
  }
  WriteError(kStatusUnauthorised, ResultCode::kOperatorTokenWrong,
             "X-Operator-Token: not the operators' token", response);
  return false;
}

Json HeartbeatJson(const Heartbeat& heartbeat, Millis age) {
  return {{"instance", heartbeat.info.instance},
          {"incarnation", heartbeat.info.incarnation},
          {"dataCentre", heartbeat.info.data_centre},
          {"intentVersion", heartbeat.intent_version},
          {"keysDigest", heartbeat.keys_digest},
          {"storeAgeMillis", heartbeat.store_age_ms},
          {"heardMillisAgo", age.count()},
          {"stopping", heartbeat.shutting_down}};
}

void ServeStatus(EntryServices* services, httplib::Response* response) {
  const ViewPtr view = services->views.Current();
  const Json peers = services->Ask<MembershipAgent, Json>(
      ComponentKind::kMembership, [](MembershipAgent* agent) {
        Json rows = Json::array();
        for (const auto& row : agent->LastHeartbeats()) {
          rows.push_back(HeartbeatJson(row.second.first, row.second.second));
        }
        return rows;
      });
  const Millis fresh = view->fresh_until - services->clock.Now();
  WriteJson({{"instance", services->self.instance},
             {"incarnation", services->self.incarnation},
             {"intentVersion", view->intent ? view->intent->version : 0},
             {"heardVersion", view->heard_version},
             {"keysDigest", view->keys->Digest()},
             {"isolated", fresh < Millis(0)},
             {"stopping", services->stopping.load()},
             {"entries", view->entries.size()},
             {"workers", view->workers.size()},
             {"peers", peers}},
            response);
}

void ServeGetIntent(EntryServices* services, httplib::Response* response) {
  const ViewPtr view = services->views.Current();
  const Json document = services->Ask<ConfigAgent, Json>(
      ComponentKind::kConfig,
      [](ConfigAgent* agent) { return agent->Document(); });
  WriteJson({{"version", view->intent ? view->intent->version : 0},
             {"document", document}},
            response);
}

PublishResult Publish(EntryServices* services, const Json& document,
                      std::int64_t base) {
  const std::shared_ptr<std::promise<PublishResult>> promise =
      std::make_shared<std::promise<PublishResult>>();
  std::future<PublishResult> future = promise->get_future();
  services->directory.Run(
      ComponentKind::kConfig, [promise, document, base](Component* component) {
        static_cast<ConfigAgent*>(component)->Publish(
            document, base, [promise](const PublishResult& result) {
              promise->set_value(result);
            });
      });
  return future.get();
}

int StatusOfPublish(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kIntentStale:
      return kStatusConflict;
    case ResultCode::kIntentInvalid:
      return kStatusUnprocessable;
    default:
      return kStatusUnavailable;
  }
}

void ServePublish(EntryServices* services, const httplib::Request& request,
                  httplib::Response* response) {
  Json document;
  std::int64_t base = 0;
  try {
    document = ParseJson(request.body, "body", ResultCode::kIntentInvalid);
    base = std::stoll(request.get_param_value("base"));
  } catch (const std::exception& error) {
    WriteError(kStatusUnprocessable, ResultCode::kIntentInvalid, error.what(),
               response);
    return;
  }
  const PublishResult result = Publish(services, document, base);
  response->status = StatusOfPublish(result.code);
  WriteJson({{"code", static_cast<int>(result.code)},
             {"name", ResultCodeName(result.code)},
             {"version", result.version},
             {"current", result.current},
             {"text", result.text}},
            response);
}

KeyChangeResult ChangeKeys(
    EntryServices* services,
    std::function<void(ConfigAgent*,
                       std::function<void(const KeyChangeResult&)>)>
        change) {
  const std::shared_ptr<std::promise<KeyChangeResult>> promise =
      std::make_shared<std::promise<KeyChangeResult>>();
  std::future<KeyChangeResult> future = promise->get_future();
  services->directory.Run(ComponentKind::kConfig,
                          [promise, change](Component* component) {
                            change(static_cast<ConfigAgent*>(component),
                                   [promise](const KeyChangeResult& result) {
                                     promise->set_value(result);
                                   });
                          });
  return future.get();
}

void ServeGiveKey(EntryServices* services, const httplib::Request& request,
                  httplib::Response* response) {
  const std::string team = request.get_param_value("team");
  const ViewPtr view = services->views.Current();
  if (view->intent == nullptr || !view->intent->teams.contains(team)) {
    WriteError(kStatusNotFound, ResultCode::kWrongTeam,
               "team: found \"" + team +
                   "\"; expected: a team of the published intent",
               response);
    return;
  }
  const std::string id = RandomHex(&services->random, kKeyIdDigits);
  const std::string key =
      id + "." + RandomHex(&services->random, kKeySecretDigits);
  const KeyRecord record{.team = team, .hash = KeyHash(key)};
  const KeyChangeResult result = ChangeKeys(
      services, [id, record](ConfigAgent* agent,
                             std::function<void(const KeyChangeResult&)> done) {
        agent->AddKey(id, record, std::move(done));
      });
  response->status = result.stored ? 200 : kStatusUnavailable;
  Json json = {{"code", static_cast<int>(result.code)},
               {"id", id},
               {"team", team},
               {"stored", result.stored},
               {"text", result.text}};
  if (result.stored) json["key"] = key;
  WriteJson(json, response);
}

void ServeWithdrawKey(EntryServices* services, const httplib::Request& request,
                      httplib::Response* response) {
  const std::string id = request.matches[1];
  const KeyChangeResult result = ChangeKeys(
      services, [id](ConfigAgent* agent,
                     std::function<void(const KeyChangeResult&)> done) {
        agent->WithdrawKey(id, std::move(done));
      });
  WriteJson({{"code", static_cast<int>(result.code)},
             {"id", id},
             {"stored", result.stored},
             {"text", result.text},
             {"keysDigest", services->views.Current()->keys->Digest()}},
            response);
}

void ServeListKeys(EntryServices* services, httplib::Response* response) {
  Json rows = Json::array();
  for (const auto& row : services->views.Current()->keys->Records()) {
    rows.push_back({{"id", row.first},
                    {"team", row.second.team},
                    {"withdrawn", row.second.withdrawn}});
  }
  WriteJson({{"keys", rows}}, response);
}

void ServeExplain(EntryServices* services, const httplib::Request& request,
                  httplib::Response* response) {
  const std::string name = request.get_param_value("name");
  const std::vector<std::string> lines = Explain(services, name);
  if (lines.empty()) {
    WriteError(kStatusNotFound, ResultCode::kUnknownQueue,
               "name: found \"" + name +
                   "\"; expected: a queue, team, pool, worker or entry",
               response);
    return;
  }
  WriteJson({{"entry", services->self.instance}, {"lines", lines}}, response);
}

}  // namespace

void AddOperatorRoutes(httplib::Server* server, EntryServices* services) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server->Get("/operator/status",
              [services](const Request& request, Response& response) {
                if (!IsOperator(*services, request, &response)) return;
                ServeStatus(services, &response);
              });
  server->Get("/operator/intent",
              [services](const Request& request, Response& response) {
                if (!IsOperator(*services, request, &response)) return;
                ServeGetIntent(services, &response);
              });
  server->Post("/operator/intent",
               [services](const Request& request, Response& response) {
                 if (!IsOperator(*services, request, &response)) return;
                 ServePublish(services, request, &response);
               });
  server->Get("/operator/explain",
              [services](const Request& request, Response& response) {
                if (!IsOperator(*services, request, &response)) return;
                ServeExplain(services, request, &response);
              });
  server->Post("/operator/keys",
               [services](const Request& request, Response& response) {
                 if (!IsOperator(*services, request, &response)) return;
                 ServeGiveKey(services, request, &response);
               });
  server->Get("/operator/keys",
              [services](const Request& request, Response& response) {
                if (!IsOperator(*services, request, &response)) return;
                ServeListKeys(services, &response);
              });
  server->Delete(R"(/operator/keys/([0-9a-f]+))",
                 [services](const Request& request, Response& response) {
                   if (!IsOperator(*services, request, &response)) return;
                   ServeWithdrawKey(services, request, &response);
                 });
}

}  // namespace basilusher
