#pragma once

#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/load/load_result.h"

namespace nutmegarch::load {

/// An event of the fleet during a run.
struct report_event {
  /// Seconds since the run began.
  double at = 0;
  std::string host;
  std::string text;
};

/// One run as it is shown.
struct report_run {
  std::string title;
  load_result found;
  std::vector<report_event> events;
};

/// Reads what to_json() has written; nothing when it is something else.
std::optional<load_result> from_json(const std::string& text);

/// A page with the runs side by side: offered load and answers by class over time, the fleet's events on the
/// same axis, and the quantiles. Needs nothing else to be shown.
std::string to_html(const std::vector<report_run>& runs);

}  // namespace nutmegarch::load
