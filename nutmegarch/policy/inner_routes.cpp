#include "nutmegarch/policy/inner_routes.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// Most routes that are kept; beyond it all start anew.
constexpr std::size_t most_routes = 1024;
/// After this many calls of a route its counts are halved, so that old habits fade.
constexpr double fade_after_calls = 128;
/// Calls of a route before its share counts.
constexpr double least_calls = 4;
/// Share of calls with a parent from which on a route is an inner one. Chance finds a parent for few.
constexpr double least_share = 0.5;
/// Patience is told in whole milliseconds; a call within this of the longest counts as not cut short.
constexpr duration patience_step = std::chrono::milliseconds(2);

}  // namespace

void inner_routes::on_call(const std::string& route, duration patience, bool has_parent) {
  if (routes_.size() >= most_routes && routes_.count(route) == 0) {
    routes_.clear();
  }
  route_state& state = routes_[route];
  state.longest = std::max(state.longest, patience);
  if (patience + patience_step > state.longest) {
    return;
  }
  state.calls += 1;
  state.with_parent += has_parent ? 1 : 0;
  if (state.calls >= fade_after_calls) {
    state.calls /= 2;
    state.with_parent /= 2;
  }
}

bool inner_routes::is_inner(const std::string& route) const {
  auto found = routes_.find(route);
  return found != routes_.end() && found->second.calls >= least_calls &&
         found->second.with_parent >= least_share * found->second.calls;
}

}  // namespace nutmegarch::policy
