#pragma once

#include <unordered_map>

#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::policy {

/// Whether the rules admit a call.
struct rule_decision {
  /// The rule that refuses the call; null when the call is admitted. Owned by the rule table.
  const rules::rule* refused_by = nullptr;
  call_reason reason = call_reason::none;
};

/// Applies the shed rules and the concurrency and rate limits at the target's node. No I/O; not thread-safe.
class rule_enforcer {
 public:
  /// Decides whether a call is admitted. `load` is the receiver's load: calls running and waiting divided by
  /// the limit. `targets` is the number of live targets of the service, among which a rate limit is divided
  /// evenly. An admitted call counts towards concurrency limits until release().
  rule_decision admit(const rules::call_rules& rules, call_class cls, double load, int targets,
                      time_point now);

  /// Ends the count of an admitted call. `rules` must be those that it was admitted with.
  void release(const rules::call_rules& rules);

  /// Clears all counts after a change of the rules. release() must not be called for calls that were
  /// admitted before.
  void reset();

 private:
  struct token_bucket {
    double tokens = 0;
    time_point last_refill{};
  };

  bool take_token(const rules::rule& limit, int targets, time_point now);

  /// Both are keyed by the line of the rule in the rule file.
  std::unordered_map<int, int> running_calls_;
  std::unordered_map<int, token_bucket> buckets_;
};

}  // namespace nutmegarch::policy
