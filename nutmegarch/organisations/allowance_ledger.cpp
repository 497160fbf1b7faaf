#include "nutmegarch/organisations/allowance_ledger.h"

#include <algorithm>
#include <cmath>

namespace nutmegarch::organisations {

namespace {

/// Number of accounts above which empty ones are dropped.
constexpr std::size_t max_accounts = 20'000;
/// Upper bound of the requests that are granted in a window.
constexpr double max_granted = 1e9;

}  // namespace

allowance_grant allowance_ledger::spend(const std::string& organisation, const allowance& limit,
                                        bool is_stand_in, int wanted, time_point now) {
  account& found = find_or_add(organisation, is_stand_in, now);
  advance(found, now);
  if (is_stand_in && found.total == 0) {
    found.grows_since = now;
  }

  const double window = to_seconds(settings_.window);
  double allowed =
      (limit.rate * window + limit.burst) * (1 + settings_.extra_share) + settings_.extra_requests;
  const duration grown = now - found.grows_since;
  if (grown < settings_.window) {
    allowed = std::min(allowed, 1 + limit.rate * settings_.takeover_share * to_seconds(grown));
  }

  allowance_grant grant;
  grant.allowed = static_cast<int>(std::floor(std::clamp(allowed, 1.0, max_granted)));
  grant.granted = std::clamp(grant.allowed - found.total, 0, std::max(0, wanted));
  found.granted.at(static_cast<std::size_t>(found.last_part) % part_count) += grant.granted;
  found.total += grant.granted;
  grant.total = found.total;
  if (grant.granted < wanted) {
    // Room comes as old grants leave the window, at about the rate.
    const duration refill =
        from_seconds(std::min(to_seconds(settings_.max_retry), (wanted - grant.granted) / limit.rate));
    grant.retry_after = std::clamp(refill, settings_.min_retry, settings_.max_retry);
  }
  return grant;
}

allowance_ledger::account& allowance_ledger::find_or_add(const std::string& organisation, bool is_stand_in,
                                                         time_point now) {
  auto found = accounts_.find(organisation);
  if (found != accounts_.end()) {
    return found->second;
  }
  if (accounts_.size() >= max_accounts) {
    for (auto it = accounts_.begin(); it != accounts_.end();) {
      advance(it->second, now);
      it = it->second.total == 0 ? accounts_.erase(it) : std::next(it);
    }
  }
  account added;
  added.grows_since = is_stand_in ? now : nodes_changed_;
  return accounts_.emplace(organisation, added).first->second;
}

duration allowance_ledger::part_length() const {
  // One part less than there are: the oldest one is counted until all of it has left.
  return (settings_.window + settings_.lease) / static_cast<std::int64_t>(part_count - 1);
}

void allowance_ledger::advance(account& counted, time_point now) const {
  const std::int64_t part = now.time_since_epoch() / part_length();
  const std::int64_t steps = std::min<std::int64_t>(part - counted.last_part, part_count);
  for (std::int64_t i = 1; i <= steps; ++i) {
    int& reused = counted.granted.at(static_cast<std::size_t>(part - steps + i) % part_count);
    counted.total -= reused;
    reused = 0;
  }
  counted.last_part = std::max(counted.last_part, part);
}

}  // namespace nutmegarch::organisations
