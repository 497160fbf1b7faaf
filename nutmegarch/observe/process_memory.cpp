#include "nutmegarch/observe/process_memory.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace nutmegarch::observe {

namespace {

constexpr std::size_t bytes_per_kilobyte = 1024;

/// The value of a line "NAME:   123 kB", in bytes.
std::optional<std::size_t> read_field(const std::string& text, const std::string& name) {
  const std::string prefix = name + ':';
  std::size_t begin = text.compare(0, prefix.size(), prefix) == 0 ? 0 : text.find('\n' + prefix);
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  begin = text.find_first_of("0123456789\n", text.find(':', begin));
  std::size_t kilobytes = 0;
  if (begin == std::string::npos ||
      std::from_chars(text.data() + begin, text.data() + text.size(), kilobytes).ec != std::errc()) {
    return std::nullopt;
  }
  return kilobytes * bytes_per_kilobyte;
}

}  // namespace

std::optional<process_memory> parse_process_memory(const std::string& status) {
  const std::optional<std::size_t> resident = read_field(status, "VmRSS");
  if (!resident) {
    return std::nullopt;
  }
  return process_memory{*resident, std::max(*resident, read_field(status, "VmHWM").value_or(0))};
}

std::optional<process_memory> read_process_memory() {
  std::ostringstream text;
  text << std::ifstream("/proc/self/status").rdbuf();
  return parse_process_memory(text.str());
}

}  // namespace nutmegarch::observe
