#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nutmegarch/core/call.h"

namespace nutmegarch::rules {

/// What a rule does. docs/OPERATING.md has an example of each.
enum class rule_kind : std::uint8_t {
  /// Sheds calls while the target's load is at or above a threshold.
  shed,
  /// Limits the concurrency or the rate of calls.
  limit,
  /// Sets the retry budget of calls that enter the mesh.
  retry,
  /// Switches hedging on or off.
  hedge,
  /// Sets the timeout of a call.
  timeout,
  /// Rejects every request that has the given fingerprint.
  quarantine,
  /// Stops sending new calls to a host.
  drain,
  /// Scales the share of the calls that a host receives.
  weigh,
  /// Marks the requests of a route as orders, which run at most once.
  order,
  /// Sets the call class of a route.
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

  /// @name Calls that the rule applies to; an empty field matches any
  /// @{
  std::string service;
  /// A path, or a path prefix when it ends with '*'.
  std::string route;
  std::string caller;
  std::optional<nutmegarch::call_class> cls;
  /// @}

  /// @name Values that the rule sets
  /// @{
  /// Load at which shedding starts, as a fraction of the concurrency limit.
  double above = 0;
  std::optional<int> concurrency;
  /// Calls per second over all targets of the service.
  std::optional<double> rate;
  int budget = 0;
  bool enabled = true;
  duration after{};
  std::uint64_t fingerprint = 0;
  std::string host;
  double weight = 1;
  /// @}
};

/// Returns the word that starts a rule of this kind in the rule file.
const char* name_of(rule_kind kind);

}  // namespace nutmegarch::rules
