#include <iostream>

#include <boost/json.hpp>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"
#include "nutmegarch/rules/rule_file.h"

namespace nutmegarch::command {

namespace {

/// Reads and checks a rule file; prints its errors.
std::optional<rules::rule_file> read_rules(const std::string& path) {
  const std::optional<std::string> text = read_file(path);
  if (!text) {
    std::cerr << path << ": can't be read\n";
    return std::nullopt;
  }
  result<rules::rule_file, std::vector<rules::rule_error>> parsed = rules::parse_rule_file(*text);
  if (!succeeded(parsed)) {
    for (const rules::rule_error& error : std::get<std::vector<rules::rule_error>>(parsed)) {
      std::cerr << to_text(error, path) << '\n';
    }
    return std::nullopt;
  }
  return std::get<rules::rule_file>(std::move(parsed));
}

void print(const char* mark, const rules::rule& rule) {
  std::cout << mark << ' ' << rule.text << "  # who: " << rule.who << " why: " << rule.why << '\n';
}

int check(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Checks a rule file.", ' ', version());
  TCLAP::UnlabeledValueArg<std::string> file("file", "Rule file.", true, "", "FILE", line);
  const std::optional<int> early_exit = parse(line, "rules check", args);
  if (early_exit) {
    return *early_exit;
  }
  const std::optional<rules::rule_file> read = read_rules(file.getValue());
  if (!read) {
    return bad_usage;
  }
  std::cout << file.getValue() << ": good, version " << read->version << ", " << read->rules.size()
            << " rules\n";
  return done;
}

int show(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Shows the rules in force at a node.", ' ', version());
  TCLAP::ValueArg<std::string> node("", "node", "Administration address of the node.", true, "", "ADDRESS",
                                    line);
  const std::optional<int> early_exit = parse(line, "rules show", args);
  if (early_exit) {
    return *early_exit;
  }
  const std::optional<std::string> body = http_get(node.getValue(), "/rules");
  if (!body) {
    std::cerr << node.getValue() << ": no answer\n";
    return failed;
  }
  const boost::json::object shown = boost::json::parse(*body).as_object();
  std::cout << "version " << boost::json::serialize(shown.at("version")) << '\n';
  for (const boost::json::value& entry : shown.at("rules").as_array()) {
    const boost::json::object& rule = entry.as_object();
    std::cout << rule.at("rule").as_string().c_str() << "  # who: " << rule.at("who").as_string().c_str()
              << " why: " << rule.at("why").as_string().c_str() << "  (touched "
              << boost::json::serialize(rule.at("touched")) << " calls)\n";
  }
  return done;
}

int diff(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Shows which rules differ between two files.", ' ', version());
  TCLAP::UnlabeledValueArg<std::string> old_file("old", "Older rule file.", true, "", "OLD", line);
  TCLAP::UnlabeledValueArg<std::string> new_file("new", "Newer rule file.", true, "", "NEW", line);
  const std::optional<int> early_exit = parse(line, "rules diff", args);
  if (early_exit) {
    return *early_exit;
  }
  const std::optional<rules::rule_file> before = read_rules(old_file.getValue());
  const std::optional<rules::rule_file> after = read_rules(new_file.getValue());
  if (!before || !after) {
    return bad_usage;
  }
  std::cout << "version " << before->version << " to " << after->version << '\n';
  for (const rules::rule& removed : removed_rules(*before, *after)) {
    print("-", removed);
  }
  for (const rules::rule& added : removed_rules(*after, *before)) {
    print("+", added);
  }
  return done;
}

}  // namespace

int run_rules(const std::vector<std::string>& args) {
  const std::string name = args.empty() ? "" : args.front();
  const std::vector<std::string> rest(args.begin() + (args.empty() ? 0 : 1), args.end());
  if (name == "check") {
    return check(rest);
  }
  if (name == "show") {
    return show(rest);
  }
  if (name == "diff") {
    return diff(rest);
  }
  const bool wants_help = name == "--help" || name == "-h";
  (wants_help ? std::cout : std::cerr) << "usage: nutmegarch rules check FILE\n"
                                          "       nutmegarch rules show --node ADDRESS\n"
                                          "       nutmegarch rules diff OLD NEW\n";
  if (name == "--version") {
    std::cout << version() << '\n';
  }
  return wants_help || name == "--version" ? done : bad_usage;
}

}  // namespace nutmegarch::command
