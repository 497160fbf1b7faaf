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

/// What a target's HTTP answer, or its absence, means.
struct target_answer {
  protocol::peer_answer content;
  policy::target_result result = policy::target_result::answered;
  /// Load that the target reported with the answer.
  std::optional<target_load> load;
};

/// An answer without a message, for a call that no target has answered.
protocol::peer_answer make_refusal(call_outcome outcome, call_reason reason);

/// Reads what came of a call at the target. `is_cancelled`: the node itself ended it.
target_answer interpret(result<answer_message, http::client_error> outcome, bool is_idempotent,
                        bool is_cancelled);

/// The request as the target gets it: with its place in the chain and its remaining time.
request_message to_target(const request_message& request, const policy::inbound_call& call, time_point now);

/// A rule as callers and operators see it: its text, line, who and why.
std::string describe(const rules::rule& rule);

}  // namespace nutmegarch::node
