#include "nutmegarch/command/commands.h"

#include <functional>
#include <iostream>
#include <map>

#include "nutmegarch/command/blocked_signals.h"

namespace nutmegarch::command {

namespace {

struct command_entry {
  int (*run)(const std::vector<std::string>&);
  const char* summary;
  /// Whether the command waits for the blocked signals itself. They are unblocked for all other commands.
  bool handles_signals = false;
};

const std::map<std::string, command_entry>& commands() {
  static const std::map<std::string, command_entry> entries = {
      {"node", {run_node, "runs the node beside a target: --settings FILE [--check]", true}},
      {"rules", {run_rules, "check FILE | show --node ADDRESS | diff OLD NEW"}},
      {"status", {run_status, "shows the state of a node: --node ADDRESS"}},
      {"timeline", {run_timeline, "merges the events of nodes: --node ADDRESS..."}},
      {"load", {run_load, "sends open-loop load: --settings FILE"}},
  };
  return entries;
}

void print_usage(std::ostream& out) {
  out << "usage: nutmegarch COMMAND [OPTIONS]\n\n";
  for (const std::pair<const std::string, command_entry>& entry : commands()) {
    out << "  " << entry.first << std::string(10 - entry.first.size(), ' ') << entry.second.summary << '\n';
  }
  out << "\nEach command knows --help and --version.\n";
}

}  // namespace

int run(const std::vector<std::string>& args) {
  if (args.empty()) {
    print_usage(std::cerr);
    return bad_usage;
  }
  const std::string& name = args.front();
  if (name == "--help" || name == "-h") {
    print_usage(std::cout);
    return done;
  }
  if (name == "--version") {
    std::cout << "nutmegarch " << version() << '\n';
    return done;
  }
  auto found = commands().find(name);
  if (found == commands().end()) {
    std::cerr << "nutmegarch: unknown command \"" << name << "\"\n";
    print_usage(std::cerr);
    return bad_usage;
  }
  if (!found->second.handles_signals) {
    blocked_signals::unblock();
  }
  return found->second.run({args.begin() + 1, args.end()});
}

std::string version() { return NUTMEGARCH_VERSION; }

}  // namespace nutmegarch::command
