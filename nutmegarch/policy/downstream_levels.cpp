#include "nutmegarch/policy/downstream_levels.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

constexpr std::size_t max_tracked_routes = 1024;
constexpr std::size_t max_callees_per_route = 32;
/// The counts of a route are halved after this many of its calls, so that they follow changes of the target.
constexpr double decay_interval_calls = 256;
/// Share of the route's calls that must call a service for its level to count.
constexpr double min_call_share = 0.5;

std::string key_of(const std::string& service, const std::string& service_route) {
  return service + ' ' + service_route;
}

}  // namespace

void downstream_levels::on_call_started(const std::string& route) {
  if (routes_.size() >= max_tracked_routes && routes_.count(route) == 0) {
    return;
  }
  route_state& state = routes_[route];
  state.started_calls += 1;
  if (state.started_calls < decay_interval_calls) {
    return;
  }
  state.started_calls /= 2;
  for (std::pair<const std::string, callee>& entry : state.callees) {
    entry.second.call_count /= 2;
  }
}

void downstream_levels::on_downstream_call(const std::string& route, const std::string& service,
                                           const std::string& service_route) {
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    return;
  }
  const std::string key = key_of(service, service_route);
  auto entry = found->second.callees.find(key);
  if (entry == found->second.callees.end()) {
    if (found->second.callees.size() >= max_callees_per_route) {
      return;
    }
    entry = found->second.callees.emplace(key, callee{service, service_route, 0}).first;
  }
  entry->second.call_count += 1;
}

bool downstream_levels::has_called(const std::string& route, const std::string& service,
                                   const std::string& service_route) const {
  auto found = routes_.find(route);
  return found != routes_.end() && found->second.callees.count(key_of(service, service_route)) != 0;
}

bool downstream_levels::has_downstream_calls(const std::string& route) const {
  auto found = routes_.find(route);
  return found != routes_.end() &&
         std::any_of(found->second.callees.begin(), found->second.callees.end(),
                     [&](const std::pair<const std::string, callee>& entry) {
                       return entry.second.call_count >= min_call_share * found->second.started_calls;
                     });
}

admission_level downstream_levels::lowest_downstream_level(const std::string& route,
                                                           const sender& downstream_sender,
                                                           time_point now) const {
  admission_level lowest;
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    return lowest;
  }
  for (const std::pair<const std::string, callee>& entry : found->second.callees) {
    if (entry.second.call_count < min_call_share * found->second.started_calls) {
      continue;
    }
    const admission_level level = downstream_sender.level_of(entry.second.service, entry.second.route, now);
    lowest.cutoff = std::min(lowest.cutoff, level.cutoff);
  }
  return lowest;
}

}  // namespace nutmegarch::policy
