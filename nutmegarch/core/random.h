#pragma once

#include <cstdint>
#include <random>

namespace nutmegarch {

/// Seeded generator that is passed to every decision that needs randomness.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}

  /// A number in [0, 1).
  double unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }

  /// A number in [0, count). `count` must not be 0.
  std::uint64_t below(std::uint64_t count) { return engine_() % count; }

  /// 64 random bits.
  std::uint64_t bits() { return engine_(); }

  /// The generator itself, for the distributions of the standard library.
  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace nutmegarch
