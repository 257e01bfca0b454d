// Base64 by libsodium. It takes the same time for all bytes of one length, as
// secrets need; whole groups of records and tasks, which are no secrets, are
// converted by tables, some ten times faster.
#include "basilusher/Support/Base64.h"

#include <sodium.h>

#include <array>
#include <cstdint>

#include "basilusher/Support/Error.h"

namespace basilusher {
namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupChars = 4;
constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
/// Value of a character that is no digit; above the values of digits.
constexpr std::uint8_t kNoDigit = 64;

constexpr std::array<std::uint8_t, 256> MakeValues() {
  std::array<std::uint8_t, 256> values = {};
  for (std::uint8_t& value : values) value = kNoDigit;
  for (std::size_t i = 0; i < kDigits.size(); ++i) {
    values[static_cast<unsigned char>(kDigits[i])] =
        static_cast<std::uint8_t>(i);
  }
  return values;
}

constexpr std::array<std::uint8_t, 256> kValues = MakeValues();

std::string EncodeByLibrary(std::string_view bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // the terminating zero that the library counts
  return text;
}

/// Throws Error(kMalformedRequest) if `text` is not base64.
std::string DecodeByLibrary(std::string_view text) {
  std::string bytes(text.size() / 4 * 3 + 3, '\0');
  std::size_t size = 0;
  const int result = sodium_base642bin(
      reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
      text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
  if (result != 0) {
    throw Error(ResultCode::kMalformedRequest, "text is not base64");
  }
  bytes.resize(size);
  return bytes;
}

}  // namespace

std::string EncodeBase64(std::string_view bytes) {
  const std::size_t groups = bytes.size() / kGroupBytes;
  std::string text;
  text.reserve((groups + 1) * kGroupChars);
  for (std::size_t i = 0; i < groups; ++i) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < kGroupBytes; ++j) {
      group =
          group << 8 | static_cast<unsigned char>(bytes[i * kGroupBytes + j]);
    }
    const char digits[kGroupChars] = {
        kDigits[group >> 18], kDigits[group >> 12 & 63],
        kDigits[group >> 6 & 63], kDigits[group & 63]};
    text.append(digits, kGroupChars);
  }
  const std::string_view rest = bytes.substr(groups * kGroupBytes);
  return rest.empty() ? text : text + EncodeByLibrary(rest);
}

std::string DecodeBase64(std::string_view text) {
  if (text.size() % kGroupChars != 0 || text.size() <= kGroupChars) {
    return DecodeByLibrary(text);
  }
  // The last group may have padding.
  const std::size_t groups = text.size() / kGroupChars - 1;
  std::string bytes;
  bytes.reserve((groups + 1) * kGroupBytes);
  for (std::size_t i = 0; i < groups; ++i) {
    std::uint32_t group = 0;
    bool is_digits = true;
    for (std::size_t j = 0; j < kGroupChars; ++j) {
      const std::uint8_t value =
          kValues[static_cast<unsigned char>(text[i * kGroupChars + j])];
      is_digits = is_digits && value != kNoDigit;
      group = group << 6 | (value & 63U);
    }
    if (!is_digits) return DecodeByLibrary(text);
    const char decoded[kGroupBytes] = {static_cast<char>(group >> 16),
                                       static_cast<char>(group >> 8),
                                       static_cast<char>(group)};
    bytes.append(decoded, kGroupBytes);
  }
  return bytes + DecodeByLibrary(text.substr(groups * kGroupChars));
}

}  // namespace basilusher
