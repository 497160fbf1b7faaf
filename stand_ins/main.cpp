#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "stand_ins/platform_stand_in.h"
#include "stand_ins/server_stand_in.h"
#include "stand_ins/store_command.h"
#include "stand_ins/target_stand_in.h"

/// Stand-ins for what surrounds the product: a target or server, the platform and its store. Not shipped.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const std::string name = words.empty() ? "" : words.front();
  const std::vector<std::string> rest(words.begin() + (words.empty() ? 0 : 1), words.end());
  if (name == "target") {
    return nutmegarch::stand_ins::run_target(rest);
  }
  if (name == "platform") {
    return nutmegarch::stand_ins::run_platform(rest);
  }
  if (name == "server") {
    return nutmegarch::stand_ins::run_server(rest);
  }
  if (name == "store") {
    return nutmegarch::stand_ins::run_store(rest);
  }
  std::cerr << "usage: nutmegarch_stand_ins target|platform|server|store [OPTIONS]\n";
  return 2;
}
