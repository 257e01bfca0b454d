// Randomness as an interface, so that tests can replay it.
#ifndef BASILUSHER_SUPPORT_RANDOM_H_
#define BASILUSHER_SUPPORT_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace basilusher {

/// Source of random numbers for jitter and identifiers.
class Random {
 public:
  virtual ~Random() = default;
  /// The next 64 random bits. Not thread-safe unless the subclass says so.
  virtual std::uint64_t Next() = 0;
};

/// Replayable source. Not thread-safe.
class SeededRandom : public Random {
 public:
  /// The sequence depends on `seed` alone.
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  /// Not thread-safe.
  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// The operating system's source. Thread-safe.
class SystemRandom : public Random {
 public:
  /// Thread-safe.
  std::uint64_t Next() override;
};

/// `digits` lower-case hexadecimal digits drawn from `random`.
std::string RandomHex(Random* random, int digits);

}  // namespace basilusher

#endif  // BASILUSHER_SUPPORT_RANDOM_H_
