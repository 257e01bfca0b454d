// Commands of operators: files, keys and views.
#include "basilusher/Client/OperatorCommands.h"

#include <cstdio>
#include <functional>
#include <map>
#include <thread>

#include "TraceTree.h"
#include "basilusher/Client/OperatorClient.h"
#include "basilusher/Model/IntentFiles.h"
#include "basilusher/Support/Digest.h"

namespace basilusher {

const char* const kCommandHelp =
    "COMMAND [ARGUMENTS]\n\n"
    "Commands:\n"
    "  check DIR              check intent files; no entry is needed\n"
    "  publish DIR            publish intent files and wait until they are in "
    "force\n"
    "  keys give TEAM         make a key for a team and print it once\n"
    "  keys withdraw ID       withdraw a key\n"
    "  keys list              list keys by id\n"
    "  status                 show every entry\n"
    "  explain NAME           say why a queue, team or instance fares as it "
    "does\n"
    "  trace FILES... --id ID show a request's hops from log files\n"
    "  hash                   print the hash of the token read from standard "
    "input\n";

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitInvalid = 3;
constexpr int kExitRefused = 4;
constexpr int kExitUnreachable = 5;
constexpr int kExitNotInForce = 6;
constexpr int kStatusOk = 200;
constexpr Millis kPollPeriod{200};

using Arguments = std::vector<std::string>;

OperatorClient MakeClient(const CommandOptions& options) {
  if (options.entries.empty()) {
    throw Error(ResultCode::kUsage,
                "--entry IP:PORT is needed, or BASILUSHER_ENTRY");
  }
  return OperatorClient({.entries = ParseEntryAddresses(options.entries),
                         .token = options.token});
}

void PrintJson(const Json& json) {
  std::printf("%s\n",
              json.dump(2, ' ', false, Json::error_handler_t::replace).c_str());
}

/// Prints an entry's refusal; returns the exit code.
int ReportRefusal(const OperatorReply& reply) {
  std::fprintf(stderr, "basilusherctl: error %d: %s\n",
               reply.body.value("code", 0),
               reply.body.value("text", std::string("no text")).c_str());
  return kExitRefused;
}

CollectedIntent CollectChecked(const std::string& directory) {
  CollectedIntent collected = CollectIntent(directory);
  for (const std::string& error : collected.errors) {
    std::fprintf(stderr, "error %d: %s\n",
                 static_cast<int>(ResultCode::kIntentInvalid), error.c_str());
  }
  return collected;
}

int RunCheck(const Arguments& arguments, const CommandOptions& options) {
  const CollectedIntent collected = CollectChecked(arguments[1]);
  if (options.json) PrintJson({{"errors", collected.errors}});
  if (!collected.errors.empty()) return kExitInvalid;
  if (!options.json) {
    std::printf("%s: %zu services, %zu teams, no errors\n",
                arguments[1].c_str(), collected.document.at("services").size(),
                collected.document.at("teams").size());
  }
  return kExitOk;
}

/// Waits until `in_force` holds for the status of every entry; prints a line
/// for each. Returns the exit code.
int AwaitInForce(OperatorClient* client, const CommandOptions& options,
                 const std::function<bool(const Json&)>& in_force) {
  const SteadyClock clock;
  const TimePoint until =
      clock.Now() + std::chrono::seconds(options.wait_seconds);
  while (true) {
    const std::vector<Json> statuses = client->CallAll("/operator/status");
    bool all = true;
    for (const Json& status : statuses) all = all && in_force(status);
    if (!all && clock.Now() < until) {
      std::this_thread::sleep_for(kPollPeriod);
      continue;
    }
    for (const Json& status : statuses) {
      if (options.json) break;
      std::printf("  %-22s %s\n", status.at("entry").get<std::string>().c_str(),
                  in_force(status) ? "in force" : "NOT in force");
    }
    return all ? kExitOk : kExitNotInForce;
  }
}

void ReportStale(const Json& reply, const Json& document) {
  if (!reply.at("current").is_object()) return;
  std::fprintf(stderr, "what the published version has otherwise:\n");
  for (const std::string& line :
       DescribeDifference(document, reply.at("current"))) {
    std::fprintf(stderr, "  %s\n", line.c_str());
  }
}

int RunPublish(const Arguments& arguments, const CommandOptions& options) {
  const CollectedIntent collected = CollectChecked(arguments[1]);
  if (!collected.errors.empty()) return kExitInvalid;
  OperatorClient client = MakeClient(options);
  std::int64_t base = options.base;
  if (base < 0) {
    const OperatorReply current = client.Call("GET", "/operator/intent");
    if (current.status != kStatusOk) return ReportRefusal(current);
    base = current.body.at("version").get<std::int64_t>();
  }
  const OperatorReply reply =
      client.Call("POST", "/operator/intent?base=" + std::to_string(base),
                  collected.document.dump());
  if (reply.status != kStatusOk) {
    if (reply.body.contains("current")) {
      ReportStale(reply.body, collected.document);
    }
    return ReportRefusal(reply);
  }
  const std::int64_t version = reply.body.at("version").get<std::int64_t>();
  if (!options.json) {
    std::printf("version %s is accepted\n", std::to_string(version).c_str());
  }
  const int exit =
      AwaitInForce(&client, options, [version](const Json& status) {
        return status.value("intentVersion", std::int64_t{0}) >= version;
      });
  if (options.json) {
    PrintJson({{"version", version}, {"inForceEverywhere", exit == kExitOk}});
  }
  return exit;
}

int RunGiveKey(const Arguments& arguments, const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const OperatorReply reply =
      client.Call("POST", "/operator/keys?team=" + arguments[2]);
  if (reply.status != kStatusOk) return ReportRefusal(reply);
  if (options.json) {
    PrintJson(reply.body);
  } else {
    std::printf("team %s\nid   %s\nkey  %s\nThe key is not shown again.\n",
                arguments[2].c_str(),
                reply.body.at("id").get<std::string>().c_str(),
                reply.body.at("key").get<std::string>().c_str());
  }
  return kExitOk;
}

int RunWithdrawKey(const Arguments& arguments, const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const OperatorReply reply =
      client.Call("DELETE", "/operator/keys/" + arguments[2]);
  if (reply.status != kStatusOk) return ReportRefusal(reply);
  const std::string digest = reply.body.at("keysDigest").get<std::string>();
  if (!options.json) {
    std::printf("key %s is withdrawn; %s\n", arguments[2].c_str(),
                reply.body.at("text").get<std::string>().c_str());
  }
  const int exit =
      AwaitInForce(&client, options, [&digest](const Json& status) {
        return status.value("keysDigest", std::string()) == digest;
      });
  if (options.json) {
    PrintJson({{"id", arguments[2]},
               {"stored", reply.body.at("stored")},
               {"inForceEverywhere", exit == kExitOk}});
  }
  return exit;
}

int RunListKeys(const Arguments& /*arguments*/, const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const OperatorReply reply = client.Call("GET", "/operator/keys");
  if (reply.status != kStatusOk) return ReportRefusal(reply);
  if (options.json) {
    PrintJson(reply.body);
    return kExitOk;
  }
  std::printf("%-14s %-24s %s\n", "ID", "TEAM", "STATE");
  for (const Json& key : reply.body.at("keys")) {
    std::printf("%-14s %-24s %s\n", key.at("id").get<std::string>().c_str(),
                key.at("team").get<std::string>().c_str(),
                key.at("withdrawn").get<bool>() ? "withdrawn" : "valid");
  }
  return kExitOk;
}

int RunStatus(const Arguments& /*arguments*/, const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const std::vector<Json> statuses = client.CallAll("/operator/status");
  if (options.json) {
    PrintJson(statuses);
    return kExitOk;
  }
  std::printf("%-22s %-12s %8s %8s %8s %9s %s\n", "ENTRY", "INSTANCE", "INTENT",
              "ENTRIES", "WORKERS", "ISOLATED", "STOPPING");
  int exit = kExitOk;
  for (const Json& status : statuses) {
    if (!status.contains("instance")) {
      std::printf("%-22s %s\n", status.at("entry").get<std::string>().c_str(),
                  status.value("text", std::string("no answer")).c_str());
      exit = kExitUnreachable;
      continue;
    }
    std::printf("%-22s %-12s %8s %8s %8s %9s %s\n",
                status.at("entry").get<std::string>().c_str(),
                status.at("instance").get<std::string>().c_str(),
                status.at("intentVersion").dump().c_str(),
                status.at("entries").dump().c_str(),
                status.at("workers").dump().c_str(),
                status.at("isolated").get<bool>() ? "yes" : "no",
                status.at("stopping").get<bool>() ? "yes" : "no");
  }
  return exit;
}

int RunExplain(const Arguments& arguments, const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const std::vector<Json> replies =
      client.CallAll("/operator/explain?name=" + arguments[1]);
  if (options.json) PrintJson(replies);
  int exit = kExitRefused;
  for (const Json& reply : replies) {
    const std::string entry = reply.at("entry").get<std::string>();
    if (!reply.contains("lines")) {
      std::fprintf(stderr, "%s: %s\n", entry.c_str(),
                   reply.value("text", std::string("no answer")).c_str());
      continue;
    }
    exit = kExitOk;
    if (options.json) continue;
    std::printf("%s:\n", entry.c_str());
    for (const Json& line : reply.at("lines")) {
      std::printf("  %s\n", line.get<std::string>().c_str());
    }
  }
  return exit;
}

int RunTrace(const Arguments& arguments, const CommandOptions& options) {
  if (options.id.empty()) {
    throw Error(ResultCode::kUsage, "trace: --id ID is needed");
  }
  const Arguments files(arguments.begin() + 1, arguments.end());
  const std::string tree = RenderTrace(files, options.id);
  if (tree.empty()) {
    std::fprintf(stderr, "basilusherctl: no span of %s in these files\n",
                 options.id.c_str());
    return kExitRefused;
  }
  std::printf("%s", tree.c_str());
  return kExitOk;
}

int RunHash(const Arguments& /*arguments*/, const CommandOptions& /*options*/) {
  constexpr int kMostTokenBytes = 4096;
  char buf[kMostTokenBytes];
  if (std::fgets(buf, kMostTokenBytes, stdin) == nullptr) {
    throw Error(ResultCode::kUsage, "hash: no token on standard input");
  }
  std::string token = buf;
  if (!token.empty() && token.back() == '\n') token.pop_back();
  std::printf("%s\n", KeyHash(token).c_str());
  return kExitOk;
}

struct CommandRow {
  std::string name;
  std::string second;
  std::size_t least_arguments;
  int (*run)(const Arguments&, const CommandOptions&);
};

const std::vector<CommandRow>& Commands() {
  static const std::vector<CommandRow> rows = {
      {"check", "", 2, RunCheck},       {"publish", "", 2, RunPublish},
      {"keys", "give", 3, RunGiveKey},  {"keys", "withdraw", 3, RunWithdrawKey},
      {"keys", "list", 2, RunListKeys}, {"status", "", 1, RunStatus},
      {"explain", "", 2, RunExplain},   {"trace", "", 2, RunTrace},
      {"hash", "", 1, RunHash},
  };
  return rows;
}

int ExitCodeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kUsage:
      return kExitUsage;
    case ResultCode::kTransportFailed:
      return kExitUnreachable;
    default:
      return kExitRefused;
  }
}

}  // namespace

int RunCommand(const Arguments& arguments, const CommandOptions& options) {
  try {
    for (const CommandRow& row : Commands()) {
      if (arguments.empty() || arguments[0] != row.name) continue;
      const bool second_fits =
          row.second.empty() ||
          (arguments.size() > 1 && arguments[1] == row.second);
      if (!second_fits || arguments.size() < row.least_arguments) continue;
      return row.run(arguments, options);
    }
    throw Error(ResultCode::kUsage,
                "no such command or too few arguments; see --help");
  } catch (const Error& error) {
    std::fprintf(stderr, "basilusherctl: error %d: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return ExitCodeOf(error.Code());
  }
}

}  // namespace basilusher
