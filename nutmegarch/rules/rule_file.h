#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "nutmegarch/core/result.h"
#include "nutmegarch/rules/rule.h"

namespace nutmegarch::rules {

/// A syntax error in a rule file.
struct rule_error {
  /// Line and column start at 1.
  int line = 0;
  int column = 0;
  std::string message;
};

/// A rule file that was parsed without errors.
struct rule_file {
  /// Version that the file declares; a larger one is newer.
  std::uint64_t version = 0;
  std::vector<rule> rules;
  std::string text;
};

/// Parses a rule file. Returns the file, or all of its errors when it has any.
result<rule_file, std::vector<rule_error>> parse_rule_file(std::string_view text);

/// Formats an error as "FILE:LINE:COLUMN: error: MESSAGE".
std::string to_text(const rule_error& error, const std::string& file_name);

/// Returns the rules of `from` whose text is missing in `to`; line numbers are ignored.
std::vector<rule> removed_rules(const rule_file& from, const rule_file& to);

/// Parses a duration with a unit, such as "250ms", "2s" or "5min"; empty when the text is invalid.
std::optional<duration> parse_duration(std::string_view text);

}  // namespace nutmegarch::rules
