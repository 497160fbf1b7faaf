#include "nutmegarch/routes/weighted_round_robin.h"

#include <algorithm>
#include <cassert>

namespace nutmegarch::routes {

namespace {

/// Number of routes whose credits are kept. When it is exceeded, all credits are reset.
constexpr std::size_t max_routes = 4096;

}  // namespace

const std::string& weighted_round_robin::choose(const route& split_route) {
  assert(!split_route.services.empty());
  if (split_route.services.size() == 1) {
    return split_route.services.front().service;
  }
  if (credits_.size() >= max_routes && credits_.count(split_route.name) == 0) {
    credits_.clear();
  }
  std::vector<double>& credits = credits_[split_route.name];
  credits.resize(split_route.services.size());

  // Each service is credited its weight. The one with the most credit is selected and debited the total.
  double total = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits.at(i) += split_route.services.at(i).weight;
    total += split_route.services.at(i).weight;
  }
  auto selected = std::max_element(credits.begin(), credits.end());
  *selected -= total;
  return split_route.services.at(static_cast<std::size_t>(selected - credits.begin())).service;
}

}  // namespace nutmegarch::routes
