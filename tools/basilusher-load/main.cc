// Sends a mixed load through entries, or straight to workers, and writes what
// the callers saw as JSON.
#include <popt.h>
#include <signal.h>

#include <cstdio>
#include <fstream>

#include "basilusher/Client/LoadGenerator.h"

int main(int argc, const char** argv) {
  const char* plan = nullptr;
  const char* output = nullptr;
  const poptOption options[] = {
      {"plan", 'p', POPT_ARG_STRING, &plan, 0,
       "JSON file: entries, parts, seconds, seed, direct", "FILE"},
      {"output", 'o', POPT_ARG_STRING, &output, 0,
       "File for the callers' records", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("basilusher-load", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1 || plan == nullptr || output == nullptr) {
    std::fprintf(stderr, "basilusher-load: --plan and --output are needed\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    const basilusher::Json json =
        basilusher::ParseJson(basilusher::ReadFile(plan), plan,
                              basilusher::ResultCode::kSettingsMalformed);
    basilusher::LoadOptions load;
    load.entries = basilusher::ParseEntryAddresses(json.at("entries"));
    load.parts = basilusher::ParseLoadParts(json.at("parts"));
    load.duration = basilusher::Millis(json.value("millis", 5000));
    load.seed = json.value("seed", 1);
    load.direct = json.value("direct", false);
    const std::vector<basilusher::LoadRecord> records =
        basilusher::RunLoad(load);
    std::ofstream(output) << basilusher::Json(records).dump();
    return 0;
  } catch (const basilusher::Error& error) {
    std::fprintf(stderr, "basilusher-load: error %d: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return 3;
  }
}
