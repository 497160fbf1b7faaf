#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::observe {

/// Weight of a log line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// Settings of the log.
struct log_settings {
  log_level level = log_level::info;
  /// One JSON object a line instead of key=value pairs.
  bool json = false;
};

/// Fields of a log line.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// Whole milliseconds, as in "250".
std::string to_milliseconds_text(duration value);

/// Sets the log up: lines go to the standard output, never to a file. Call it once, before the first line.
/// Lines wait in a bounded buffer for flush_log().
void configure_log(const log_settings& settings);

/// Writes the lines that wait, as far as the reader of the output takes them; waits at most `patience` for
/// it. Says how many lines were dropped since the last call.
void flush_log(duration patience = {});

/// Bytes of the lines that wait for flush_log(). Any thread may call it.
std::size_t waiting_log_bytes();

/// Writes one line for one event. Any thread may call it.
void log_event(log_level level, const std::string& event, const log_fields& fields);

}  // namespace nutmegarch::observe
