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

/// Parses words with TCLAP. Returns an exit code when the command is to end at once: for --help, --version
/// and mistakes.
std::optional<int> parse(TCLAP::CmdLine& line, const std::string& name,
                         const std::vector<std::string>& words);

/// Largest file that is read, in bytes: results of loads and rules.
constexpr std::size_t most_file_bytes = 64U << 20U;
/// Largest settings file, in bytes. A running node reads it beside what it holds for its calls.
constexpr std::size_t most_settings_bytes = 1U << 20U;

/// Reads a file whole; nothing when it can't be read or is larger.
std::optional<std::string> read_file(const std::string& path, std::size_t most_bytes = most_file_bytes);

/// Reads a settings file with `read`, one of the read_..._settings() functions. Prints what is wrong with it;
/// then nothing is returned, and the command ends with bad_usage.
template <typename Settings>
std::optional<Settings> read_settings(
    const std::string& path,
    std::variant<Settings, std::vector<settings::settings_error>> (*read)(const std::string& text)) {
  const std::optional<std::string> text = read_file(path, most_settings_bytes);
  if (!text) {
    std::cerr << path << ": can't be read, or is too large\n";
    return std::nullopt;
  }
  std::variant<Settings, std::vector<settings::settings_error>> found = read(*text);
  if (std::holds_alternative<Settings>(found)) {
    return std::get<Settings>(std::move(found));
  }
  for (const settings::settings_error& error : std::get<std::vector<settings::settings_error>>(found)) {
    std::cerr << settings::to_text(error, path) << '\n';
  }
  return std::nullopt;
}

/// What GET of a path at a node's administration address answers; nothing when there is no answer of status
/// 200.
std::optional<std::string> get(const std::string& address, const std::string& path);

}  // namespace nutmegarch::command
