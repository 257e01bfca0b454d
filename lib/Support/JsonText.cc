// JSON strings and numbers as text.
#include "basilusher/Support/JsonText.h"

#include <array>
#include <charconv>
#include <limits>

#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

/// Digits of the longest 64-bit number, its sign included.
constexpr std::size_t kMaxNumberBytes =
    std::numeric_limits<std::uint64_t>::digits10 + 2;

/// What has to be done with a byte of a string.
enum class ByteClass : std::uint8_t {
  kPlain,
  kEscaped,
  /// Part of a character of several bytes: the library checks these.
  kNotAscii,
};

constexpr std::array<ByteClass, 256> MakeByteClasses() {
  std::array<ByteClass, 256> classes = {};
  for (std::size_t i = 0; i < 0x20; ++i) classes[i] = ByteClass::kEscaped;
  for (std::size_t i = 0x80; i < 256; ++i) classes[i] = ByteClass::kNotAscii;
  classes['"'] = ByteClass::kEscaped;
  classes['\\'] = ByteClass::kEscaped;
  return classes;
}

constexpr std::array<ByteClass, 256> kByteClasses = MakeByteClasses();

void AppendEscape(std::string* out, char c) {
  static constexpr char kDigits[] = "0123456789abcdef";
  out->push_back('\\');
  switch (c) {
    case '"':
    case '\\':
      out->push_back(c);
      return;
    case '\b':
      out->push_back('b');
      return;
    case '\f':
      out->push_back('f');
      return;
    case '\n':
      out->push_back('n');
      return;
    case '\r':
      out->push_back('r');
      return;
    case '\t':
      out->push_back('t');
      return;
    default:
      out->append("u00");
      out->push_back(kDigits[static_cast<unsigned char>(c) >> 4]);
      out->push_back(kDigits[static_cast<unsigned char>(c) & 15]);
      return;
  }
}

/// Appends `text`, escaped; false at its first byte that is not ASCII.
bool AppendAscii(std::string* out, std::string_view text) {
  std::size_t begin = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const ByteClass kind = kByteClasses[static_cast<unsigned char>(text[i])];
    if (kind == ByteClass::kPlain) continue;
    if (kind == ByteClass::kNotAscii) return false;
    out->append(text.substr(begin, i - begin));
    AppendEscape(out, text[i]);
    begin = i + 1;
  }
  out->append(text.substr(begin));
  return true;
}

template <typename Number>
void AppendNumber(std::string* out, Number number) {
  std::array<char, kMaxNumberBytes> digits;
  const std::to_chars_result result =
      std::to_chars(digits.data(), digits.data() + digits.size(), number);
  out->append(digits.data(),
              static_cast<std::size_t>(result.ptr - digits.data()));
}

}  // namespace

void AppendJsonEscaped(std::string* out, std::string_view text) {
  const std::size_t size = out->size();
  if (AppendAscii(out, text)) return;
  out->resize(size);
  const std::string quoted = Json(text).dump();
  out->append(quoted, 1, quoted.size() - 2);
}

void AppendJsonString(std::string* out, std::string_view text) {
  out->push_back('"');
  AppendJsonEscaped(out, text);
  out->push_back('"');
}

void AppendJsonStringLossy(std::string* out, std::string_view text) {
  const std::size_t size = out->size();
  out->push_back('"');
  if (AppendAscii(out, text)) {
    out->push_back('"');
    return;
  }
  out->resize(size);
  out->append(DumpLossy(Json(text)));
}

void AppendJsonNumber(std::string* out, std::int64_t number) {
  AppendNumber(out, number);
}

void AppendJsonNumber(std::string* out, std::uint64_t number) {
  AppendNumber(out, number);
}

}  // namespace basilusher
