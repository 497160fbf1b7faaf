#pragma once

#include <compare>
#include <cstdint>

namespace nutmegarch::membership {

/// A point in the history of the platform's store; a larger one is newer. When the store comes back from an
/// older copy of itself, a new era begins, and revisions are given out again: a revision without its era says
/// nothing about age.
struct store_position {
  constexpr store_position() = default;
  constexpr store_position(std::uint64_t store_era, std::uint64_t store_revision)
      : era(store_era), revision(store_revision) {}

  /// Number of the times that the store came back from a copy; 0 for a store that does not count them.
  std::uint64_t era = 0;
  /// Number of the change within the era; 0 before the first one.
  std::uint64_t revision = 0;

  /// False for the position before the first listing.
  constexpr bool is_known() const { return revision != 0; }

  friend constexpr bool operator==(const store_position&, const store_position&) = default;
  friend constexpr std::strong_ordering operator<=>(const store_position& left, const store_position& right) {
    return left.era != right.era ? left.era <=> right.era : left.revision <=> right.revision;
  }
};

}  // namespace nutmegarch::membership
