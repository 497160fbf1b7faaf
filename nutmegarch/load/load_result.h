#pragma once

#include <array>
#include <string>
#include <vector>

#include "nutmegarch/core/call.h"

namespace nutmegarch::load {

/// Counts and latencies of one call class.
struct class_result {
  /// Requests that the load generator started. Retries don't count.
  long offered = 0;
  /// Requests that were answered within the timeout, at the first try or after retries.
  long answered = 0;
  /// Requests given up after the last retry that may have run.
  long unknown = 0;
  /// Requests given up after the last retry that are known not to have run.
  long refused = 0;
  /// Quantiles of the latency of the successful tries, in milliseconds; 0 when there are none.
  double p50_ms = 0;
  double p99_ms = 0;
};

/// Counts of one second of a run.
struct second_result {
  /// Requests started in this second.
  long offered = 0;
  /// Requests answered in this second, by call_class.
  std::array<long, call_class_count> answered{};
};

/// Result of a run of the load generator.
struct load_result {
  /// Indexed by call_class.
  std::array<class_result, call_class_count> classes;
  /// Indexed by the whole seconds since the start of the run.
  std::vector<second_result> seconds;
  /// Requests sent, including retries and the second request of an order, which carries its ticket.
  long attempts = 0;
  /// Wall-clock time of the start, in milliseconds since the Unix epoch. It relates the run to the events in
  /// the nodes' timelines.
  std::int64_t began_unix_ms = 0;
};

/// The counts and quantiles of each class as a text table.
std::string to_table(const load_result& result);
/// The whole result as a JSON object.
std::string to_json(const load_result& result);

}  // namespace nutmegarch::load
