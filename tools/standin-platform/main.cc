// Stand-in of the platform, for tests and the demo.
#include <popt.h>

#include <cstdio>

#include "basilusher/Standin/Servers.h"
#include "basilusher/Support/StopSignals.h"

int main(int argc, const char** argv) {
  const char* instances = nullptr;
  const char* address = "127.0.0.1";
  int port = 0;
  int lag_ms = 0;
  const poptOption options[] = {
      {"instances", 'i', POPT_ARG_STRING, &instances, 0,
       "JSON file with the instances listed at first", "FILE"},
      {"address", 'a', POPT_ARG_STRING, &address, 0, "IP number to listen on",
       "IP"},
      {"port", 'p', POPT_ARG_INT, &port, 0, "Port; 0 for any free one", "PORT"},
      {"list-lag", 0, POPT_ARG_INT, &lag_ms, 0,
       "Lag of the list of instances in milliseconds", "MILLIS"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("standin-platform", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1) return 2;
  const basilusher::StopSignals signals;
  try {
    basilusher::PlatformOptions platform;
    platform.address = address;
    platform.port = port;
    platform.list_lag = basilusher::Millis(lag_ms);
    platform.instances = {{"workers", basilusher::Json::array()},
                          {"entries", basilusher::Json::array()}};
    if (instances != nullptr) {
      platform.instances =
          basilusher::ParseJson(basilusher::ReadFile(instances), instances,
                                basilusher::ResultCode::kSettingsMalformed);
    }
    basilusher::PlatformServer server(platform);
    std::printf("port %d\n", server.Start());
    std::fflush(stdout);
    signals.Wait();
    server.Stop();
    return 0;
  } catch (const basilusher::Error& error) {
    std::fprintf(stderr, "standin-platform: error %d: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return 3;
  }
}
