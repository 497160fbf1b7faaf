#include "nutmegarch/organisations/allowance_ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace nutmegarch::organisations {

namespace {

/// Number of accounts above which unused ones are dropped.
constexpr std::size_t max_accounts = 20'000;
/// Upper bound of the requests that are granted at once.
constexpr double max_granted = 1e9;

}  // namespace

void allowance_ledger::on_tick(time_point now) {
  running_ = running_time(now);
  if (is_in_gap(now)) {
    resumes_ = now + settings_.max_tick_gap;
  }
  last_tick_ = now;
}

allowance_grant allowance_ledger::spend(const std::string& organisation, const allowance& limit,
                                        const keeper_place& place, int wanted, time_point now) {
  account& found = find_or_add(organisation, now);
  // A first keeper that is asked has been left by no node. A stand-in may have been left since, for the first
  // keeper, and asked again.
  const bool was_left = place.is_stand_in && found.last_used < place.alone_since;
  if (!found.is_open || found.is_stand_in != place.is_stand_in || was_left) {
    open(found, limit, place, now);
  }
  const double capacity = capacity_of(limit);
  const duration running = running_time(now);
  found.available =
      std::min(capacity, found.available + fill_rate_of(limit) * to_seconds(running - found.updated));
  found.updated = running;
  found.last_used = now;

  allowance_grant grant;
  grant.capacity = static_cast<int>(std::floor(capacity));
  grant.granted = std::clamp(static_cast<int>(std::floor(found.available)), 0, std::max(0, wanted));
  found.available -= grant.granted;
  grant.available = static_cast<int>(std::floor(found.available));
  if (grant.granted < wanted) {
    const duration refill =
        from_seconds(std::min(to_seconds(settings_.max_retry), (wanted - grant.granted) / limit.rate));
    grant.retry_after = std::clamp(refill, settings_.min_retry, settings_.max_retry);
  }
  return grant;
}

double allowance_ledger::capacity_of(const allowance& limit) const {
  // What is granted before a window and used in it takes a part of the extra, and so does the faster filling.
  const duration counted = settings_.window + settings_.lease;
  const double filled = fill_rate_of(limit) * to_seconds(counted) - limit.rate * to_seconds(settings_.window);
  return std::clamp(limit.burst + extra_of(limit) - filled, 1.0, max_granted);
}

double allowance_ledger::extra_of(const allowance& limit) const {
  return settings_.extra_share * (limit.rate * to_seconds(settings_.window) + limit.burst) +
         settings_.extra_requests;
}

allowance_ledger::account& allowance_ledger::find_or_add(const std::string& organisation, time_point now) {
  auto found = accounts_.find(organisation);
  if (found != accounts_.end()) {
    return found->second;
  }
  if (accounts_.size() >= max_accounts) {
    for (auto it = accounts_.begin(); it != accounts_.end();) {
      it = now - it->second.last_used > settings_.window ? accounts_.erase(it) : std::next(it);
    }
  }
  return accounts_[organisation];
}

void allowance_ledger::open(account& opened, const allowance& limit, const keeper_place& place,
                            time_point now) {
  const double credit = settings_.first_credit_share * extra_of(limit);
  const bool has_credit = opened.credited == time_point{} || now - opened.credited > settings_.window;
  opened.available = has_credit ? credit : std::min(opened.available, credit);
  if (has_credit) {
    opened.credited = now;
  }
  opened.is_open = true;
  opened.is_stand_in = place.is_stand_in;
  opened.updated = std::max(duration{}, running_time(now) - std::max(duration{}, now - place.alone_since));
}

duration allowance_ledger::running_time(time_point now) const {
  return last_tick_ == time_point{} || has_stood_still(now) ? running_ : running_ + (now - last_tick_);
}

}  // namespace nutmegarch::organisations
