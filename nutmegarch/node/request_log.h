#pragma once

#include <string>

#include "nutmegarch/observe/line_budget.h"
#include "nutmegarch/observe/log.h"
#include "nutmegarch/policy/inbound_call.h"
#include "nutmegarch/policy/outbound_call.h"
#include "nutmegarch/policy/receiver.h"

namespace nutmegarch::node {

/// Logs what was decided for single requests, within a budget of lines: each failure as long as there is
/// room, and a sample of the successes. docs/LOGS.md lists the fields. Not thread-safe.
class request_log {
 public:
  /// A call of this node's callers, or of its target, has ended.
  void on_completed(const policy::outbound_call& call, call_outcome outcome, call_reason reason,
                    std::uint64_t configuration, time_point now);
  /// A request was refused before it became a call.
  void on_rejected(const std::string& attempt_id, const std::string& target, call_reason reason,
                   std::uint64_t configuration, time_point now);
  /// The node beside the target has refused a call.
  void on_refused(const policy::inbound_call& call, call_reason reason, const policy::receiver& receiver,
                  time_point now);
  /// A call has left the target without a good answer. `error` names what was wrong with the answer's bytes;
  /// empty when it could be read.
  void on_target_failure(const policy::inbound_call& call, call_outcome outcome, call_reason reason,
                         int status, const char* error, time_point now);

 private:
  bool may_log(time_point now);

  /// Lines about failures: a second in the long run, and at once.
  observe::line_budget failures_{100, 400};
};

}  // namespace nutmegarch::node
