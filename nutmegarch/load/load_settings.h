#pragma once

#include <string>
#include <variant>
#include <vector>

#include "nutmegarch/core/call.h"
#include "nutmegarch/settings/json_reader.h"

namespace nutmegarch::load {

/// One kind of request.
struct request_kind {
  std::string method = "GET";
  std::string path = "/";
  /// Service that it is for, when it is not the entry's own.
  std::string service;
  /// Share of all requests; shares are weighed against each other.
  double share = 1;
  /// Class under which it is counted; "order" asks for a ticket first.
  call_class cls = call_class::browse;
};

/// From `at` on, `rate` requests a second.
struct demand_step {
  duration at{};
  double rate = 10;
};

/// Settings of a load.
struct load_settings {
  /// Callers' addresses of nodes, as IP:PORT, taken in turn.
  std::vector<std::string> entries;
  duration length = std::chrono::seconds(10);
  std::vector<demand_step> demand;
  std::vector<request_kind> requests;
  /// A request must be answered within this time.
  duration patience = std::chrono::seconds(1);
  /// Resends of a request that failed or was late.
  int resends = 3;
  duration resend_delay = std::chrono::milliseconds(50);
  std::uint64_t seed = 1;
  /// Connections to each entry.
  int connections = 400;
};

/// Reads settings from their JSON text: either all of them, or all mistakes.
std::variant<load_settings, std::vector<settings::settings_error>> read_load_settings(
    const std::string& text);

}  // namespace nutmegarch::load
