#include "nutmegarch/http/message_writer.h"

#include <algorithm>
#include <array>

#include "nutmegarch/http/problem.h"

namespace nutmegarch::http {

namespace {

constexpr const char* end_of_line = "\r\n";
/// Room for the first line and the framing fields, in bytes.
constexpr std::size_t framing_bytes = 128;
/// Room for the separators of a field, in bytes.
constexpr std::size_t separator_bytes = 4;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

std::size_t size_of(const headers& fields) {
  std::size_t size = framing_bytes;
  for (const header& field : fields) {
    size += field.name.size() + field.value.size() + separator_bytes;
  }
  return size;
}

void append_field(std::string& head, const std::string& name, const std::string& value) {
  head += name;
  head += ": ";
  head += value;
  head += end_of_line;
}

/// True if a request with this method states its length even if it has no body (RFC 9110, 8.6).
bool always_states_length(const std::string& method) {
  constexpr std::array<const char*, 3> methods = {"POST", "PUT", "OPTIONS"};
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

}  // namespace

std::string format_head(const request_message& message, const std::string& default_host) {
  std::string head;
  head.reserve(size_of(message.fields) + message.target.size() + message.authority.size());
  head += message.method;
  head += ' ';
  head += message.target;
  head += " HTTP/1.1";
  head += end_of_line;
  append_field(head, "Host", message.authority.empty() ? default_host : message.authority);
  for (const header& field : message.fields) {
    append_field(head, field.name, field.value);
  }
  if (!message.body.empty() || always_states_length(message.method)) {
    append_field(head, "Content-Length", std::to_string(message.body.size()));
  }
  head += end_of_line;
  return head;
}

bool may_have_body(int status) { return status != status_no_content && status != status_not_modified; }

std::string format_head(const answer_message& message, bool keep_alive) {
  std::string head;
  head.reserve(size_of(message.fields));
  head += "HTTP/1.1 ";
  head += std::to_string(message.status);
  head += ' ';
  head += reason_phrase_of(message.status);
  head += end_of_line;
  for (const header& field : message.fields) {
    append_field(head, field.name, field.value);
  }
  if (!keep_alive) {
    append_field(head, "Connection", "close");
  }
  if (may_have_body(message.status)) {
    append_field(head, "Content-Length", std::to_string(message.body.size()));
  }
  head += end_of_line;
  return head;
}

}  // namespace nutmegarch::http
