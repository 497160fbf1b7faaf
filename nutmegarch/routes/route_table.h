#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "nutmegarch/organisations/organisation_table.h"
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

  /// True when a published route could not be read, so that a request without a route may be one of its.
  bool may_lack_routes() const { return !configuration_.unreadable_routes.empty(); }
  /// True when a published organisation could not be read, so that an unknown key may be one of its keys.
  bool may_lack_organisations() const { return !configuration_.has_all_organisations; }
  /// True when callers identify themselves with keys.
  bool has_organisations() const { return !organisations_.empty() || may_lack_organisations(); }
  const organisations::organisation_table& organisations() const { return organisations_; }

 private:
  route_configuration configuration_;
  /// Index of each route. The key is the host in lower case, a line feed and the prefix.
  std::unordered_map<std::string, std::size_t> by_host_and_prefix_;
  std::unordered_map<std::string, std::size_t> by_name_;
  organisations::organisation_table organisations_;
};

/// Adds to `next` a route without services for each route that it can't read and that `previous` has: its
/// requests are refused, and not sent where a route with a shorter prefix leads.
void add_placeholders(const route_table& previous, route_configuration& next);

}  // namespace nutmegarch::routes
