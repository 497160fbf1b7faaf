#include "nutmegarch/organisations/owner_table.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "nutmegarch/core/hash.h"

namespace nutmegarch::organisations {

bool owner_table::set_nodes(std::vector<std::string> addresses) {
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
  if (addresses == nodes_) {
    return false;
  }
  nodes_ = std::move(addresses);
  found_.clear();
  return true;
}

const owner_table::keepers& owner_table::find(const std::string& organisation) {
  auto known = found_.find(organisation);
  if (known != found_.end()) {
    return known->second;
  }
  const std::uint64_t seed = hash_text(organisation);
  std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
  ranked.reserve(nodes_.size());
  for (const std::string& node : nodes_) {
    ranked.emplace_back(hash_text(node, seed), &node);
  }
  const std::size_t count = std::min(keeper_count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
      [](const std::pair<std::uint64_t, const std::string*>& left,
         const std::pair<std::uint64_t, const std::string*>& right) { return left.first > right.first; });
  keepers chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.at(i) = *ranked.at(i).second;
  }
  return found_.emplace(organisation, std::move(chosen)).first->second;
}

}  // namespace nutmegarch::organisations
