#include "nutmegarch/policy/crash_registry.h"

namespace nutmegarch::policy {

void crash_registry::on_crash(std::uint64_t fingerprint, time_point now) {
  if (!has_succeeded(fingerprint, now)) {
    set(fingerprint, crashes(fingerprint, now) + 1, now);
  }
}

void crash_registry::on_success(std::uint64_t fingerprint, time_point now) {
  // A full table is emptied; the requests that matter come back soon.
  if (succeeded_.size() >= settings_.success_capacity) {
    succeeded_.clear();
  }
  succeeded_[fingerprint] = now;
  erase(fingerprint);
}

bool crash_registry::merge(const crash_mark& mark, time_point now) {
  if (has_succeeded(mark.fingerprint, now) || mark.crashes <= crashes(mark.fingerprint, now)) {
    return false;
  }
  set(mark.fingerprint, mark.crashes, now);
  return true;
}

int crash_registry::crashes(std::uint64_t fingerprint, time_point now) const {
  auto found = entries_.find(fingerprint);
  return found == entries_.end() || now >= found->second.expires ? 0 : found->second.crashes;
}

std::vector<crash_mark> crash_registry::news(time_point now) const {
  std::vector<crash_mark> told;
  for (auto it = order_.rbegin(); it != order_.rend() && told.size() < settings_.most_news; ++it) {
    const entry& known = entries_.at(*it);
    const bool is_recent = now < known.expires - settings_.lifetime + settings_.news_lifetime;
    const bool is_refused = now < known.expires && known.crashes >= settings_.most_crashes;
    if (is_recent || is_refused) {
      told.push_back({*it, known.crashes});
    }
  }
  return told;
}

bool crash_registry::has_succeeded(std::uint64_t fingerprint, time_point now) const {
  auto success = succeeded_.find(fingerprint);
  return success != succeeded_.end() && now - success->second < settings_.success_lifetime;
}

void crash_registry::erase(std::uint64_t fingerprint) {
  auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    order_.erase(found->second.place);
    entries_.erase(found);
  }
}

void crash_registry::set(std::uint64_t fingerprint, int crashes, time_point now) {
  auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    if (entries_.size() >= settings_.capacity) {
      entries_.erase(order_.front());
      order_.pop_front();
    }
    found = entries_.emplace(fingerprint, entry{}).first;
  } else {
    order_.erase(found->second.place);
  }
  order_.push_back(fingerprint);
  found->second = {crashes, now + settings_.lifetime, std::prev(order_.end())};
}

}  // namespace nutmegarch::policy
