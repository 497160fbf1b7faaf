#pragma once

#include <string>
#include <vector>

namespace nutmegarch::command {

/// Exit codes of all commands: success, failure, and wrong usage or invalid input.
enum exit_code : int { done = 0, failed = 1, bad_usage = 2 };

/// Runs the command that the first argument names. Returns the exit code.
int run(const std::vector<std::string>& args);

/// @name The commands. They take the arguments after their name and return the exit code.
/// @{
int run_node(const std::vector<std::string>& args);
int run_rules(const std::vector<std::string>& args);
int run_status(const std::vector<std::string>& args);
int run_timeline(const std::vector<std::string>& args);
int run_load(const std::vector<std::string>& args);
/// @}

/// Version of the program, for --version.
std::string version();

}  // namespace nutmegarch::command
