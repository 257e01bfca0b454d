// The operators' client.
#include <popt.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "basilusher/Client/OperatorCommands.h"
#include "basilusher/Support/Error.h"
#include "basilusher/Support/Json.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;

struct RawArguments {
  const char* entries = nullptr;
  const char* token_file = nullptr;
  const char* id = nullptr;
  int json = 0;
  int version = 0;
  int wait_seconds = 10;
  /// Type that the command-line library writes to.
  long long base = -1;  // NOLINT(google-runtime-int)
};

std::string FromEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

std::string ReadToken(const char* file) {
  if (file == nullptr) return FromEnvironment("BASILUSHER_TOKEN");
  std::string token = basilusher::ReadFile(file);
  while (!token.empty() && token.back() == '\n') token.pop_back();
  return token;
}

int RunParsed(const RawArguments& raw,
              const std::vector<std::string>& arguments) {
  basilusher::CommandOptions options;
  options.entries = raw.entries == nullptr ? FromEnvironment("BASILUSHER_ENTRY")
                                           : raw.entries;
  options.json = raw.json != 0;
  options.base = raw.base;
  options.wait_seconds = raw.wait_seconds;
  options.id = raw.id == nullptr ? "" : raw.id;
  try {
    options.token = ReadToken(raw.token_file);
  } catch (const basilusher::Error& error) {
    std::fprintf(stderr, "basilusherctl: error %d: --token-file: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return kExitUsage;
  }
  return basilusher::RunCommand(arguments, options);
}

}  // namespace

int main(int argc, const char** argv) {
  RawArguments raw;
  const poptOption options[] = {
      {"entry", 'e', POPT_ARG_STRING, &raw.entries, 0,
       "Entries to call (or BASILUSHER_ENTRY)", "IP:PORT,..."},
      {"token-file", 't', POPT_ARG_STRING, &raw.token_file, 0,
       "File with the operators' token (or BASILUSHER_TOKEN)", "FILE"},
      {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "Print JSON", nullptr},
      {"base", 'b', POPT_ARG_LONGLONG, &raw.base, 0,
       "Version that a publication builds on", "VERSION"},
      {"wait", 'w', POPT_ARG_INT, &raw.wait_seconds, 0,
       "Seconds to wait until a change is in force", "SECONDS"},
      {"id", 0, POPT_ARG_STRING, &raw.id, 0, "Trace or request to show", "ID"},
      {"version", 'V', POPT_ARG_NONE, &raw.version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  signal(SIGPIPE, SIG_IGN);
  const poptContext context =
      poptGetContext("basilusherctl", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, basilusher::kCommandHelp);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::fprintf(stderr, "basilusherctl: %s: %s; see --help\n",
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(result));
    poptFreeContext(context);
    return kExitUsage;
  }
  std::vector<std::string> arguments;
  for (const char* text = poptGetArg(context); text != nullptr;
       text = poptGetArg(context)) {
    arguments.emplace_back(text);
  }
  int exit = kExitOk;
  if (raw.version != 0) {
    std::printf("basilusherctl %s\n", BASILUSHER_VERSION);
  } else {
    exit = RunParsed(raw, arguments);
  }
  poptFreeContext(context);
  return exit;
}
