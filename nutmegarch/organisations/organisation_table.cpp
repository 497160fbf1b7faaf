#include "nutmegarch/organisations/organisation_table.h"

#include <algorithm>
#include <utility>

#include "nutmegarch/core/hash.h"

namespace nutmegarch::organisations {

namespace {

/// Compares all characters, so that the time tells nothing about the position of the first difference.
bool is_equal_in_constant_time(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace

organisation_table::organisation_table(std::vector<organisation> organisations)
    : organisations_(std::move(organisations)) {
  for (std::size_t owner = 0; owner < organisations_.size(); ++owner) {
    const organisation& added = organisations_.at(owner);
    by_name_.emplace(added.name, owner);
    for (std::size_t key = 0; key < added.keys.size(); ++key) {
      key_entry entry{owner, key, false};
      const std::uint64_t hash = hash_text(added.keys.at(key));
      auto range = by_hash_.equal_range(hash);
      for (auto it = range.first; it != range.second; ++it) {
        key_entry& known = it->second;
        const organisation& holder = organisations_.at(known.owner);
        if (known.owner != owner && holder.keys.at(known.key) == added.keys.at(key)) {
          known.is_shared = true;
          entry.is_shared = true;
          with_shared_keys_.push_back(holder.name);
          with_shared_keys_.push_back(added.name);
        }
      }
      by_hash_.emplace(hash, entry);
    }
  }
}

const organisation* organisation_table::find_by_key(std::string_view key) const {
  auto range = by_hash_.equal_range(hash_text(key));
  for (auto it = range.first; it != range.second; ++it) {
    const organisation& holder = organisations_.at(it->second.owner);
    if (!it->second.is_shared && is_equal_in_constant_time(holder.keys.at(it->second.key), key)) {
      return &holder;
    }
  }
  return nullptr;
}

const organisation* organisation_table::find_by_name(const std::string& name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &organisations_.at(found->second);
}

}  // namespace nutmegarch::organisations
