#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::routes {

/// One of the services that share the calls of a route.
struct weighted_service {
  std::string service;
  /// Part of the route's calls, relative to the other services of the route.
  double weight = 1;

  friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// "SERVICE" or "SERVICE:WEIGHT,SERVICE:WEIGHT", for logs.
std::string to_text(const std::vector<weighted_service>& services);

/// What holds for requests to one host under one path prefix.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// At least one.
  std::vector<weighted_service> services;
  /// Requests may run more than once without harm.
  bool idempotent = false;
  /// Longest time that a caller is kept waiting; zero for no bound.
  duration timeout{};
  /// Latency objective: a later answer is worth less to the caller.
  duration objective{};
  /// Importance; 0 is the most important.
  int priority = 0;
  /// Targets to which one request may be sent.
  int most_attempts = 1;

  friend bool operator==(const route&, const route&) = default;
};

/// What holds for all targets of one service.
struct service_options {
  /// Connections that one target accepts from all its callers.
  int most_connections = 0;
};

/// Bounds on what callers may send.
struct request_limits {
  std::size_t most_head_bytes = 16U << 10U;
  std::size_t most_body_bytes = 1U << 20U;
  duration idle_timeout = std::chrono::seconds(60);
};

/// A configuration as the operator publishes it.
struct route_configuration {
  /// Larger is newer.
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service_options> services;
  request_limits limits;
};

}  // namespace nutmegarch::routes
