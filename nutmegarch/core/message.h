#pragma once

#include <string>
#include <vector>

namespace nutmegarch {

/// One header field of a message.
struct header {
  std::string name;
  std::string value;
};

using headers = std::vector<header>;

/// A request as it passes through a node, independent of the transport.
struct request_message {
  std::string method;
  /// Path and query.
  std::string target;
  headers fields;
  std::string body;
  /// Host that the caller addressed (the Host field); empty when it named none.
  std::string authority = {};
};

/// A whole answer as it passes through a node.
struct answer_message {
  int status = 0;
  headers fields;
  std::string body;
};

/// Value of the first field with this name, whatever its case; empty when there is none.
std::string find_header(const headers& fields, const std::string& name);

/// Sets a field, in place of those with the same name.
void set_header(headers& fields, const std::string& name, const std::string& value);

/// True when two names differ in case only.
bool equal_ignoring_case(const std::string& left, const std::string& right);

}  // namespace nutmegarch
