#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/routes/route.h"

namespace nutmegarch::routes {

/// Distributes the calls of each route over its services by weight, with smooth weighted round robin: the
/// shares are exact even over few calls. No I/O; not thread-safe.
class weighted_round_robin {
 public:
  /// Returns the service for the next call of a route. The route must have at least one service and owns the
  /// result.
  const std::string& choose(const route& split_route);

 private:
  /// Credits of a route's services, by the name of the route.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace nutmegarch::routes
