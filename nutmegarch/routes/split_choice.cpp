#include "nutmegarch/routes/split_choice.h"

#include <algorithm>
#include <cassert>

namespace nutmegarch::routes {

namespace {

/// Most routes whose credits are kept; beyond it all start anew.
constexpr std::size_t most_routes = 4096;

}  // namespace

const std::string& split_choice::choose(const route& of) {
  assert(!of.services.empty());
  if (of.services.size() == 1) {
    return of.services.front().service;
  }
  if (credits_.size() >= most_routes && credits_.count(of.name) == 0) {
    credits_.clear();
  }
  std::vector<double>& credits = credits_[of.name];
  credits.resize(of.services.size());

  // Each gets its weight; the richest is chosen and pays for all.
  double total = 0;
  for (std::size_t i = 0; i < credits.size(); ++i) {
    credits.at(i) += of.services.at(i).weight;
    total += of.services.at(i).weight;
  }
  auto richest = std::max_element(credits.begin(), credits.end());
  *richest -= total;
  return of.services.at(static_cast<std::size_t>(richest - credits.begin())).service;
}

}  // namespace nutmegarch::routes
