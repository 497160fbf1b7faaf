#include <iostream>

#include <boost/json.hpp>

#include "nutmegarch/command/command_line.h"
#include "nutmegarch/command/commands.h"

namespace nutmegarch::command {

namespace {

std::string text_of(const boost::json::value& value) {
  return value.is_string() ? std::string(value.as_string()) : boost::json::serialize(value);
}

void print_fields(const boost::json::object& fields, const std::string& indent) {
  for (const boost::json::key_value_pair& field : fields) {
    if (!field.value().is_array()) {
      std::cout << indent << field.key() << ": " << text_of(field.value()) << '\n';
    }
  }
}

void print_endpoints(const boost::json::array& endpoints) {
  std::cout << "endpoints:\n";
  for (const boost::json::value& entry : endpoints) {
    std::cout << " ";
    for (const boost::json::key_value_pair& field : entry.as_object()) {
      std::cout << ' ' << field.key() << '=' << text_of(field.value());
    }
    std::cout << '\n';
  }
}

}  // namespace

int run_status(const std::vector<std::string>& args) {
  TCLAP::CmdLine line("Shows the state of a node.", ' ', version());
  TCLAP::ValueArg<std::string> node("", "node", "Administration address of the node.", true, "", "ADDRESS",
                                    line);
  TCLAP::SwitchArg json("", "json", "Prints the node's JSON as it is.", line);
  const std::optional<int> early_exit = parse(line, "status", args);
  if (early_exit) {
    return *early_exit;
  }
  const std::optional<std::string> body = http_get(node.getValue(), "/status");
  if (!body) {
    std::cerr << node.getValue() << ": no answer\n";
    return failed;
  }
  if (json.getValue()) {
    std::cout << *body;
    return done;
  }
  const boost::json::object status = boost::json::parse(*body).as_object();
  print_fields(status, "");
  print_endpoints(status.at("endpoints").as_array());
  return done;
}

}  // namespace nutmegarch::command
