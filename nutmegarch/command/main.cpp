#include <iostream>
#include <string>
#include <vector>

#include "nutmegarch/command/commands.h"
#include "nutmegarch/command/held_signals.h"

namespace {

/// Runs before all other initialisation of the program, which takes a while under load.
[[gnu::constructor(101)]] void hold_signals() { nutmegarch::command::held_signals::hold(); }

}  // namespace

/// Dispatches on the first word of the command line. Exit codes: 0 done, 1 failed, 2 usage or bad input.
int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  return nutmegarch::command::run(words);
}
