#include "nutmegarch/organisations/keeper_route.h"

namespace nutmegarch::organisations {

std::optional<keeper_route::step> keeper_route::first(const owner_table::keepers& keepers, time_point now) {
  return find(keepers, 0, 0, now);
}

std::optional<keeper_route::step> keeper_route::after_silence(const owner_table::keepers& keepers,
                                                              const step& failed, time_point now) {
  paused_until_[failed.address] = now + settings_.pause;
  return find(keepers, failed.rank + 1, failed.redirects, now);
}

std::optional<keeper_route::step> keeper_route::after_redirect(const step& redirected,
                                                               const std::string& address) const {
  if (redirected.redirects >= settings_.max_redirects) {
    return std::nullopt;
  }
  return step{address, redirected.rank, redirected.redirects + 1};
}

std::optional<keeper_route::step> keeper_route::find(const owner_table::keepers& keepers, std::size_t rank,
                                                     int redirects, time_point now) {
  for (; rank < keepers.size(); ++rank) {
    const std::string& address = keepers.at(rank);
    auto paused = paused_until_.find(address);
    if (paused != paused_until_.end() && now >= paused->second) {
      paused_until_.erase(paused);
      paused = paused_until_.end();
    }
    if (!address.empty() && paused == paused_until_.end()) {
      return step{address, rank, redirects};
    }
  }
  return std::nullopt;
}

}  // namespace nutmegarch::organisations
