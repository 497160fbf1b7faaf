#pragma once

#include <string>
#include <unordered_map>

namespace nutmegarch::policy {

/// Which routes the target beside this node calls while it runs other calls. A single call tells little,
/// since its parent may not be found or be found by chance; the share over many does. Answers the load of
/// deep chains, whose inner calls must not be shed. No I/O; not thread-safe.
class inner_routes {
 public:
  /// A call of the route has left this host; `has_parent`: a running call was found that ends with it.
  void on_call(const std::string& route, bool has_parent);

  /// Most calls of the route are made by the target.
  bool is_inner(const std::string& route) const;

 private:
  struct route_state {
    double calls = 0;
    double with_parent = 0;
  };

  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
