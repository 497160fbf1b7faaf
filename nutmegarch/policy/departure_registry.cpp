#include "nutmegarch/policy/departure_registry.h"

#include <algorithm>
#include <utility>

namespace nutmegarch::policy {

const char* name_of(departure_sign sign) {
  constexpr std::array<const char*, departure_sign_count> names = {"published", "answered", "unlisted",
                                                                   "closed-connection"};
  return names.at(static_cast<std::size_t>(sign));
}

bool departure_registry::record::accept(const target_process& process) {
  if (process.started_ms > started_ms) {
    started_ms = process.started_ms;
    signs = {};
  }
  return process.started_ms == 0 || process.started_ms == started_ms;
}

void departure_registry::on_listing(const std::vector<listed_process>& listing, time_point now) {
  ++listing_;
  for (const listed_process& listed : listing) {
    record& known = records_[listed.process.instance];
    known.listing = listing_;
    known.at(departure_sign::unlisted).reset();
    if (known.accept(listed.process) && listed.is_leaving && !known.at(departure_sign::published)) {
      known.at(departure_sign::published) = now;
    }
  }
  unlisted_count_ = 0;
  for (std::pair<const std::string, record>& entry : records_) {
    record& known = entry.second;
    if (is_listed(known)) {
      continue;
    }
    ++unlisted_count_;
    if (known.listing != 0 && !known.at(departure_sign::unlisted)) {
      known.at(departure_sign::unlisted) = now;
      known.last_change = now;
    }
  }
  limit_unlisted();
}

bool departure_registry::add_sign(const target_process& process, departure_sign sign, time_point now) {
  const std::pair<std::map<std::string, record>::iterator, bool> added =
      records_.try_emplace(process.instance);
  record& known = added.first->second;
  if (!known.accept(process) || known.at(sign)) {
    return false;
  }
  known.at(sign) = now;
  known.last_change = now;
  if (added.second) {
    ++unlisted_count_;
    limit_unlisted();
  }
  return true;
}

bool departure_registry::is_leaving(const target_process& process) const {
  const record* const known = find(process.instance);
  if (known == nullptr || process.started_ms > known->started_ms) {
    return false;
  }
  const bool is_replaced = process.started_ms != 0 && process.started_ms < known->started_ms;
  return is_replaced || known->has_announced() || known->at(departure_sign::unlisted);
}

std::optional<std::int64_t> departure_registry::announced_start(const target_process& process) const {
  const record* const known = find(process.instance);
  const bool is_known = known != nullptr && known->has_announced() &&
                        (process.started_ms == 0 || process.started_ms == known->started_ms);
  return is_known ? std::optional<std::int64_t>(known->started_ms) : std::nullopt;
}

std::int64_t departure_registry::newest_start(const std::string& instance) const {
  const record* const known = find(instance);
  return known == nullptr ? 0 : known->started_ms;
}

std::optional<duration> departure_registry::age_of(const std::string& instance, departure_sign sign,
                                                   time_point now) const {
  const record* const known = find(instance);
  const bool is_taken = known != nullptr && known->at(sign);
  return is_taken ? std::optional<duration>(now - *known->at(sign)) : std::nullopt;
}

std::optional<duration> departure_registry::leaving_for(const std::string& instance, time_point now) const {
  if (!is_leaving({instance, 0})) {
    return std::nullopt;
  }
  duration longest{};
  for (const departure_sign sign :
       {departure_sign::published, departure_sign::answered, departure_sign::unlisted}) {
    longest = std::max(longest, age_of(instance, sign, now).value_or(duration{}));
  }
  return longest;
}

const departure_registry::record* departure_registry::find(const std::string& instance) const {
  auto found = records_.find(instance);
  return found == records_.end() ? nullptr : &found->second;
}

void departure_registry::limit_unlisted() {
  if (unlisted_count_ <= settings_.max_unlisted) {
    return;
  }
  std::vector<std::pair<time_point, std::string>> unlisted;
  for (const std::pair<const std::string, record>& entry : records_) {
    if (!is_listed(entry.second)) {
      unlisted.emplace_back(entry.second.last_change, entry.first);
    }
  }
  // Half of them, so that the next ones cost nothing.
  auto middle = unlisted.begin() + static_cast<std::ptrdiff_t>(unlisted.size() - settings_.max_unlisted / 2);
  std::nth_element(unlisted.begin(), middle, unlisted.end());
  for (auto it = unlisted.begin(); it != middle; ++it) {
    records_.erase(it->second);
  }
  unlisted_count_ = static_cast<std::size_t>(unlisted.end() - middle);
}

}  // namespace nutmegarch::policy
