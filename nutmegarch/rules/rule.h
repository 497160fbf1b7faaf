#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nutmegarch/core/call.h"

namespace nutmegarch::rules {

/// What a rule does. docs/OPERATING.md has an example of each.
enum class rule_kind : std::uint8_t {
  /// Sheds calls while the target's load is above a bound.
  shed,
  /// Bounds the concurrency or the rate of calls.
  limit,
  /// Sets the retry budget of calls from outside.
  retry,
  /// Switches hedging on or off.
  hedge,
  /// Bounds the time of a call.
  timeout,
  /// Refuses a request by its fingerprint.
  quarantine,
  /// Gives a host no new work.
  drain,
  /// Scales the part of the work that a host gets.
  weigh,
  /// Marks a route as an order.
  order,
  /// Sets the class of a route's calls.
  call_class
};

/// One line of the rule file. Fields that a kind does not use are empty.
struct rule {
  rule_kind kind = rule_kind::shed;
  /// Line in the file, from 1.
  int line = 0;
  /// The rule as written, without its comment.
  std::string text;
  std::string who;
  std::string why;

  /// @name Which calls it is for; empty means any
  /// @{
  std::string service;
  /// Path, or the start of one when it ends with '*'.
  std::string route;
  std::string caller;
  std::optional<nutmegarch::call_class> cls;
  /// @}

  /// @name What it sets
  /// @{
  /// Load from which on calls are shed, as a share of the limit.
  double above = 0;
  std::optional<int> concurrency;
  /// Calls a second over all targets of the service.
  std::optional<double> rate;
  int budget = 0;
  bool enabled = true;
  duration after{};
  std::uint64_t fingerprint = 0;
  std::string host;
  double weight = 1;
  /// @}
};

/// The name with which lines of this kind begin.
const char* name_of(rule_kind kind);

}  // namespace nutmegarch::rules
