#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch {

/// A header field of a message.
struct header {
  std::string name;
  std::string value;
};

using headers = std::vector<header>;

/// A request as a node forwards it, independent of the transport.
struct request_message {
  std::string method;
  /// Request target in the sense of HTTP: path and query.
  std::string target;
  headers fields;
  std::string body;
  /// Value of the Host header; empty when the request has none.
  std::string authority = {};
};

/// A complete answer as a node forwards it, independent of the transport.
struct answer_message {
  int status = 0;
  headers fields;
  std::string body;
  /// The sender of the answer closes the connection after it. Ignored in an answer to be sent.
  bool closes_connection = false;
};

/// How far an answer has arrived.
struct answer_progress {
  std::size_t bytes = 0;
  /// When the last of them arrived; the epoch if none did.
  time_point last{};
};

/// Memory that the message uses, in bytes.
std::size_t size_in_bytes(const request_message& message);
std::size_t size_in_bytes(const answer_message& message);

/// Value of the first header with this name, ignoring case; empty when there is none.
std::string find_header(const headers& fields, const std::string& name);

/// Adds a header after removing all headers with the same name, ignoring case.
void set_header(headers& fields, const std::string& name, const std::string& value);

/// Removes all headers with this name, ignoring case.
void remove_header(headers& fields, const std::string& name);

/// True when both names are equal, ignoring the case of ASCII letters.
bool equal_ignoring_case(const std::string& left, const std::string& right);

}  // namespace nutmegarch
