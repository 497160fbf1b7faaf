#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "nutmegarch/routes/route.h"

namespace nutmegarch::routes {

/// The routes of one configuration, by host and path prefix. Immutable, so that calls under way keep theirs.
class route_table {
 public:
  explicit route_table(route_configuration configuration);

  std::uint64_t version() const { return configuration_.version; }
  const request_limits& limits() const { return configuration_.limits; }
  std::size_t size() const { return configuration_.routes.size(); }

  /// The route of a request: of its host, the one with the longest prefix that begins the path. Null when
  /// none matches. Host names are compared without case and without a port; a query is left out.
  const route* find(std::string_view host, std::string_view target) const;

  /// The route with this name; null when there is none.
  const route* find_by_name(const std::string& name) const;

 private:
  route_configuration configuration_;
  /// Index of a route by lower-case host, a line feed and prefix.
  std::unordered_map<std::string, std::size_t> by_place_;
  std::unordered_map<std::string, std::size_t> by_name_;
};

}  // namespace nutmegarch::routes
