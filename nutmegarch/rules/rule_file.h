#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "nutmegarch/core/result.h"
#include "nutmegarch/rules/rule.h"

namespace nutmegarch::rules {

/// One mistake in a rule file.
struct rule_error {
  /// From 1.
  int line = 0;
  int column = 0;
  std::string message;
};

/// A rule file without mistakes.
struct rule_file {
  /// The file's own version; larger is newer.
  std::uint64_t version = 0;
  std::vector<rule> rules;
  std::string text;
};

/// Reads a rule file whole: either all of it or all of its mistakes.
result<rule_file, std::vector<rule_error>> parse_rule_file(std::string_view text);

/// "FILE:LINE:COLUMN: error: MESSAGE".
std::string to_text(const rule_error& error, const std::string& file_name);

/// The rules of `from` that `to` does not have any more, whatever their line.
std::vector<rule> removed_rules(const rule_file& from, const rule_file& to);

/// A duration with its unit, as "250ms", "2s" or "5min"; nothing when it is none.
std::optional<duration> parse_duration(std::string_view text);

}  // namespace nutmegarch::rules
