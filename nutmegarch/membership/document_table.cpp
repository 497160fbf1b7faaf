#include "nutmegarch/membership/document_table.h"

#include <tuple>

namespace nutmegarch::membership {

bool is_newer(const document_stamp& left, const document_stamp& right) {
  return std::tie(left.version, left.position, left.hash) >
         std::tie(right.version, right.position, right.hash);
}

bool document_table::merge(const document& offered) {
  auto stored = documents_.find(offered.stamp.key);
  if (stored == documents_.end()) {
    documents_.emplace(offered.stamp.key, offered);
    return true;
  }
  if (!is_newer(offered.stamp, stored->second.stamp)) {
    return false;
  }
  stored->second = offered;
  return true;
}

const document* document_table::find(const std::string& key) const {
  auto stored = documents_.find(key);
  return stored == documents_.end() ? nullptr : &stored->second;
}

std::vector<document_stamp> document_table::digest() const {
  std::vector<document_stamp> stamps;
  stamps.reserve(documents_.size());
  for (const std::pair<const std::string, document>& stored : documents_) {
    stamps.push_back(stored.second.stamp);
  }
  return stamps;
}

std::vector<document> document_table::newer_than(const std::vector<document_stamp>& digest) const {
  std::vector<document> newer;
  for (const document_stamp& peer_stamp : digest) {
    const document* const stored = find(peer_stamp.key);
    if (stored != nullptr && is_newer(stored->stamp, peer_stamp)) {
      newer.push_back(*stored);
    }
  }
  return newer;
}

std::size_t document_table::size_in_bytes() const {
  std::size_t total = 0;
  for (const std::pair<const std::string, document>& stored : documents_) {
    total += stored.second.body.size();
  }
  return total;
}

}  // namespace nutmegarch::membership
