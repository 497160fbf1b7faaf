#pragma once

#include <string>
#include <unordered_map>

#include "nutmegarch/policy/sender.h"

namespace nutmegarch::policy {

/// Which services the calls of each inbound route go on to call, so that their levels can be carried back.
/// No I/O; not thread-safe.
class downstream_levels {
 public:
  /// A call of the inbound route has been started at the target.
  void on_started(const std::string& route);
  /// While it ran, the target called `service` on `service_route`.
  void on_called(const std::string& route, const std::string& service, const std::string& service_route);

  /// Calls of the route have gone on to call `service` on `service_route`.
  bool has_called(const std::string& route, const std::string& service,
                  const std::string& service_route) const;

  /// Calls of the route go on to call others.
  bool calls_on(const std::string& route) const;

  /// The lowest level of the services that at least half of the route's calls go on to call.
  admission_level level_below(const std::string& route, const sender& calls, time_point now) const;

 private:
  struct callee {
    std::string service;
    std::string route;
    double calls = 0;
  };

  struct route_state {
    double started = 0;
    std::unordered_map<std::string, callee> callees;
  };

  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
