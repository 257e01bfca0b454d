// Stand-ins of workers, for tests and the demo: one process may serve several.
#include <popt.h>

#include <cstdio>
#include <memory>
#include <vector>

#include "basilusher/Standin/Servers.h"
#include "basilusher/Support/StopSignals.h"

int main(int argc, const char** argv) {
  const char* workers = nullptr;
  const poptOption options[] = {
      {"workers", 'w', POPT_ARG_STRING, &workers, 0,
       "JSON file with an array of workers to stand in for", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext context =
      poptGetContext("standin-worker", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (result < -1 || workers == nullptr) {
    std::fprintf(stderr, "standin-worker: --workers FILE is needed\n");
    return 2;
  }
  const basilusher::StopSignals signals;
  try {
    const basilusher::Json json =
        basilusher::ParseJson(basilusher::ReadFile(workers), workers,
                              basilusher::ResultCode::kSettingsMalformed);
    std::vector<std::unique_ptr<basilusher::WorkerServer>> servers;
    for (const basilusher::Json& row : json) {
      basilusher::WorkerOptions worker;
      worker.info = row.get<basilusher::WorkerInfo>();
      servers.push_back(std::make_unique<basilusher::WorkerServer>(worker));
      std::printf("%s %d\n", worker.info.id.c_str(), servers.back()->Start());
    }
    std::printf("ready\n");
    std::fflush(stdout);
    signals.Wait();
    return 0;
  } catch (const basilusher::Error& error) {
    std::fprintf(stderr, "standin-worker: error %d: %s\n",
                 static_cast<int>(error.Code()), error.what());
    return 3;
  }
}
