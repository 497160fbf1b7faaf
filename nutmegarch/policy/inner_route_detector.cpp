#include "nutmegarch/policy/inner_route_detector.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// Maximum number of routes; a further route clears the table.
constexpr std::size_t max_routes = 1024;
/// Number of calls of a route after which its counts are halved, so that recent calls weigh more.
constexpr double halve_after_calls = 128;
/// Minimum number of calls before a route can be an inner one.
constexpr double min_calls = 4;
/// Minimum share of calls with a parent of an inner route. Only few calls match a parent by coincidence.
constexpr double min_parent_share = 0.5;
/// Timeouts are sent in whole milliseconds; a call within this of the longest one counts as not shortened.
constexpr duration timeout_tolerance = std::chrono::milliseconds(2);

}  // namespace

void inner_route_detector::on_call(const std::string& route, duration timeout, bool has_parent) {
  if (routes_.size() >= max_routes && routes_.count(route) == 0) {
    routes_.clear();
  }
  route_state& state = routes_[route];
  state.max_timeout = std::max(state.max_timeout, timeout);
  if (timeout + timeout_tolerance > state.max_timeout) {
    return;
  }
  state.calls += 1;
  state.with_parent += has_parent ? 1 : 0;
  if (state.calls >= halve_after_calls) {
    state.calls /= 2;
    state.with_parent /= 2;
  }
}

bool inner_route_detector::is_inner(const std::string& route) const {
  auto found = routes_.find(route);
  return found != routes_.end() && found->second.calls >= min_calls &&
         found->second.with_parent >= min_parent_share * found->second.calls;
}

}  // namespace nutmegarch::policy
