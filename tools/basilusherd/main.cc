// The entry daemon.
#include <popt.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <thread>

#include "basilusher/Daemon/EntryDaemon.h"
#include "basilusher/Support/Log.h"
#include "basilusher/Support/StopSignals.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

struct Arguments {
  const char* config = nullptr;
  int check_config = 0;
  int version = 0;
};

int RunDaemon(const basilusher::Settings& settings) {
  const basilusher::StopSignals signals;
  basilusher::OpenLog(
      {.process = settings.instance, .file = settings.log_file});
  bool drained = false;
  {
    basilusher::EntryDaemon daemon(settings);
    daemon.Start();
    std::thread waiter([&signals, &daemon] {
      signals.Wait();
      daemon.RequestStop();
    });
    drained = daemon.Run();
    // A stop that no signal asked for: wakes the waiting thread.
    kill(getpid(), SIGTERM);
    waiter.join();
  }
  basilusher::CloseLog();
  return drained ? kExitOk : kExitFailed;
}

int ParseArguments(int argc, const char** argv, Arguments* arguments) {
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &arguments->config, 0,
       "Settings file in JSON", "FILE"},
      {"check-config", 0, POPT_ARG_NONE, &arguments->check_config, 0,
       "Check the settings file and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, &arguments->version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("basilusherd", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "--config FILE [--check-config]");
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::fprintf(stderr, "basilusherd: %s: %s; see --help\n",
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(result));
  }
  poptFreeContext(context);
  return result < -1 ? kExitUsage : kExitOk;
}

}  // namespace

int main(int argc, const char** argv) {
  Arguments arguments;
  const int usage = ParseArguments(argc, argv, &arguments);
  if (usage != kExitOk) return usage;
  if (arguments.version != 0) {
    std::printf("basilusherd %s\n", BASILUSHER_VERSION);
    return kExitOk;
  }
  if (arguments.config == nullptr) {
    std::fprintf(stderr, "basilusherd: --config FILE is needed; see --help\n");
    return kExitUsage;
  }
  try {
    const basilusher::Settings settings =
        basilusher::LoadSettings(arguments.config);
    if (arguments.check_config != 0) {
      std::printf("%s: settings are valid\n", arguments.config);
      return kExitOk;
    }
    return RunDaemon(settings);
  } catch (const basilusher::Error& error) {
    std::fprintf(stderr, "basilusherd: error %d: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return kExitSettings;
  }
}
