// JSON helpers: parsing and schema checks that name the bad field.
#ifndef BASILUSHER_SUPPORT_JSON_H_
#define BASILUSHER_SUPPORT_JSON_H_

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
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

/// The number that `value` holds, without a fraction; nothing if it is no
/// number or out of the type's range. Thread-safe.
std::optional<std::int64_t> IntegerOf(const Json& value);

/// The field `name` of `in`, or `fallback` if `in` is no object, has no such
/// field or one that does not hold a T. For records that another process wrote.
/// Thread-safe.
template <typename T>
T FieldOr(const Json& in, const char* name, T fallback) {
  if (!in.is_object()) return fallback;
  const auto field = in.find(name);
  if (field == in.end()) return fallback;
  if constexpr (std::same_as<T, bool>) {
    return field->is_boolean() ? field->template get<bool>() : fallback;
  } else if constexpr (std::integral<T>) {
    const std::optional<std::int64_t> number = IntegerOf(*field);
    const bool fits = number && *number >= std::numeric_limits<T>::min() &&
                      *number <= std::numeric_limits<T>::max();
    return fits ? static_cast<T>(*number) : fallback;
  } else if constexpr (std::floating_point<T>) {
    return field->is_number() ? field->template get<T>() : fallback;
  } else {
    static_assert(std::same_as<T, std::string>);
    return field->is_string() ? field->template get<std::string>() : fallback;
  }
}

/// Decodes CBOR; throws Json::exception if it is malformed, or
/// Error(kMalformedRequest) if it is nested deeper than any record of this
/// system. Thread-safe.
Json DecodeCbor(const std::string& bytes);

/// Text of `document` for another process; bytes that are not UTF-8 are
/// replaced. Thread-safe.
std::string DumpLossy(const Json& document);

/// Reads a whole file; throws Error(kSettingsUnreadable). Thread-safe.
std::string ReadFile(const std::string& path);

/// One line for `violation` in `source`. Thread-safe.
std::string DescribeViolation(const std::string& source,
                              const SchemaViolation& violation);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_JSON_H_
