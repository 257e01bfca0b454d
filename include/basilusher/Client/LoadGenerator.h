// A mixed load of callers, for the demo and measurements.
#ifndef BASILUSHER_CLIENT_LOADGENERATOR_H_
#define BASILUSHER_CLIENT_LOADGENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "basilusher/Client/OperatorClient.h"
#include "basilusher/Support/Clock.h"

namespace basilusher {

/// Callers of one kind.
struct LoadPart {
  std::string queue;
  std::string team;
  std::string key;
  bool idempotent = true;
  int callers = 1;
  /// How long each request works.
  int work_ms = 5;
  std::size_t body_bytes = 200;
  /// Pause of each caller between two requests.
  int pause_ms = 0;
  /// One request in this many is sent again with the same idempotency key;
  /// zero for none.
  int repeat_every = 0;
};

/// What one caller saw of one submission.
struct LoadRecord {
  std::string tag;
  std::string team;
  std::string queue;
  bool idempotent = true;
  /// "ran", "not-run", "unknown", or "cut" if the connection ended.
  std::string outcome;
  int code = 0;
  std::int64_t latency_micros = 0;
  /// Whether the answer was this request's own and whole.
  bool own_answer = true;
  /// Whether the same key was sent before.
  bool repeated = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoadRecord, tag, team, queue, idempotent,
                                   outcome, code, latency_micros, own_answer,
                                   repeated)

struct LoadOptions {
  std::vector<EntryAddress> entries;
  std::vector<LoadPart> parts;
  Millis duration{5000};
  std::uint64_t seed = 1;
  /// Sends to workers' own interface instead of the entries'.
  bool direct = false;
};

/// Runs the load to its end and returns every submission's record. A caller
/// whose connection ends goes on with another entry.
std::vector<LoadRecord> RunLoad(const LoadOptions& options);

/// Reads parts from JSON; throws Error(kSettingsInvalid).
std::vector<LoadPart> ParseLoadParts(const Json& json);

}  // namespace basilusher

#endif  // BASILUSHER_CLIENT_LOADGENERATOR_H_
