#include "nutmegarch/settings/json_reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <boost/json.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/rules/rule_file.h"

namespace nutmegarch::settings {

namespace {

std::string format_value(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

std::string format_value(duration length) {
  return length < std::chrono::seconds(1) ? format_value(to_seconds(length) * 1000) + "ms"
                                          : format_value(to_seconds(length)) + "s";
}

/// Describes the line and column of an offset, both counted from 1.
std::string line_and_column(const std::string& text, std::size_t offset) {
  const std::size_t end = std::min(offset, text.size());
  const std::ptrdiff_t line =
      std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n') + 1;
  const std::size_t begin = end == 0 ? std::string::npos : text.rfind('\n', end - 1);
  const std::size_t column = begin == std::string::npos ? end + 1 : end - begin;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

std::string to_text(const settings_error& error, const std::string& file_name) {
  return file_name + ": " + (error.pointer.empty() ? "/" : error.pointer) + ": " + error.message;
}

json_reader::json_reader(const std::string& text) {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::json::stream_parser parser({}, options);
  boost::json::error_code error;
  const std::size_t consumed = parser.write_some(text, error);
  if (!error && consumed == text.size()) {
    parser.finish(error);
  }
  if (error || !parser.done()) {
    errors_.push_back(
        {"", "expected JSON with comments, found a syntax error at " + line_and_column(text, consumed)});
    return;
  }
  root_ = parser.release();
  is_parsed_ = true;
  if (!root_.is_object()) {
    errors_.push_back({"", "expected an object"});
  }
}

void json_reader::read_string(const std::string& pointer, std::string& to, bool required) {
  const boost::json::value* const found = find(pointer, required);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || found->get_string().empty()) {
    add_mismatch(pointer, "a string that is not empty", *found);
    return;
  }
  to = std::string(found->get_string());
}

void json_reader::read_strings(const std::string& pointer, std::vector<std::string>& to) {
  const boost::json::value* const found = find(pointer);
  if (found == nullptr) {
    return;
  }
  if (!found->is_array()) {
    add_mismatch(pointer, "an array of strings", *found);
    return;
  }
  to.clear();
  for (const boost::json::value& entry : found->get_array()) {
    if (!entry.is_string()) {
      add_mismatch(pointer, "an array of strings", entry);
      return;
    }
    to.emplace_back(entry.get_string());
  }
}

void json_reader::read_string_map(const std::string& pointer, std::map<std::string, std::string>& to) {
  const boost::json::value* const found = find(pointer);
  if (found == nullptr) {
    return;
  }
  if (!found->is_object()) {
    add_mismatch(pointer, "an object of strings", *found);
    return;
  }
  to.clear();
  for (const boost::json::key_value_pair& entry : found->get_object()) {
    const std::string key(entry.key());
    requested_pointers_.insert(pointer + '/' + key);
    if (!entry.value().is_string()) {
      add_mismatch(pointer + '/' + key, "a string", entry.value());
      return;
    }
    to[key] = std::string(entry.value().get_string());
  }
}

void json_reader::read_bool(const std::string& pointer, bool& to) {
  const boost::json::value* const found = find(pointer);
  if (found == nullptr) {
    return;
  }
  if (!found->is_bool()) {
    add_mismatch(pointer, "true or false", *found);
    return;
  }
  to = found->get_bool();
}

void json_reader::read_number(const std::string& pointer, double& to, double min_value, double max_value) {
  const boost::json::value* const found = find(pointer);
  if (found == nullptr) {
    return;
  }
  const double number = found->is_number() ? found->to_number<double>() : std::nan("");
  if (!(number >= min_value && number <= max_value)) {
    add_mismatch(pointer, "a number from " + format_value(min_value) + " to " + format_value(max_value),
                 *found);
    return;
  }
  to = number;
}

void json_reader::read_whole_number(const std::string& pointer, double& to, double min_value,
                                    double max_value) {
  const double before = to;
  read_number(pointer, to, min_value, max_value);
  if (to != std::floor(to)) {
    add_mismatch(pointer, "a whole number", boost::json::value(to));
    to = before;
  }
}

void json_reader::read_duration(const std::string& pointer, duration& to, duration min_value,
                                duration max_value) {
  const boost::json::value* const found = find(pointer);
  if (found == nullptr) {
    return;
  }
  const std::optional<duration> length =
      found->is_string() ? rules::parse_duration(std::string_view(found->get_string())) : std::nullopt;
  if (!length || *length < min_value || *length > max_value) {
    add_mismatch(
        pointer,
        "a duration with its unit from " + format_value(min_value) + " to " + format_value(max_value),
        *found);
    return;
  }
  to = *length;
}

void json_reader::read_address(const std::string& pointer, std::string& to, bool required) {
  const boost::json::value* const found = find(pointer, required);
  if (found == nullptr) {
    return;
  }
  if (!found->is_string() || !http::parse_address(std::string(found->get_string()))) {
    add_mismatch(pointer, "an address as IP:PORT", *found);
    return;
  }
  to = std::string(found->get_string());
}

std::size_t json_reader::read_array_size(const std::string& pointer) {
  const boost::json::value* const found = find(pointer);
  if (found == nullptr) {
    return 0;
  }
  if (!found->is_array()) {
    add_mismatch(pointer, "an array", *found);
    return 0;
  }
  return found->get_array().size();
}

std::vector<settings_error> json_reader::finish() {
  if (is_parsed_) {
    find_unknown_keys("", root_);
  }
  return errors_;
}

const boost::json::value* json_reader::find(const std::string& pointer, bool required) {
  requested_pointers_.insert(pointer);
  if (!is_parsed_) {
    return nullptr;
  }
  boost::json::error_code error;
  const boost::json::value* const found = root_.find_pointer(pointer, error);
  if (found == nullptr && required) {
    errors_.push_back({pointer, "expected a value, found none"});
  }
  return found;
}

void json_reader::add_mismatch(const std::string& pointer, const std::string& expected,
                               const boost::json::value& found) {
  errors_.push_back({pointer, "expected " + expected + ", found " + boost::json::serialize(found)});
}

void json_reader::find_unknown_keys(const std::string& pointer, const boost::json::value& value) {
  if (requested_pointers_.count(pointer) != 0 && !value.is_array()) {
    return;
  }
  // A key is known if it or a key below it was requested.
  auto next = requested_pointers_.lower_bound(pointer);
  const bool is_known =
      pointer.empty() ||
      (next != requested_pointers_.end() && next->compare(0, pointer.size(), pointer) == 0 &&
       (next->size() == pointer.size() || next->at(pointer.size()) == '/'));
  if (!is_known) {
    errors_.push_back({pointer, "unknown key"});
    return;
  }
  if (value.is_object()) {
    for (const boost::json::key_value_pair& entry : value.get_object()) {
      find_unknown_keys(pointer + '/' + std::string(entry.key()), entry.value());
    }
  } else if (value.is_array()) {
    std::size_t index = 0;
    for (const boost::json::value& entry : value.get_array()) {
      if (entry.is_object()) {
        find_unknown_keys(pointer + '/' + std::to_string(index), entry);
      }
      ++index;
    }
  }
}

}  // namespace nutmegarch::settings
