// The node daemon: runs the fleet's work on the users' platform.
#include <popt.h>

#include <cstdio>
#include <memory>
#include <string>

#include "NodeProcess.h"
#include "basilusher/Support/Error.h"
#include "basilusher/Support/Log.h"

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

struct Arguments {
  char* settings = nullptr;
  int check = 0;
  int version = 0;
};

int ParseArguments(int argc, const char** argv, Arguments* arguments) {
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &arguments->settings, 0,
       "Settings file in JSON; by default the one that the platform names",
       "FILE"},
      {"check-settings", 0, POPT_ARG_NONE, &arguments->check, 0,
       "Check the settings file and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &arguments->version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("basilusher-node", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::fprintf(stderr, "basilusher-node: %s: %s; see --help\n",
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(result));
  }
  poptFreeContext(context);
  return result < -1 ? kExitUsage : 0;
}

}  // namespace

int main(int argc, const char** argv) {
  Arguments arguments;
  const int usage = ParseArguments(argc, argv, &arguments);
  if (usage != 0) return usage;
  if (arguments.version != 0) {
    std::printf("basilusher-node %s\n", BASILUSHER_VERSION);
    return 0;
  }
  const std::string path =
      arguments.settings != nullptr
          ? arguments.settings
          : basilusher::platform::SettingsPathFromEnvironment();
  if (path.empty()) {
    std::fprintf(stderr,
                 "basilusher-node: --settings FILE is needed; see --help\n");
    return kExitUsage;
  }
  try {
    const basilusher::platform::NodeSettings settings =
        basilusher::platform::LoadNodeSettings(path);
    if (arguments.check != 0) {
      std::printf("%s: settings are valid\n", path.c_str());
      return 0;
    }
    basilusher::OpenStdoutLog(settings.node);
    return basilusher::platform::RunNode(settings, path);
  } catch (const basilusher::Error& error) {
    std::fprintf(stderr, "basilusher-node: error %d: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return kExitSettings;
  }
}
