// HTTP calls of operators.
#include "basilusher/Client/OperatorClient.h"

#include <httplib.h>

#include <optional>

namespace basilusher {
namespace {

constexpr int kLargestPort = 65535;

EntryAddress ParseOne(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const std::string port =
      colon == std::string::npos ? "" : text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 &&
                      port.find_first_not_of("0123456789") == std::string::npos;
  if (!digits || std::stoi(port) > kLargestPort) {
    throw Error(ResultCode::kUsage, "--entry: found \"" + text +
                                        "\"; expected: IP:PORT, several "
                                        "separated by commas");
  }
  return {.address = text.substr(0, colon), .port = std::stoi(port)};
}

/// One call to one entry; nothing if its connection failed.
std::optional<OperatorReply> CallEntry(const EntryAddress& entry,
                                       const OperatorClientOptions& options,
                                       httplib::Request request) {
  httplib::Client client(entry.address, entry.port);
  client.set_connection_timeout(options.timeout);
  client.set_read_timeout(options.timeout);
  request.set_header("X-Operator-Token", options.token);
  const httplib::Result result = client.send(request);
  if (!result) {
    const bool unreached = result.error() == httplib::Error::Connection ||
                           result.error() == httplib::Error::ConnectionTimeout;
    if (unreached || request.method == "GET") return std::nullopt;
    throw Error(ResultCode::kStoreAnswerLost,
                "entry " + entry.address + ":" + std::to_string(entry.port) +
                    ": its answer was lost; the change may be in force, see "
                    "`basilusherctl status`");
  }
  OperatorReply reply{.status = result->status};
  try {
    reply.body = Json::parse(result->body);
  } catch (const Json::exception&) {
    reply.body = {{"text", result->body}};
  }
  return reply;
}

}  // namespace

std::vector<EntryAddress> ParseEntryAddresses(const std::string& text) {
  std::vector<EntryAddress> entries;
  std::size_t at = 0;
  while (at <= text.size()) {
    const std::size_t comma = std::min(text.find(',', at), text.size());
    entries.push_back(ParseOne(text.substr(at, comma - at)));
    at = comma + 1;
  }
  return entries;
}

OperatorReply OperatorClient::Call(const std::string& method,
                                   const std::string& path,
                                   const std::string& body) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.body = body;
  for (const EntryAddress& entry : options_.entries) {
    const std::optional<OperatorReply> reply =
        CallEntry(entry, options_, request);
    if (reply) return *reply;
  }
  throw Error(ResultCode::kTransportFailed,
              "no entry answers; check --entry and that the entries run");
}

std::vector<Json> OperatorClient::CallAll(const std::string& path) {
  std::vector<Json> replies;
  httplib::Request request;
  request.method = "GET";
  request.path = path;
  for (const EntryAddress& entry : options_.entries) {
    const std::optional<OperatorReply> reply =
        CallEntry(entry, options_, request);
    const std::string name = entry.address + ":" + std::to_string(entry.port);
    if (!reply) {
      replies.push_back({{"entry", name}, {"text", "does not answer"}});
      continue;
    }
    Json body = reply->body;
    body["entry"] = name;
    replies.push_back(std::move(body));
  }
  return replies;
}

}  // namespace basilusher
