#include "nutmegarch/policy/crash_registry.h"

namespace nutmegarch::policy {

void crash_registry::on_crash(std::uint64_t fingerprint, time_point now) {
  if (!has_succeeded(fingerprint, now)) {
    set_crashes(fingerprint, crashes(fingerprint, now) + 1, now);
  }
}

void crash_registry::on_success(std::uint64_t fingerprint, time_point now) {
  // A full table is cleared: frequent requests are soon recorded again.
  if (last_success_.size() >= settings_.success_capacity) {
    last_success_.clear();
  }
  last_success_[fingerprint] = now;
  erase(fingerprint);
}

bool crash_registry::merge(const crash_mark& mark, time_point now) {
  if (has_succeeded(mark.fingerprint, now) || mark.crashes <= crashes(mark.fingerprint, now)) {
    return false;
  }
  set_crashes(mark.fingerprint, mark.crashes, now);
  return true;
}

int crash_registry::crashes(std::uint64_t fingerprint, time_point now) const {
  auto found = entries_.find(fingerprint);
  return found == entries_.end() || now >= found->second.expires ? 0 : found->second.crashes;
}

std::vector<crash_mark> crash_registry::gossip_marks(time_point now) const {
  std::vector<crash_mark> marks;
  for (auto it = by_crash_time_.rbegin();
       it != by_crash_time_.rend() && marks.size() < settings_.max_gossip_marks; ++it) {
    const entry& recorded = entries_.at(*it);
    const bool is_recent = now < recorded.expires - settings_.lifetime + settings_.gossip_lifetime;
    const bool is_over_limit = now < recorded.expires && recorded.crashes >= settings_.max_crashes;
    if (is_recent || is_over_limit) {
      marks.push_back({*it, recorded.crashes});
    }
  }
  return marks;
}

bool crash_registry::has_succeeded(std::uint64_t fingerprint, time_point now) const {
  auto success = last_success_.find(fingerprint);
  return success != last_success_.end() && now - success->second < settings_.success_lifetime;
}

void crash_registry::erase(std::uint64_t fingerprint) {
  auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    by_crash_time_.erase(found->second.position);
    entries_.erase(found);
  }
}

void crash_registry::set_crashes(std::uint64_t fingerprint, int crashes, time_point now) {
  auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    if (entries_.size() >= settings_.capacity) {
      entries_.erase(by_crash_time_.front());
      by_crash_time_.pop_front();
    }
    found = entries_.emplace(fingerprint, entry{}).first;
  } else {
    by_crash_time_.erase(found->second.position);
  }
  by_crash_time_.push_back(fingerprint);
  found->second = {crashes, now + settings_.lifetime, std::prev(by_crash_time_.end())};
}

}  // namespace nutmegarch::policy
