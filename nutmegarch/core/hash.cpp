#include "nutmegarch/core/hash.h"

#include <xxhash.h>

namespace nutmegarch {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash_number(std::uint64_t number, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

}  // namespace nutmegarch
