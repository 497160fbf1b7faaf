#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "nutmegarch/routes/route.h"

namespace nutmegarch::routes {

/// Finds the routes of one configuration by host and path prefix. Immutable and therefore thread-safe:
/// running calls keep using their table when a newer configuration replaces it.
class route_table {
 public:
  explicit route_table(route_configuration configuration);

  std::uint64_t version() const { return configuration_.version; }
  const request_limits& limits() const { return configuration_.limits; }
  std::size_t size() const { return configuration_.routes.size(); }

  /// Returns the route of a request: the one with the longest matching path prefix among the routes of its
  /// host, or null when none matches. Case and port of the host and the query of the target are ignored. The
  /// table owns the route.
  const route* find(std::string_view host, std::string_view target) const;

  /// Returns the route with this name, or null. The table owns the route.
  const route* find_by_name(const std::string& name) const;

 private:
  route_configuration configuration_;
  /// Index of each route. The key is the host in lower case, a line feed and the prefix.
  std::unordered_map<std::string, std::size_t> by_host_and_prefix_;
  std::unordered_map<std::string, std::size_t> by_name_;
};

}  // namespace nutmegarch::routes
