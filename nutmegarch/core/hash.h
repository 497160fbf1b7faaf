#pragma once

#include <cstdint>
#include <string_view>

namespace nutmegarch {

/// 64-bit hash (XXH3) of a text. It is the same on every host.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// 64-bit hash (XXH3) of a number. It is the same on hosts of the same byte order.
std::uint64_t hash_number(std::uint64_t number, std::uint64_t seed = 0);

}  // namespace nutmegarch
