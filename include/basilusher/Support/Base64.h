// Base64 with padding, for bytes inside JSON.
#ifndef BASILUSHER_SUPPORT_BASE64_H_
#define BASILUSHER_SUPPORT_BASE64_H_

#include <string>
#include <string_view>

namespace basilusher {

/// Standard base64 text of `bytes`, with padding. Thread-safe.
std::string EncodeBase64(std::string_view bytes);

/// Bytes of standard base64 `text`; throws Error(kMalformedRequest) if it is
/// none. Thread-safe.
std::string DecodeBase64(std::string_view text);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_BASE64_H_
