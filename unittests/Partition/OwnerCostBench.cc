// Processor time of an owner's rounds and bookkeeping under a seeded load, on a
// virtual clock and without a network. Not a test: prints figures. The time
// includes that of the fakes; `valgrind --tool=callgrind` separates the parts.
// Usage: OwnerCostBench [SECONDS [SEED [JOBS_PER_S]]]
#include <sys/resource.h>

#include <cinttypes>
#include <cstdio>
#include <cstdlib>

#include "OwnerLoad.h"

namespace {

/// User time of this process, milliseconds.
double UserMs() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec) * 1e3 +
         static_cast<double>(usage.ru_utime.tv_usec) / 1e3;
}

}  // namespace

int main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 12;
  basilusher::OwnerLoadOptions options;
  if (argc > 2) {
    options.seed = static_cast<std::uint32_t>(std::atoi(argv[2]));
  }
  if (argc > 3) options.jobs_per_s = std::atof(argv[3]);
  basilusher::OwnerLoad load(options);
  load.Begin();
  const double begun_ms = UserMs();
  load.Run(basilusher::Millis(seconds * 1000));
  const double took_ms = UserMs() - begun_ms;
  const basilusher::StartRecorder& starts = load.Starts();
  std::printf("seed %u: %" PRId64 " starts, %" PRId64
              " polls, %zu jobs open, %.1f ms user, %.4f ms per start, digest "
              "%016" PRIx64 ", %zu violations\n",
              options.seed, starts.Starts(), starts.Polls(),
              load.Sim().owner->Jobs().All().size(), took_ms,
              took_ms / static_cast<double>(starts.Starts()), starts.Digest(),
              load.Sim().fleet.Violations().size());
  for (const std::string& violation : load.Sim().fleet.Violations()) {
    std::printf("%s\n", violation.c_str());
  }
  return load.Sim().fleet.Violations().empty() ? 0 : 1;
}
