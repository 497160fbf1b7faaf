#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/routes/route.h"

namespace nutmegarch::routes {

/// Shares the calls of routes among their services by weight (smooth weighted round robin), so that the
/// shares hold over short spans, too. No I/O; not thread-safe.
class split_choice {
 public:
  /// The service of the next call of a route, which has at least one.
  const std::string& choose(const route& of);

 private:
  /// Credit of each service of a route, by the route's name.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace nutmegarch::routes
