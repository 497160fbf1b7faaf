#pragma once

#include <string>

#include "nutmegarch/observe/line_budget.h"
#include "nutmegarch/observe/log.h"
#include "nutmegarch/policy/inbound_call.h"
#include "nutmegarch/policy/outbound_call.h"
#include "nutmegarch/policy/receiver.h"

namespace nutmegarch::node {

/// Logs the decisions on individual requests within a line budget: every failure as long as the budget lasts,
/// and a sample of the successes. docs/LOGS.md lists the fields. Not thread-safe.
class request_log {
 public:
  /// Logs the end of a call that an outside caller or the local target made. `configuration` is the version
  /// of the routes in force.
  void on_completed(const policy::outbound_call& call, call_outcome outcome, call_reason reason,
                    std::uint64_t configuration, time_point now);
  /// Logs a request that was rejected before a call was built from it.
  void on_rejected(const std::string& attempt_id, const std::string& target, call_reason reason,
                   std::uint64_t configuration, time_point now);
  /// Logs a call that the node beside the target refused.
  void on_refused(const policy::inbound_call& call, call_reason reason, const policy::receiver& receiver,
                  time_point now);
  /// Logs a call that the target failed to answer successfully. `status` is the HTTP status of the answer.
  /// `error` names the error of the HTTP exchange; empty when the answer could be read.
  void on_target_failure(const policy::inbound_call& call, call_outcome outcome, call_reason reason,
                         int status, const char* error, time_point now);

 private:
  bool may_log(time_point now);

  /// Budget of the request lines: sustained lines per second, and the size of a burst.
  observe::line_budget line_budget_{100, 400};
};

}  // namespace nutmegarch::node
