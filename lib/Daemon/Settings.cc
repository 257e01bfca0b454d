// Schema and reading of the settings.
#include "basilusher/Daemon/Settings.h"

namespace basilusher {

const char* const kSettingsSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "dataCentre", "address", "httpPort", "peerPort",
               "store", "operatorTokenHash"],
  "properties": {
    "instance": {"type": "string", "pattern": "^[A-Za-z0-9_.-]+$"},
    "dataCentre": {"type": "string", "minLength": 1},
    "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
    "httpPort": {"type": "integer", "minimum": 0, "maximum": 65535},
    "peerPort": {"type": "integer", "minimum": 0, "maximum": 65535},
    "store": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "callsPerSecond": {"type": "number", "minimum": 10}
      }
    },
    "operatorTokenHash": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "httpThreads": {"type": "integer", "minimum": 4, "maximum": 1024},
    "memoryMb": {"type": "integer", "minimum": 64},
    "shutdownTimeoutMillis": {"type": "integer", "minimum": 0},
    "logFile": {"type": "string"},
    "seedPeers": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["instance", "address", "port"],
        "properties": {
          "instance": {"type": "string"},
          "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
          "port": {"type": "integer", "minimum": 1, "maximum": 65535}
        }
      }
    }
  }
})json";

Settings ParseSettings(const Json& json, const std::string& source) {
  std::string errors;
  for (const SchemaViolation& violation : CheckSchema(json, kSettingsSchema)) {
    if (!errors.empty()) errors += "\n";
    errors += DescribeViolation(source, violation);
  }
  if (!errors.empty()) throw Error(ResultCode::kSettingsInvalid, errors);
  Settings settings;
  settings.instance = json.at("instance").get<std::string>();
  settings.data_centre = json.at("dataCentre").get<std::string>();
  settings.address = json.at("address").get<std::string>();
  settings.http_port = json.at("httpPort").get<int>();
  settings.peer_port = json.at("peerPort").get<int>();
  const Json& store = json.at("store");
  settings.store_address = store.at("address").get<std::string>();
  settings.store_port = store.at("port").get<int>();
  settings.store_calls_per_second =
      store.value("callsPerSecond", settings.store_calls_per_second);
  settings.operator_token_hash =
      json.at("operatorTokenHash").get<std::string>();
  settings.http_threads = json.value("httpThreads", settings.http_threads);
  settings.memory_mb = json.value("memoryMb", settings.memory_mb);
  settings.shutdown_timeout =
      Millis(json.value("shutdownTimeoutMillis",
                        std::int64_t{settings.shutdown_timeout.count()}));
  settings.log_file = json.value("logFile", std::string());
  for (const Json& peer : json.value("seedPeers", Json::array())) {
    settings.seed_peers.push_back(
        {.instance = peer.at("instance").get<std::string>(),
         .address = peer.at("address").get<std::string>(),
         .port = peer.at("port").get<int>()});
  }
  return settings;
}

Settings LoadSettings(const std::string& path) {
  return ParseSettings(
      ParseJson(ReadFile(path), path, ResultCode::kSettingsMalformed), path);
}

}  // namespace basilusher
