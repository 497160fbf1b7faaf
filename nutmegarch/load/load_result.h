#pragma once

#include <array>
#include <string>
#include <vector>

#include "nutmegarch/core/call.h"

namespace nutmegarch::load {

/// Counts of one class.
struct class_result {
  /// Requests that were to be answered.
  long offered = 0;
  /// Answered in time, by the first or a later attempt.
  long answered = 0;
  /// Given up while it is not known whether they ran.
  long unknown = 0;
  /// Given up with the word that they did not run, or failed.
  long refused = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

/// Counts of one second.
struct second_result {
  long offered = 0;
  std::array<long, call_class_count> answered{};
};

/// What a load has found.
struct load_result {
  std::array<class_result, call_class_count> classes;
  std::vector<second_result> seconds;
  long attempts = 0;
  /// Wall time of the begin, for the fleet's events beside it.
  std::int64_t began_unix_ms = 0;
};

/// A table for people, and JSON for programs.
std::string to_table(const load_result& found);
std::string to_json(const load_result& found);

}  // namespace nutmegarch::load
