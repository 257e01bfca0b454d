// Generators of usual, unusual and malformed JSON texts.
#ifndef BASILUSHER_UNITTESTS_PLATFORM_ANYJSON_H_
#define BASILUSHER_UNITTESTS_PLATFORM_ANYJSON_H_

#include <gtest/gtest.h>
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "basilusher/Support/Json.h"

namespace basilusher {

/// A number in 0..`n`-1, all alike: at the library's smaller sizes it would
/// give small ones alone.
inline int AnyBelow(int n) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, n));
}

/// True once in `n` times.
inline bool OneIn(int n) { return AnyBelow(n) == 0; }

/// A value of any type, among them numbers at the limits.
inline Json AnyValue() {
  static const std::vector<Json> values = {0,
                                           1,
                                           17,
                                           100,
                                           101,
                                           -1,
                                           1.5,
                                           2.0,
                                           -0.0,
                                           1e30,
                                           std::int64_t{1} << 53,
                                           (std::int64_t{1} << 53) + 1,
                                           std::int64_t{9223372036854775807},
                                           std::uint64_t{9223372036854775808U},
                                           std::uint64_t{18446744073709551615U},
                                           "",
                                           "done",
                                           "fence",
                                           "a.0.1.2",
                                           "a.0.1",
                                           "dmFsdWU=",
                                           "no base64!",
                                           "\xc3\xa4\n\"",
                                           nullptr,
                                           true,
                                           false,
                                           Json::array(),
                                           Json::object(),
                                           {1, {2, {{"ClockMs", 5}}}},
                                           {{"Key", "k"}, {"ClockMs", {1}}}};
  return values[static_cast<std::size_t>(
      AnyBelow(static_cast<int>(values.size())))];
}

/// The object with `fields`, whose order and repetitions are kept.
inline std::string ObjectText(
    const std::vector<std::pair<std::string, Json>>& fields) {
  std::string text = "{";
  for (const std::pair<std::string, Json>& field : fields) {
    if (text.size() > 1) text += ",";
    text += Json(field.first).dump() + ":" + field.second.dump();
  }
  return text + "}";
}

/// `text`, sometimes with bytes removed, replaced or added.
inline std::string MaybeDamaged(std::string text) {
  if (!OneIn(4)) return text;
  const std::size_t at =
      static_cast<std::size_t>(AnyBelow(static_cast<int>(text.size()) + 1));
  switch (AnyBelow(3)) {
    case 0:
      return text.substr(0, at);
    case 1:
      return text.insert(at, *rc::gen::element<std::string>(
                                 ",", "}", "[", "]", "{", "\"", "1", "-", " ",
                                 "\\u0041", "\xff", "0."));
    default:
      if (at < text.size()) {
        text[at] = *rc::gen::element('"', ',', ':', '[', '}', 'x', '0', '\0');
      }
      return text;
  }
}

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_PLATFORM_ANYJSON_H_
