#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "nutmegarch/organisations/organisation.h"

namespace nutmegarch::organisations {

/// Finds the organisation of a key. Immutable and therefore thread-safe. A key that two organisations hold
/// identifies neither of them.
class organisation_table {
 public:
  organisation_table() = default;
  explicit organisation_table(std::vector<organisation> organisations);

  /// The organisation that holds the key, or null. The table owns the result. The time that the comparison
  /// takes does not depend on the number of characters that agree.
  const organisation* find_by_key(std::string_view key) const;
  /// The organisation with this name, or null. The table owns the result.
  const organisation* find_by_name(const std::string& name) const;

  bool empty() const { return organisations_.empty(); }
  std::size_t size() const { return organisations_.size(); }
  /// Names of the organisations that share a key with another one.
  const std::vector<std::string>& with_shared_keys() const { return with_shared_keys_; }

 private:
  struct key_entry {
    /// Index of the organisation.
    std::size_t owner = 0;
    /// Index of the key among the organisation's.
    std::size_t key = 0;
    bool is_shared = false;
  };

  std::vector<organisation> organisations_;
  std::unordered_multimap<std::uint64_t, key_entry> by_hash_;
  std::unordered_map<std::string, std::size_t> by_name_;
  std::vector<std::string> with_shared_keys_;
};

}  // namespace nutmegarch::organisations
