// HTTP calls to the platform, and what their failures mean.
#include "basilusher/Store/HttpStore.h"

#include <httplib.h>

#include <utility>

#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

constexpr Millis kWatchMargin{1000};

StoreEntry EntryOf(const Json& json) {
  return {.key = json.at("key").get<std::string>(),
          .value = json.at("value").get<std::string>(),
          .version = json.at("version").get<std::int64_t>()};
}

StoreStatus StatusOfFailure(httplib::Error error, bool is_write) {
  // Before the connection stood nothing can have taken effect.
  if (!is_write || error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout) {
    return StoreStatus::kUnavailable;
  }
  return StoreStatus::kAnswerLost;
}

StoreReply ReplyOf(const httplib::Result& result, bool is_write) {
  StoreReply reply;
  if (!result) {
    reply.status = StatusOfFailure(result.error(), is_write);
    return reply;
  }
  switch (result->status) {
    case 200:
      reply.status = StoreStatus::kOk;
      break;
    case 404:
      reply.status = StoreStatus::kNotFound;
      return reply;
    case 409:
      reply.status = StoreStatus::kConflict;
      break;
    default:
      reply.status = StoreStatus::kUnavailable;
      return reply;
  }
  try {
    const Json json = Json::parse(result->body);
    reply.version = json.value("version", std::int64_t{0});
    for (const Json& entry : json.value("entries", Json::array())) {
      reply.entries.push_back(EntryOf(entry));
    }
  } catch (const Json::exception&) {
    reply.status =
        is_write ? StoreStatus::kAnswerLost : StoreStatus::kUnavailable;
  }
  return reply;
}

}  // namespace

/// Hides the HTTP library from the header.
class HttpStore::Connection {
 public:
  explicit Connection(const HttpStoreOptions& options)
      : timeout(options.timeout), client(options.address, options.port) {
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(options.timeout);
    SetReadTimeout(options.timeout);
    client.set_write_timeout(options.timeout);
  }

  void SetReadTimeout(Millis value) { client.set_read_timeout(value); }

  Millis timeout;
  httplib::Client client;
};

HttpStore::HttpStore(const HttpStoreOptions& options)
    : connection_(std::make_unique<Connection>(options)) {}

HttpStore::~HttpStore() = default;

StoreReply HttpStore::Get(const std::string& key) {
  const httplib::Params params{{"key", key}};
  return ReplyOf(connection_->client.Get("/kv/get", params, httplib::Headers()),
                 false);
}

StoreReply HttpStore::List(const std::string& prefix) {
  const httplib::Params params{{"prefix", prefix}};
  return ReplyOf(
      connection_->client.Get("/kv/list", params, httplib::Headers()), false);
}

StoreReply HttpStore::Swap(const SwapRequest& request) {
  const Json body = {{"key", request.key},
                     {"version", request.expected_version},
                     {"value", request.value},
                     {"lease", request.lease},
                     {"erase", request.erase}};
  return ReplyOf(
      connection_->client.Post("/kv/swap", body.dump(), "application/json"),
      true);
}

StoreReply HttpStore::KeepLease(const std::string& id, Millis ttl) {
  const Json body = {{"id", id}, {"ttlMillis", ttl.count()}};
  return ReplyOf(
      connection_->client.Post("/lease/keep", body.dump(), "application/json"),
      true);
}

StoreReply HttpStore::EndLease(const std::string& id) {
  const Json body = {{"id", id}};
  return ReplyOf(
      connection_->client.Post("/lease/end", body.dump(), "application/json"),
      true);
}

WatchReply HttpStore::Watch(const std::vector<std::string>& prefixes,
                            std::int64_t revision, Millis wait) {
  const Json body = {{"prefixes", prefixes},
                     {"revision", revision},
                     {"waitMillis", wait.count()}};
  connection_->SetReadTimeout(wait + kWatchMargin);
  const StoreReply reply = ReplyOf(
      connection_->client.Post("/kv/watch", body.dump(), "application/json"),
      false);
  return {.status = reply.status,
          .revision = reply.version,
          .entries = reply.entries};
}

bool HttpStore::ReleaseInstance(const std::string& id,
                                std::int64_t maintained) {
  const Json body = {{"id", id}, {"maintained", maintained}};
  const httplib::Result result = connection_->client.Post(
      "/instances/release", body.dump(), "application/json");
  return result && result->status == 200;
}

InstanceLists HttpStore::ListInstances() {
  InstanceLists lists;
  const httplib::Result result = connection_->client.Get("/instances");
  if (!result || result->status != 200) return lists;
  try {
    const Json json = Json::parse(result->body);
    for (const Json& worker : json.at("workers")) {
      WorkerInfo info = worker.get<WorkerInfo>();
      lists.workers[info.id] = std::move(info);
    }
    lists.entries = json.at("entries").get<std::vector<EntryInfo>>();
    lists.status = StoreStatus::kOk;
  } catch (const Json::exception&) {
    lists.status = StoreStatus::kUnavailable;
  }
  return lists;
}

}  // namespace basilusher
