#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace nutmegarch::fuzz {

/// Mutates texts at random. The seed is fixed unless the environment variable NUTMEGARCH_FUZZ_SEED sets it.
class mutator {
 public:
  mutator() : seed_(read_environment("NUTMEGARCH_FUZZ_SEED", 20261204)), random_(seed_) {}

  std::uint64_t seed() const { return seed_; }

  /// Number of rounds for a test: `usual` times the environment variable NUTMEGARCH_FUZZ_FACTOR, which
  /// defaults to 1.
  static std::uint64_t rounds(std::uint64_t usual) {
    return usual * read_environment("NUTMEGARCH_FUZZ_FACTOR", 1);
  }

  /// Returns the text after one to eight random changes.
  std::string mutate(std::string text) {
    const std::uint64_t changes = 1 + random_below(8);
    for (std::uint64_t i = 0; i < changes; ++i) {
      change(text);
    }
    return text;
  }

 private:
  static std::uint64_t read_environment(const char* name, std::uint64_t fallback) {
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
  }

  std::uint64_t random_below(std::uint64_t bound) {
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
  }

  void change(std::string& text) {
    const std::size_t position = random_below(text.size() + 1);
    const std::size_t length = std::min<std::size_t>(random_below(16), text.size() - position);
    switch (random_below(6)) {
      case 0:
        text.erase(position, length);
        break;
      case 1:
        text.insert(position, text.substr(random_below(text.size() + 1), 64));
        break;
      case 2:
        text.insert(position, 1 + random_below(300), static_cast<char>(random_below(256)));
        break;
      case 3:
        text.insert(position, std::to_string(random_()));
        break;
      case 4:
        text.resize(position);
        break;
      default:
        if (position < text.size()) {
          text.at(position) = static_cast<char>(random_below(256));
        }
        break;
    }
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
};

}  // namespace nutmegarch::fuzz
