#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/load/load_result.h"

namespace nutmegarch::load {

/// An event in a node's timeline during a run.
struct report_event {
  /// Time since the start of the run, in seconds; negative for earlier events.
  double elapsed_seconds = 0;
  std::string host;
  /// Description shown to the reader.
  std::string text;
};

/// A run of the load generator as the report shows it.
struct report_run {
  std::string title;
  load_result result;
  std::vector<report_event> events;
};

/// Reads classes and seconds of a result from the JSON that to_json() writes; the other members keep their
/// defaults. Empty when the text is not JSON or lacks the classes or seconds; throws when their fields are
/// missing or of another type.
std::optional<load_result> from_json(const std::string& text);

/// An HTML page with the runs side by side: offered load and answers by class over time, the nodes' events on
/// the same axis, and the counts and quantiles. The page refers to no other files.
std::string to_html(const std::vector<report_run>& runs);

}  // namespace nutmegarch::load
