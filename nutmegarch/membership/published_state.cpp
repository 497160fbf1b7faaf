#include "nutmegarch/membership/published_state.h"

#include <algorithm>
#include <set>

namespace nutmegarch::membership {

bool published_state::replace(const std::vector<published_item>& listing, const store_position& position,
                              time_point now) {
  // An older listing has no new entries and must not remove newer ones.
  if (position < position_) {
    return false;
  }
  const bool is_new_era = position_.is_known() && position.era > position_.era;
  if (is_new_era) {
    grace_end_ = std::max(grace_end_, now + settings_.lapse_grace);
    unproven_.clear();
  }
  bool changed = false;
  std::set<std::string> listed;
  for (const published_item& item : listing) {
    listed.insert(item.key);
    if (is_new_era && items_.count(item.key) == 0) {
      unproven_[item.key] = {item, now + settings_.proof_time};
    } else {
      changed = put(item) || changed;
    }
  }
  std::vector<std::string> missing;
  for (const std::pair<const std::string, published_item>& stored : items_) {
    if (listed.count(stored.first) == 0 && stored.second.position <= position) {
      missing.push_back(stored.first);
    }
  }
  for (const std::string& key : missing) {
    changed = remove(key, position, now) || changed;
  }
  for (auto it = unproven_.begin(); it != unproven_.end();) {
    it = listed.count(it->first) == 0 ? unproven_.erase(it) : std::next(it);
  }
  position_ = position;
  return changed;
}

bool published_state::apply(const std::vector<published_item>& changes, const store_position& position,
                            time_point now) {
  bool changed = false;
  for (const published_item& change : changes) {
    changed = (change.is_removed ? remove(change.key, change.position, now) : put(change)) || changed;
  }
  position_ = std::max(position_, position);
  return changed;
}

bool published_state::merge(const std::vector<published_item>& listing, const store_position& position,
                            time_point now) {
  return position > position_ && replace(listing, position, now);
}

bool published_state::on_tick(time_point now) {
  bool changed = false;
  for (auto it = unproven_.begin(); it != unproven_.end();) {
    if (now < it->second.proof_end) {
      ++it;
      continue;
    }
    items_[it->first] = it->second.item;
    it = unproven_.erase(it);
    changed = true;
  }
  if (expired_.empty() || now < grace_end_) {
    return changed;
  }
  for (const std::pair<const std::string, store_position>& expired : expired_) {
    items_.erase(expired.first);
  }
  expired_.clear();
  return true;
}

bool published_state::put(const published_item& item) {
  auto unproven = unproven_.find(item.key);
  if (unproven != unproven_.end()) {
    if (item.position <= unproven->second.item.position) {
      return false;
    }
    unproven_.erase(unproven);
  }
  auto expired = expired_.find(item.key);
  if (expired != expired_.end()) {
    if (item.position < expired->second) {
      return false;
    }
    expired_.erase(expired);
  }
  auto stored = items_.find(item.key);
  if (stored != items_.end() && item.position <= stored->second.position) {
    return false;
  }
  // An older version of an entry must not restore the entry after its removal.
  if (stored == items_.end() && item.position <= position_ && position_.is_known()) {
    return false;
  }
  items_[item.key] = item;
  return true;
}

bool published_state::remove(const std::string& key, const store_position& position, time_point now) {
  unproven_.erase(key);
  auto stored = items_.find(key);
  if (stored == items_.end() || stored->second.position > position) {
    return false;
  }
  if (now < grace_end_) {
    expired_.emplace(key, position);
    return false;
  }
  items_.erase(stored);
  expired_.erase(key);
  return true;
}

}  // namespace nutmegarch::membership
