// Digests by libsodium, and random bits from the same library.
#include "basilusher/Support/Digest.h"

#include <sodium.h>

#include <array>

#include "basilusher/Support/Random.h"

namespace basilusher {
namespace {

template <std::size_t Bytes>
std::string HexDigest(std::string_view data) {
  std::array<unsigned char, Bytes> buf{};
  crypto_generichash(buf.data(), buf.size(),
                     reinterpret_cast<const unsigned char*>(data.data()),
                     data.size(), nullptr, 0);
  std::string hex(Bytes * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), buf.data(), buf.size());
  hex.resize(Bytes * 2);
  return hex;
}

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t FoldBytes(std::uint64_t hash, std::string_view data) {
  for (char c : data) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return hash;
}

}  // namespace

std::string DigestOf(std::string_view data) { return HexDigest<16>(data); }

std::string KeyHash(std::string_view key) { return HexDigest<32>(key); }

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t PlacementHash(std::string_view a, std::string_view b) {
  std::uint64_t hash = FoldBytes(FoldBytes(kFnvOffset, a), "/");
  hash = FoldBytes(hash, b);
  // A final mix spreads the low-order differences of short names.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

std::uint64_t SystemRandom::Next() {
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof bits);
  return bits;
}

std::string RandomHex(Random* random, int digits) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  std::uint64_t bits = 0;
  for (int n = 0; n < digits; ++n) {
    if (n % 16 == 0) bits = random->Next();
    text.push_back(kDigits[bits & 15]);
    bits >>= 4;
  }
  return text;
}

}  // namespace basilusher
