#include <iostream>
#include <string>
#include <vector>

#include "nutmegarch/command/blocked_signals.h"
#include "nutmegarch/command/commands.h"

namespace {

/// Runs before all other initialization of the program: that takes long on a loaded machine, and a signal
/// that arrived meanwhile would take its default action.
[[gnu::constructor(101)]] void block_signals() { nutmegarch::command::blocked_signals::block(); }

}  // namespace

/// Runs the command that the first argument names. Exit codes: 0 for success, 1 for a failure, 2 for wrong
/// usage or invalid input.
int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return nutmegarch::command::run(args);
}
