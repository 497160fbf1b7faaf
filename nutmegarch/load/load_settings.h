#pragma once

#include <string>
#include <variant>
#include <vector>

#include "nutmegarch/core/call.h"
#include "nutmegarch/settings/json_reader.h"

namespace nutmegarch::load {

/// A kind of request that the load generator sends.
struct request_kind {
  std::string method = "GET";
  std::string path = "/";
  /// Service that the request is for; empty for the own service of the node that receives it.
  std::string service;
  /// Relative frequency: a kind's part of all requests is its share divided by the sum of all shares.
  double share = 1;
  /// Class under which the result counts the request. "order" asks the node for a ticket first.
  call_class cls = call_class::browse;
};

/// A step of the demand curve.
struct demand_step {
  /// Time since the start of the run from which on `rate` holds.
  duration start{};
  /// Requests per second.
  double rate = 10;
};

/// Settings of a run of the load generator.
struct load_settings {
  /// Addresses at which the nodes accept callers, as IP:PORT. Requests are distributed round-robin.
  std::vector<std::string> node_addresses;
  /// Time in which new requests are started.
  duration length = std::chrono::seconds(10);
  std::vector<demand_step> demand;
  std::vector<request_kind> requests;
  /// Each try of a request must be answered within this time.
  duration timeout = std::chrono::seconds(1);
  /// Maximum number of retries of a request that failed or timed out.
  int max_retries = 3;
  /// Time between a failed try and the next one.
  duration retry_delay = std::chrono::milliseconds(50);
  /// Seed of the random choice among the kinds of requests.
  std::uint64_t seed = 1;
  /// Maximum number of connections to each node.
  int max_connections = 400;
};

/// Reads settings from their JSON text, which may have comments. Returns the settings, or all errors found.
std::variant<load_settings, std::vector<settings::settings_error>> read_load_settings(
    const std::string& text);

}  // namespace nutmegarch::load
