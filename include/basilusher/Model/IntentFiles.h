// Collects the operators' files into one document and checks them.
#ifndef BASILUSHER_MODEL_INTENTFILES_H_
#define BASILUSHER_MODEL_INTENTFILES_H_

#include <string>
#include <vector>

#include "basilusher/Support/Json.h"

namespace basilusher {

/// The collected document and every error found on the way.
struct CollectedIntent {
  Json document = Json::object();
  /// One line each, naming file, field, what was found and what is expected.
  std::vector<std::string> errors;
};

/// Reads `directory`: deployment.json, teams.json and every service.json below
/// it. All errors of all files are reported, not just the first. Thread-safe.
CollectedIntent CollectIntent(const std::string& directory);

/// Errors of a collected document; empty if it is consistent. Thread-safe.
std::vector<std::string> CheckDocument(const Json& document);

/// Paths of `after` that differ from `before`, one line each. Thread-safe.
std::vector<std::string> DescribeDifference(const Json& before,
                                            const Json& after);

}  // namespace basilusher

#endif  // BASILUSHER_MODEL_INTENTFILES_H_
