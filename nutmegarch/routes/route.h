#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"
#include "nutmegarch/organisations/organisation.h"

namespace nutmegarch::routes {

/// A service that receives a share of a route's calls.
struct weighted_service {
  std::string service;
  /// Share of the route's calls, relative to the weights of its other services.
  double weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Returns "SERVICE" or "SERVICE:WEIGHT,SERVICE:WEIGHT", for logs.
std::string to_text(const std::vector<weighted_service>& services);

/// Options of the requests to one host under one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Services that receive the calls; at least one.
  std::vector<weighted_service> services;
  /// True when a request may run more than once without harm.
  bool idempotent = false;
  /// Longest time until the caller is answered; zero for no limit.
  duration timeout{};
  /// Latency objective. An answer after this time is worth less to the caller.
  duration objective{};
  /// Priority of the requests; 0 is the highest.
  int priority = 0;
  /// Number of targets that one request may be sent to.
  int max_attempts = 1;
  /// True when requests need no key even if the configuration names organisations.
  bool key_exempt = false;
  /// False when only host and prefix of the published entry could be read. Its requests are refused: a route
  /// with a shorter prefix could send them to a wrong service.
  bool is_readable = true;

  friend bool operator==(const route&, const route&) = default;
};

/// Options of all targets of one service.
struct service_options {
  /// Number of connections that a target accepts from all its callers together.
  int max_connections = 0;
};

/// Limits on the requests and connections of callers.
struct request_limits {
  std::size_t max_head_bytes = 16U << 10U;
  std::size_t max_body_bytes = 1U << 20U;
  duration idle_timeout = std::chrono::seconds(60);
};

/// A published resource that was not taken over as it is.
struct configuration_problem {
  /// Type and name of the resource, for logs. Never holds a key.
  std::string resource;
  std::string message;
};

/// The routing configuration that the operator publishes.
struct route_configuration {
  /// A newer configuration has a larger version.
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service_options> services;
  request_limits limits;
  /// Organisations whose requests carry a key; empty if the deployment has none.
  std::vector<organisations::organisation> organisations;
  std::vector<configuration_problem> problems;
  /// Names of routes of which not even host and prefix could be read. The name is empty if it is unreadable.
  std::vector<std::string> unreadable_routes;
  /// False when an organisation could not be read, so that a key which is not known may be one of its keys.
  bool has_all_organisations = true;
};

}  // namespace nutmegarch::routes
