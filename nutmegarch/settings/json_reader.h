#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "nutmegarch/core/time.h"

namespace nutmegarch::settings {

/// An error in a settings file.
struct settings_error {
  /// JSON pointer to the value, for example "/listen/peers".
  std::string pointer;
  /// Expected and actual value.
  std::string message;
};

/// Returns "FILE: /json/pointer: MESSAGE".
std::string to_text(const settings_error& error, const std::string& file_name);

/// Reads values from a JSON text with comments into settings structs and collects all errors. A missing
/// value leaves the default. A key that was not requested by the end is an error.
class json_reader {
 public:
  explicit json_reader(const std::string& text);

  /// @name Values
  /// Each function takes the JSON pointer of the value. A missing value is an error only if `required`.
  /// Bounds are inclusive.
  /// @{
  void read_string(const std::string& pointer, std::string& to, bool required = false);
  void read_strings(const std::string& pointer, std::vector<std::string>& to);
  /// An object whose values are strings.
  void read_string_map(const std::string& pointer, std::map<std::string, std::string>& to);
  void read_bool(const std::string& pointer, bool& to);
  void read_number(const std::string& pointer, double& to, double min_value, double max_value);
  /// Accepts whole numbers only.
  template <typename Integer>
  void read_integer(const std::string& pointer, Integer& to, double min_value, double max_value) {
    double value = static_cast<double>(to);
    read_whole_number(pointer, value, min_value, max_value);
    to = static_cast<Integer>(value);
  }
  /// Accepts a string with a unit, for example "250ms".
  void read_duration(const std::string& pointer, duration& to, duration min_value, duration max_value);
  /// Accepts "IP:PORT".
  void read_address(const std::string& pointer, std::string& to, bool required = false);
  /// Accepts one of the given names.
  template <typename Enum>
  void read_enum(const std::string& pointer, Enum& to, const std::map<std::string, Enum>& names) {
    std::string expected;
    for (const std::pair<const std::string, Enum>& name : names) {
      expected += (expected.empty() ? "" : ", ") + name.first;
    }
    const boost::json::value* const found = find(pointer);
    if (found == nullptr) {
      return;
    }
    auto chosen = found->is_string() ? names.find(std::string(found->get_string())) : names.end();
    if (chosen == names.end()) {
      add_mismatch(pointer, "one of " + expected, *found);
      return;
    }
    to = chosen->second;
  }
  /// Returns the number of elements of an array; 0 if it is missing.
  std::size_t read_array_size(const std::string& pointer);
  /// @}

  /// Adds an error found by the caller.
  void add_error(const std::string& pointer, const std::string& message) {
    errors_.push_back({pointer, message});
  }

  /// Returns all errors, including those for unknown keys. Call it after all values have been read.
  std::vector<settings_error> finish();

 private:
  const boost::json::value* find(const std::string& pointer, bool required = false);
  void read_whole_number(const std::string& pointer, double& to, double min_value, double max_value);
  void add_mismatch(const std::string& pointer, const std::string& expected, const boost::json::value& found);
  void find_unknown_keys(const std::string& pointer, const boost::json::value& value);

  boost::json::value root_;
  bool is_parsed_ = false;
  std::set<std::string> requested_pointers_;
  std::vector<settings_error> errors_;
};

}  // namespace nutmegarch::settings
