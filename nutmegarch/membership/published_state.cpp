#include "nutmegarch/membership/published_state.h"

#include <algorithm>
#include <set>

namespace nutmegarch::membership {

bool published_state::replace(const std::vector<published_item>& listing, std::uint64_t revision,
                              time_point now) {
  // A listing that is older than what is held can add nothing, and must not remove.
  if (revision < revision_) {
    return false;
  }
  bool changed = false;
  std::set<std::string> listed;
  for (const published_item& item : listing) {
    listed.insert(item.key);
    changed = put(item) || changed;
  }
  std::vector<std::string> missing;
  for (const std::pair<const std::string, published_item>& held : items_) {
    if (listed.count(held.first) == 0 && held.second.revision <= revision) {
      missing.push_back(held.first);
    }
  }
  for (const std::string& key : missing) {
    changed = remove(key, revision, now) || changed;
  }
  revision_ = revision;
  return changed;
}

bool published_state::apply(const std::vector<published_item>& changes, std::uint64_t revision,
                            time_point now) {
  bool changed = false;
  for (const published_item& change : changes) {
    changed = (change.is_removed ? remove(change.key, change.revision, now) : put(change)) || changed;
  }
  revision_ = std::max(revision_, revision);
  return changed;
}

bool published_state::merge(const std::vector<published_item>& listing, std::uint64_t revision,
                            time_point now) {
  return revision > revision_ && replace(listing, revision, now);
}

bool published_state::on_time(time_point now) {
  if (lapsed_.empty() || now < grace_until_) {
    return false;
  }
  for (const std::pair<const std::string, std::uint64_t>& lapsed : lapsed_) {
    items_.erase(lapsed.first);
  }
  lapsed_.clear();
  return true;
}

bool published_state::put(const published_item& item) {
  auto lapsed = lapsed_.find(item.key);
  if (lapsed != lapsed_.end()) {
    if (item.revision < lapsed->second) {
      return false;
    }
    lapsed_.erase(lapsed);
  }
  auto held = items_.find(item.key);
  if (held != items_.end() && item.revision <= held->second.revision) {
    return false;
  }
  // An entry that was removed since is not brought back by an older one.
  if (held == items_.end() && item.revision <= revision_ && revision_ != 0) {
    return false;
  }
  items_[item.key] = item;
  return true;
}

bool published_state::remove(const std::string& key, std::uint64_t revision, time_point now) {
  auto held = items_.find(key);
  if (held == items_.end() || held->second.revision > revision) {
    return false;
  }
  if (now < grace_until_) {
    lapsed_.emplace(key, revision);
    return false;
  }
  items_.erase(held);
  lapsed_.erase(key);
  return true;
}

}  // namespace nutmegarch::membership
