#pragma once

#include <optional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace nutmegarch::command {

/// Parses words with TCLAP. Returns an exit code when the command is to end at once: for --help, --version
/// and mistakes.
std::optional<int> parse(TCLAP::CmdLine& line, const std::string& name,
                         const std::vector<std::string>& words);

/// Reads a file whole; nothing when it can't be read.
std::optional<std::string> read_file(const std::string& path);

/// What GET of a path at a node's administration address answers; nothing when there is no answer of status
/// 200.
std::optional<std::string> get(const std::string& address, const std::string& path);

}  // namespace nutmegarch::command
