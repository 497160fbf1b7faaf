#pragma once

#include <cstdint>
#include <random>

namespace nutmegarch {

/// Seeded random number generator. It is passed to all code that needs randomness, so that tests and
/// simulations are reproducible. Not thread-safe.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// A uniformly distributed number in [0, 1).
  double uniform() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }

  /// A random integer in [0, count). `count` must not be 0.
  std::uint64_t below(std::uint64_t count) { return engine_() % count; }

  /// 64 random bits.
  std::uint64_t bits() { return engine_(); }

  /// The underlying engine, for the distributions of the standard library.
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace nutmegarch
