#pragma once

#include <string>
#include <unordered_map>

#include "nutmegarch/policy/sender.h"

namespace nutmegarch::policy {

/// Records which services and routes the calls of each inbound route call in turn, and finds the lowest of
/// their admission levels, which the node reports to its callers. No I/O; not thread-safe.
class downstream_levels {
 public:
  /// A call of the inbound route has started at the target.
  void on_call_started(const std::string& route);
  /// While a call of `route` ran, the target called `service` on `service_route`.
  void on_downstream_call(const std::string& route, const std::string& service,
                          const std::string& service_route);

  /// True when calls of `route` have called `service` on `service_route`.
  bool has_called(const std::string& route, const std::string& service,
                  const std::string& service_route) const;

  /// True when at least half of the route's calls call one same service and route.
  bool has_downstream_calls(const std::string& route) const;

  /// The lowest admission level of the service routes that at least half of the route's calls call, as known
  /// to `downstream_sender`; the level that admits every call when there are none.
  admission_level lowest_downstream_level(const std::string& route, const sender& downstream_sender,
                                          time_point now) const;

 private:
  struct callee {
    std::string service;
    std::string route;
    double call_count = 0;
  };

  struct route_state {
    double started_calls = 0;
    std::unordered_map<std::string, callee> callees;
  };

  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
