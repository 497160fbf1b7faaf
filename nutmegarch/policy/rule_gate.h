#pragma once

#include <unordered_map>

#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::policy {

/// What a gate says to a call.
struct gate_verdict {
  /// The rule that refuses the call; null when none does.
  const rules::rule* refused_by = nullptr;
  call_reason reason = call_reason::none;
};

/// Applies the rules that shed and limit calls, at the target's node. No I/O; not thread-safe.
class rule_gate {
 public:
  /// Decides about a call. `load` is the receiver's; `targets` the live targets of the service, over which a
  /// rate is divided. An admitted call is counted until leave().
  gate_verdict enter(const rules::call_rules& rules, call_class cls, double load, int targets,
                     time_point now);

  /// An admitted call has ended. `rules` are those with which it entered.
  void leave(const rules::call_rules& rules);

  /// The rules have changed: counts start anew, and calls that are still in must not leave.
  void reset();

 private:
  struct rate_state {
    double tokens = 0;
    time_point refilled{};
  };

  bool takes_rate(const rules::rule& limit, int targets, time_point now);

  /// By line of the rule.
  std::unordered_map<int, int> running_;
  std::unordered_map<int, rate_state> rates_;
};

}  // namespace nutmegarch::policy
