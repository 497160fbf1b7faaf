#pragma once

#include <string>
#include <vector>

namespace nutmegarch::command {

/// Exit codes of every command.
enum exit_code : int { done = 0, failed = 1, bad_usage = 2 };

/// Runs the command that the words name. Returns the exit code.
int run(const std::vector<std::string>& words);

/// @name The commands, each with the words after its name
/// @{
int run_node(const std::vector<std::string>& words);
int run_rules(const std::vector<std::string>& words);
int run_status(const std::vector<std::string>& words);
int run_timeline(const std::vector<std::string>& words);
int run_load(const std::vector<std::string>& words);
/// @}

/// Version of the program, for --version.
std::string version();

}  // namespace nutmegarch::command
