#pragma once

#include <string>
#include <unordered_map>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Detects inner routes: those that the target beside this node calls while it runs other calls. In deep call
/// chains the calls of such routes must not be shed, since the work done above them would be lost. An inner
/// call has the deadline of its parent, unless the route's own timeout is shorter; calls with that timeout
/// are not counted. A matching parent may be a coincidence, so the share of many calls decides. No I/O; not
/// thread-safe.
class inner_route_detector {
 public:
  /// Records a call of the route that the target sends. `timeout` is how long the target waits for the
  /// answer; `has_parent` tells whether a running call with the same deadline was found.
  void on_call(const std::string& route, duration timeout, bool has_parent);

  /// True when most calls of the route have a parent; false for a route with too few calls.
  bool is_inner(const std::string& route) const;

 private:
  struct route_state {
    /// Number of calls whose timeout was shorter than the route's own, and of those with a parent. Fractions
    /// result from halving.
    double calls = 0;
    double with_parent = 0;
    /// Longest timeout seen: the route's own, which no parent's deadline has shortened.
    duration max_timeout{};
  };

  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
