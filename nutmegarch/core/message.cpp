#include "nutmegarch/core/message.h"

#include <algorithm>
#include <cctype>

namespace nutmegarch {

namespace {

std::size_t size_in_bytes(const headers& fields) {
  std::size_t size = 0;
  for (const header& field : fields) {
    size += sizeof(header) + field.name.size() + field.value.size();
  }
  return size;
}

}  // namespace

std::size_t size_in_bytes(const request_message& message) {
  return message.method.size() + message.target.size() + message.authority.size() +
         size_in_bytes(message.fields) + message.body.size();
}

std::size_t size_in_bytes(const answer_message& message) {
  return size_in_bytes(message.fields) + message.body.size();
}

bool equal_ignoring_case(const std::string& left, const std::string& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string find_header(const headers& fields, const std::string& name) {
  for (const header& field : fields) {
    if (equal_ignoring_case(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

void set_header(headers& fields, const std::string& name, const std::string& value) {
  remove_header(fields, name);
  fields.push_back({name, value});
}

void remove_header(headers& fields, const std::string& name) {
  fields.erase(std::remove_if(fields.begin(), fields.end(),
                              [&](const header& field) { return equal_ignoring_case(field.name, name); }),
               fields.end());
}

}  // namespace nutmegarch
