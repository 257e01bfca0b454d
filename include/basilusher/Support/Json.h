// JSON helpers: parsing and schema checks that name the bad field.
#ifndef BASILUSHER_SUPPORT_JSON_H_
#define BASILUSHER_SUPPORT_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "basilusher/Support/Error.h"

namespace basilusher {

using Json = nlohmann::json;

/// One violation of a schema: the field as a JSON pointer, what was found and
/// what is expected.
struct SchemaViolation {
  std::string field;
  std::string found;
  std::string expected;
};

/// All violations of `schema_text` (JSON schema, draft 7) in `document`; empty
/// if it conforms. `schema_text` must be a valid schema. Thread-safe.
std::vector<SchemaViolation> CheckSchema(const Json& document,
                                         std::string_view schema_text);

/// Parses `text`; throws Error with `code`, naming `source` and the position.
/// Thread-safe.
Json ParseJson(const std::string& text, const std::string& source,
               ResultCode code);

/// Reads a whole file; throws Error(kSettingsUnreadable). Thread-safe.
std::string ReadFile(const std::string& path);

/// One line for `violation` in `source`. Thread-safe.
std::string DescribeViolation(const std::string& source,
                              const SchemaViolation& violation);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_JSON_H_
