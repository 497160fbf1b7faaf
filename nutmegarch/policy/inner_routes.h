#pragma once

#include <string>
#include <unordered_map>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Which routes the target beside this node calls while it runs other calls. A call below another one ends
/// with it, unless the route's own patience is shorter: then its end says nothing. A single call tells
/// little, since a parent may be found by chance; the share over many does. Answers the load of deep chains,
/// whose inner calls must not be shed. No I/O; not thread-safe.
class inner_routes {
 public:
  /// A call of the route has left this host. `patience` is how long its sender waits; `has_parent`: a running
  /// call was found that ends with it.
  void on_call(const std::string& route, duration patience, bool has_parent);

  /// Most calls of the route are made by the target.
  bool is_inner(const std::string& route) const;

 private:
  struct route_state {
    /// Of calls whose patience was shorter than the route's own.
    double calls = 0;
    double with_parent = 0;
    /// Longest patience seen: that of calls that no parent cuts short.
    duration longest{};
  };

  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
