#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nutmegarch/core/result.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/node/edge_dialect.h"
#include "nutmegarch/policy/inbound_call.h"
#include "nutmegarch/policy/receiver.h"
#include "nutmegarch/protocol/peer_messages.h"
#include "nutmegarch/rules/rule.h"

namespace nutmegarch::node {

/// Result of a call at the target, as read from the target's HTTP answer or the lack of one.
struct target_answer {
  protocol::peer_answer content;
  policy::target_result result = policy::target_result::answered;
  /// The target process says that it is leaving.
  bool is_leaving = false;
  /// The target closes the connection after the answer.
  bool closes_connection = false;
  /// Load that the target reported with the answer; nullopt when it reported none.
  std::optional<target_load> load;
  /// Rate that the target named, see target_answer_fields.
  std::optional<double> max_request_rate;
  bool names_no_rate = false;
};

/// Returns an answer without a message, for a call that no target has answered.
protocol::peer_answer make_refusal(call_outcome outcome, call_reason reason);

/// Translates the target's answer, or the error in its place. `is_cancelled`: the node itself ended the
/// exchange.
target_answer interpret_target_answer(result<answer_message, http::client_error> outcome, bool is_idempotent,
                                      bool is_cancelled);

/// Returns the request to send to the target: the caller's request with a traceparent field, by which the
/// target's own calls name their parent, and the time that remains until the deadline.
request_message make_target_request(const request_message& request, const policy::inbound_call& call,
                                    time_point now);

/// Formats a rule for callers and operators: its text, its line, who set it and why.
std::string describe(const rules::rule& rule);

}  // namespace nutmegarch::node
