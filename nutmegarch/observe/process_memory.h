#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace nutmegarch::observe {

/// Memory of a process, in bytes.
struct process_memory {
  /// Resident set.
  std::size_t resident_bytes = 0;
  /// Largest resident set so far.
  std::size_t peak_bytes = 0;
};

/// Reads the text of /proc/self/status. Returns nothing when the resident set is missing or malformed; a
/// missing peak counts as the resident set.
std::optional<process_memory> parse_process_memory(const std::string& status);

/// Memory of this process; nothing where the system does not tell it.
std::optional<process_memory> read_process_memory();

}  // namespace nutmegarch::observe
