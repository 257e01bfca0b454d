// JSON written directly as text, for messages and log lines that are built
// often. The text is the same as that of a document (Json::dump).
#ifndef BASILUSHER_SUPPORT_JSONTEXT_H_
#define BASILUSHER_SUPPORT_JSONTEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace basilusher {

/// Appends `text` without quotes, escaped as part of a JSON string. Throws
/// Json::type_error if it is not UTF-8. Thread-safe.
void AppendJsonEscaped(std::string* out, std::string_view text);

/// Appends `text` as a JSON string, as Json(text).dump() writes it. Throws
/// Json::type_error if it is not UTF-8. Thread-safe.
void AppendJsonString(std::string* out, std::string_view text);

/// As AppendJsonString, but bytes that are not UTF-8 are replaced, as DumpLossy
/// replaces them. Thread-safe.
void AppendJsonStringLossy(std::string* out, std::string_view text);

/// Appends a whole number. Thread-safe.
void AppendJsonNumber(std::string* out, std::int64_t number);
void AppendJsonNumber(std::string* out, std::uint64_t number);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_JSONTEXT_H_
