// Digests of bodies and keys.
#ifndef BASILUSHER_SUPPORT_DIGEST_H_
#define BASILUSHER_SUPPORT_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace basilusher {

/// Hexadecimal 128-bit BLAKE2b digest of `data`. Thread-safe.
std::string DigestOf(std::string_view data);

/// Hexadecimal 256-bit BLAKE2b digest of a key; the only form of a key that is
/// stored or sent between processes. Thread-safe.
std::string KeyHash(std::string_view key);

/// Compares two strings of equal length in a time that depends on the length
/// alone; strings of different length are unequal. Thread-safe.
bool EqualInConstantTime(std::string_view a, std::string_view b);

/// Fast 64-bit mix for placing names on homes; the same in every process.
/// Thread-safe.
std::uint64_t PlacementHash(std::string_view a, std::string_view b);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_DIGEST_H_
