#pragma once

#include <cstdint>
#include <string_view>

namespace nutmegarch {

/// 64-bit hash (XXH3) that is the same on every host.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Mixes a number with a seed into 64 well spread bits.
std::uint64_t hash_number(std::uint64_t number, std::uint64_t seed = 0);

}  // namespace nutmegarch
