#include "nutmegarch/policy/downstream_levels.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

constexpr std::size_t most_routes = 1024;
constexpr std::size_t most_callees = 32;
/// After this many calls of a route its counts are halved, so that old habits fade.
constexpr double fade_after_calls = 256;
/// A service counts when this share of the route's calls goes on to call it.
constexpr double least_share = 0.5;

std::string key_of(const std::string& service, const std::string& service_route) {
  return service + ' ' + service_route;
}

}  // namespace

void downstream_levels::on_started(const std::string& route) {
  if (routes_.size() >= most_routes && routes_.count(route) == 0) {
    return;
  }
  route_state& state = routes_[route];
  state.started += 1;
  if (state.started < fade_after_calls) {
    return;
  }
  state.started /= 2;
  for (std::pair<const std::string, callee>& called : state.callees) {
    called.second.calls /= 2;
  }
}

void downstream_levels::on_called(const std::string& route, const std::string& service,
                                  const std::string& service_route) {
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    return;
  }
  const std::string key = key_of(service, service_route);
  auto called = found->second.callees.find(key);
  if (called == found->second.callees.end()) {
    if (found->second.callees.size() >= most_callees) {
      return;
    }
    called = found->second.callees.emplace(key, callee{service, service_route, 0}).first;
  }
  called->second.calls += 1;
}

bool downstream_levels::has_called(const std::string& route, const std::string& service,
                                   const std::string& service_route) const {
  auto found = routes_.find(route);
  return found != routes_.end() && found->second.callees.count(key_of(service, service_route)) != 0;
}

bool downstream_levels::calls_on(const std::string& route) const {
  auto found = routes_.find(route);
  return found != routes_.end() &&
         std::any_of(found->second.callees.begin(), found->second.callees.end(),
                     [&](const std::pair<const std::string, callee>& called) {
                       return called.second.calls >= least_share * found->second.started;
                     });
}

admission_level downstream_levels::level_below(const std::string& route, const sender& calls,
                                               time_point now) const {
  admission_level lowest;
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    return lowest;
  }
  for (const std::pair<const std::string, callee>& called : found->second.callees) {
    if (called.second.calls < least_share * found->second.started) {
      continue;
    }
    const admission_level level = calls.level_of(called.second.service, called.second.route, now);
    lowest.cutoff = std::min(lowest.cutoff, level.cutoff);
  }
  return lowest;
}

}  // namespace nutmegarch::policy
