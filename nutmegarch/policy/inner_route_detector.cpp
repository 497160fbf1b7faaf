#include "nutmegarch/policy/inner_route_detector.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace nutmegarch::policy {

namespace {

/// Maximum number of routes, and of callers of one route; a further one clears the table.
constexpr std::size_t max_routes = 1024;
constexpr std::size_t max_callers = 512;
/// Number of calls of a route after which its counts are halved, so that recent calls weigh more.
constexpr double halve_after_calls = 256;
/// Minimum number of calls before a route can be an inner one, and between two checks of a route.
constexpr int min_calls = 8;
/// Share of a route's calls that must begin at its main callers. A few calls may be odd ones.
constexpr double min_main_caller_share = 0.98;
/// Largest share of all targets that the main callers of an inner route may have. With more, callers that
/// leave out a few hosts for a while look the same.
constexpr double max_target_share = 0.8;
/// Probability of calls of outside callers looking like those of an inner route, at most.
constexpr double max_error_probability = 1e-4;

}  // namespace

void inner_route_detector::set_target_counts(std::map<std::string, int> counts) {
  target_counts_ = std::move(counts);
  all_targets_ = 0;
  for (const std::pair<const std::string, int>& entry : target_counts_) {
    all_targets_ += entry.second;
  }
}

void inner_route_detector::on_call(const std::string& route, const std::string& caller) {
  if (routes_.size() >= max_routes && routes_.count(route) == 0) {
    routes_.clear();
  }
  route_state& state = routes_[route];
  if (state.by_caller.size() >= max_callers && state.by_caller.count(caller) == 0) {
    state = route_state{};
  }
  state.calls += 1;
  state.by_caller[caller] += 1;
  if (state.calls >= halve_after_calls) {
    state.calls /= 2;
    for (std::pair<const std::string, double>& entry : state.by_caller) {
      entry.second /= 2;
    }
  }
  ++state.calls_since_check;
  if (state.calls_since_check >= min_calls) {
    state.calls_since_check = 0;
    state.inner = is_concentrated(state);
  }
}

bool inner_route_detector::is_inner(const std::string& route) const {
  auto found = routes_.find(route);
  return found != routes_.end() && found->second.inner;
}

bool inner_route_detector::is_concentrated(const route_state& state) const {
  if (state.calls < min_calls || all_targets_ == 0) {
    return false;
  }
  // The main callers: the fewest services that began nearly all calls.
  std::vector<std::pair<double, std::string>> callers;
  callers.reserve(state.by_caller.size());
  for (const std::pair<const std::string, double>& entry : state.by_caller) {
    callers.emplace_back(entry.second, entry.first);
  }
  std::sort(callers.begin(), callers.end(), std::greater<>());
  double covered_calls = 0;
  double covered_targets = 0;
  for (const std::pair<double, std::string>& caller : callers) {
    if (covered_calls >= min_main_caller_share * state.calls) {
      break;
    }
    covered_calls += caller.first;
    auto targets = target_counts_.find(caller.second);
    covered_targets += targets == target_counts_.end() ? 0 : targets->second;
  }
  const double target_share = covered_targets / all_targets_;
  // Probability that requests which enter at any host all begin at these services.
  return target_share <= max_target_share && std::pow(target_share, state.calls) <= max_error_probability;
}

}  // namespace nutmegarch::policy
