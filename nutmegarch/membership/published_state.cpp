#include "nutmegarch/membership/published_state.h"

#include <algorithm>
#include <set>

namespace nutmegarch::membership {

bool published_state::replace(const std::vector<published_item>& listing, std::uint64_t revision,
                              time_point now) {
  // An older listing has no new entries and must not remove newer ones.
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
  for (const std::pair<const std::string, published_item>& stored : items_) {
    if (listed.count(stored.first) == 0 && stored.second.revision <= revision) {
      missing.push_back(stored.first);
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

bool published_state::on_tick(time_point now) {
  if (expired_.empty() || now < grace_end_) {
    return false;
  }
  for (const std::pair<const std::string, std::uint64_t>& expired : expired_) {
    items_.erase(expired.first);
  }
  expired_.clear();
  return true;
}

bool published_state::put(const published_item& item) {
  auto expired = expired_.find(item.key);
  if (expired != expired_.end()) {
    if (item.revision < expired->second) {
      return false;
    }
    expired_.erase(expired);
  }
  auto stored = items_.find(item.key);
  if (stored != items_.end() && item.revision <= stored->second.revision) {
    return false;
  }
  // An older revision of an entry must not restore the entry after its removal.
  if (stored == items_.end() && item.revision <= revision_ && revision_ != 0) {
    return false;
  }
  items_[item.key] = item;
  return true;
}

bool published_state::remove(const std::string& key, std::uint64_t revision, time_point now) {
  auto stored = items_.find(key);
  if (stored == items_.end() || stored->second.revision > revision) {
    return false;
  }
  if (now < grace_end_) {
    expired_.emplace(key, revision);
    return false;
  }
  items_.erase(stored);
  expired_.erase(key);
  return true;
}

}  // namespace nutmegarch::membership
