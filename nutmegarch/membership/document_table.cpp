#include "nutmegarch/membership/document_table.h"

#include <tuple>

namespace nutmegarch::membership {

bool is_newer(const document_stamp& left, const document_stamp& right) {
  return std::tie(left.version, left.revision, left.hash) >
         std::tie(right.version, right.revision, right.hash);
}

bool document_table::merge(const document& offered) {
  auto held = documents_.find(offered.stamp.key);
  if (held == documents_.end()) {
    documents_.emplace(offered.stamp.key, offered);
    return true;
  }
  if (!is_newer(offered.stamp, held->second.stamp)) {
    return false;
  }
  held->second = offered;
  return true;
}

const document* document_table::find(const std::string& key) const {
  auto held = documents_.find(key);
  return held == documents_.end() ? nullptr : &held->second;
}

std::vector<document_stamp> document_table::digest() const {
  std::vector<document_stamp> stamps;
  stamps.reserve(documents_.size());
  for (const std::pair<const std::string, document>& held : documents_) {
    stamps.push_back(held.second.stamp);
  }
  return stamps;
}

std::vector<document> document_table::newer_than(const std::vector<document_stamp>& digest) const {
  std::vector<document> newer;
  for (const document_stamp& theirs : digest) {
    const document* const held = find(theirs.key);
    if (held != nullptr && is_newer(held->stamp, theirs)) {
      newer.push_back(*held);
    }
  }
  return newer;
}

}  // namespace nutmegarch::membership
