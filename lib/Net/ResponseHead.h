// Reader of the heads of usual HTTP responses, for this component alone.
#ifndef BASILUSHER_LIB_NET_RESPONSEHEAD_H_
#define BASILUSHER_LIB_NET_RESPONSEHEAD_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace basilusher {

/// Head of a response whose body has a stated length.
struct ResponseHead {
  int status = 0;
  /// Bytes of the head, including the empty line.
  std::size_t bytes = 0;
  std::size_t content_length = 0;
  bool keep_alive = true;
};

/// Reads the head at the start of `bytes`. Returns nothing if it is incomplete,
/// malformed or unusual (another version, no or several lengths, a transfer
/// encoding, a status without a body, other octets than printable ASCII); the
/// library's parser then reads the same bytes. What this function accepts, the
/// library's parser accepts with the same result. Thread-safe.
std::optional<ResponseHead> ReadUsualHead(std::string_view bytes);

}  // namespace basilusher

#endif  // BASILUSHER_LIB_NET_RESPONSEHEAD_H_
