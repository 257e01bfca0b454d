// Guards against base64 that differs from the library's.
#include <gtest/gtest.h>

#include "basilusher/Support/Base64.h"
// The property library's bridge needs the test library first.
#include <rapidcheck/gtest.h>
#include <sodium.h>

#include <optional>
#include <string>

#include "basilusher/Support/Error.h"

namespace basilusher {
namespace {

std::string EncodeByLibrary(const std::string& bytes) {
  std::string text(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();
  return text;
}

std::optional<std::string> DecodeByLibrary(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes.size(), text.data(), text.size(), nullptr, &size,
                        nullptr, sodium_base64_VARIANT_ORIGINAL) != 0) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> Decode(const std::string& text) {
  try {
    return DecodeBase64(text);
  } catch (const Error& error) {
    EXPECT_EQ(error.Code(), ResultCode::kMalformedRequest);
    return std::nullopt;
  }
}

RC_GTEST_PROP(Base64, BytesAreEncodedAsByTheLibrary,
              (const std::string& bytes)) {
  const std::string text = EncodeBase64(bytes);
  RC_ASSERT(text == EncodeByLibrary(bytes));
  RC_ASSERT(DecodeBase64(text) == bytes);
}

/// Texts with one odd character at any place, cut or lengthened.
RC_GTEST_PROP(Base64, DamagedTextIsDecodedAsByTheLibrary,
              (const std::string& bytes, char odd)) {
  const std::string text = EncodeBase64(bytes + "xy");
  const std::size_t at = static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(text.size())));
  std::string replaced = text;
  replaced[at] = odd;
  for (const std::string& it :
       {replaced, text.substr(0, at), text + odd, text.substr(at), text + text,
        text.substr(0, at) + "=" + text.substr(at)}) {
    RC_ASSERT(Decode(it) == DecodeByLibrary(it));
  }
}

}  // namespace
}  // namespace basilusher
