#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace nutmegarch::fuzz {

/// Changes texts at random. The seed is fixed, or NUTMEGARCH_FUZZ_SEED; NUTMEGARCH_FUZZ_FACTOR multiplies the
/// rounds.
class mutator {
 public:
  mutator() : seed_(number_of("NUTMEGARCH_FUZZ_SEED", 20261204)), random_(seed_) {}

  std::uint64_t seed() const { return seed_; }

  /// Rounds that a test plays.
  static std::uint64_t rounds(std::uint64_t usual) { return usual * number_of("NUTMEGARCH_FUZZ_FACTOR", 1); }

  /// The text with up to eight changes.
  std::string mutate(std::string text) {
    const std::uint64_t changes = 1 + below(8);
    for (std::uint64_t i = 0; i < changes; ++i) {
      change(text);
    }
    return text;
  }

 private:
  static std::uint64_t number_of(const char* name, std::uint64_t fallback) {
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
  }

  std::uint64_t below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  void change(std::string& text) {
    const std::size_t at = below(text.size() + 1);
    const std::size_t length = std::min<std::size_t>(below(16), text.size() - at);
    switch (below(6)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, text.substr(below(text.size() + 1), 64));
        break;
      case 2:
        text.insert(at, 1 + below(300), static_cast<char>(below(256)));
        break;
      case 3:
        text.insert(at, std::to_string(random_()));
        break;
      case 4:
        text.resize(at);
        break;
      default:
        if (at < text.size()) {
          text.at(at) = static_cast<char>(below(256));
        }
        break;
    }
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
};

}  // namespace nutmegarch::fuzz
