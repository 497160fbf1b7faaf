#pragma once

#include <map>
#include <string>
#include <unordered_map>

namespace nutmegarch::policy {

/// Detects inner routes: those that only targets call, while they run other calls. In deep call chains the
/// calls of such routes must not be shed, since the work done above them would be lost.
///
/// The node beside the called target detects them by where calls begin. Requests of outside callers enter at
/// the hosts of all services, in proportion to the number of hosts; calls of an inner route begin only beside
/// targets of the services that call it. A route whose calls begin at so few services that this can't be
/// chance is an inner one. The timeouts of calls are no sign: callers and targets choose them freely.
/// No I/O; not thread-safe.
class inner_route_detector {
 public:
  /// Sets the number of published targets of each service.
  void set_target_counts(std::map<std::string, int> counts);

  /// Records a call of the route that began at a host of service `caller`.
  void on_call(const std::string& route, const std::string& caller);

  /// True when the route is an inner one; false for a route with too few calls.
  bool is_inner(const std::string& route) const;

 private:
  struct route_state {
    double calls = 0;
    /// Calls by the service at whose hosts they began. Fractions result from halving.
    std::map<std::string, double> by_caller;
    int calls_since_check = 0;
    bool inner = false;
  };

  bool is_concentrated(const route_state& state) const;

  std::map<std::string, int> target_counts_;
  int all_targets_ = 0;
  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
