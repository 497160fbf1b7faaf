#pragma once

#include <optional>
#include <string>
#include <vector>

namespace nutmegarch::organisations {

/// Requests that an organisation may make, over all nodes together.
struct allowance {
  /// Requests per second; 0 without a limit.
  double rate = 0;
  /// Requests beyond the rate that may come at once.
  double burst = 0;

  friend bool operator==(const allowance&, const allowance&) = default;
};

/// A caller's organisation, as the operator publishes it.
struct organisation {
  std::string name;
  /// Keys with which its callers identify themselves. They must stand in no log, metric or message.
  std::vector<std::string> keys;
  /// Priority of its requests, which goes before that of the route; nullopt for the route's.
  std::optional<int> priority;
  allowance limit;
};

}  // namespace nutmegarch::organisations
