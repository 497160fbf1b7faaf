#pragma once

#include <cstddef>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <tclap/CmdLine.h>

#include "nutmegarch/settings/json_reader.h"

namespace nutmegarch::command {

/// Parses the arguments of the command `name` with TCLAP. Returns an exit code when the command must end at
/// once: after --help and --version, and after a usage error, which it prints.
std::optional<int> parse(TCLAP::CmdLine& line, const std::string& name, const std::vector<std::string>& args);

/// Maximum size of a load result or a rule file, in bytes.
constexpr std::size_t max_file_bytes = 64U << 20U;
/// Maximum size of a settings file, in bytes. It is small because a node also reads the file while it runs,
/// when its calls need the memory.
constexpr std::size_t max_settings_bytes = 1U << 20U;

/// Reads a whole file. Empty when the file can't be read or is larger than `max_bytes`.
std::optional<std::string> read_file(const std::string& path, std::size_t max_bytes = max_file_bytes);

/// Reads a settings file with `read`, one of the read_..._settings() functions. When the file is invalid,
/// prints its errors and returns nothing; the command then ends with bad_usage.
template <typename Settings>
std::optional<Settings> read_settings(
    const std::string& path,
    std::variant<Settings, std::vector<settings::settings_error>> (*read)(const std::string& text)) {
  const std::optional<std::string> text = read_file(path, max_settings_bytes);
  if (!text) {
    std::cerr << path << ": can't be read, or is too large\n";
    return std::nullopt;
  }
  std::variant<Settings, std::vector<settings::settings_error>> loaded = read(*text);
  if (std::holds_alternative<Settings>(loaded)) {
    return std::get<Settings>(std::move(loaded));
  }
  for (const settings::settings_error& error : std::get<std::vector<settings::settings_error>>(loaded)) {
    std::cerr << settings::to_text(error, path) << '\n';
  }
  return std::nullopt;
}

/// Sends a GET request to a node's administration address and returns the body of the answer. Empty when no
/// answer with status 200 arrives within 3 seconds. Blocks the calling thread.
std::optional<std::string> http_get(const std::string& address, const std::string& path);

}  // namespace nutmegarch::command
