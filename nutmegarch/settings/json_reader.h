#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "nutmegarch/core/time.h"

namespace nutmegarch::settings {

/// One mistake in a settings file.
struct settings_error {
  /// JSON pointer to the value, as "/listen/peers".
  std::string pointer;
  /// What was expected, and what was found.
  std::string message;
};

/// "FILE: /json/pointer: MESSAGE".
std::string to_text(const settings_error& error, const std::string& file_name);

/// Reads values out of a JSON text with comments into settings structs, and collects all mistakes. A value
/// that is absent leaves the default; keys that were never asked for are mistakes.
class json_reader {
 public:
  explicit json_reader(const std::string& text);

  /// @name Values
  /// Each takes the JSON pointer of the value. `required` makes absence a mistake.
  /// @{
  void read_text(const std::string& pointer, std::string& to, bool required = false);
  void read_texts(const std::string& pointer, std::vector<std::string>& to);
  /// An object whose values are strings.
  void read_text_map(const std::string& pointer, std::map<std::string, std::string>& to);
  void read_flag(const std::string& pointer, bool& to);
  void read_number(const std::string& pointer, double& to, double least, double most);
  /// Whole numbers.
  template <typename Integer>
  void read_integer(const std::string& pointer, Integer& to, double least, double most) {
    double value = static_cast<double>(to);
    read_whole(pointer, value, least, most);
    to = static_cast<Integer>(value);
  }
  /// A string with a unit, as "250ms".
  void read_duration(const std::string& pointer, duration& to, duration least, duration most);
  /// "IP:PORT".
  void read_address(const std::string& pointer, std::string& to, bool required = false);
  /// One of a few names.
  template <typename Enum>
  void read_choice(const std::string& pointer, Enum& to, const std::map<std::string, Enum>& names) {
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
      fail(pointer, "one of " + expected, *found);
      return;
    }
    to = chosen->second;
  }
  /// Number of elements of an array; 0 when it is absent.
  std::size_t read_array_size(const std::string& pointer);
  /// @}

  /// A mistake that the caller has found.
  void add_error(const std::string& pointer, const std::string& message) {
    errors_.push_back({pointer, message});
  }

  /// All mistakes, with those for unknown keys. Call it after the last value.
  std::vector<settings_error> finish();

 private:
  const boost::json::value* find(const std::string& pointer, bool required = false);
  void read_whole(const std::string& pointer, double& to, double least, double most);
  void fail(const std::string& pointer, const std::string& expected, const boost::json::value& found);
  void find_unknown(const std::string& pointer, const boost::json::value& value);

  boost::json::value root_;
  bool is_parsed_ = false;
  std::set<std::string> asked_;
  std::vector<settings_error> errors_;
};

}  // namespace nutmegarch::settings
