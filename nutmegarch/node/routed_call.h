#pragma once

#include <variant>

#include "nutmegarch/node/call_builder.h"
#include "nutmegarch/node/edge_dialect.h"
#include "nutmegarch/node/target_message.h"

namespace nutmegarch::node {

/// Builds the call of a request from the published routes. `caller_info` are the fields that the caller sent
/// with it. Returns the call, or the reason for which the request is rejected. Requires the state's lock.
std::variant<built_call, call_reason> build_routed_call(node_state& state, const caller_fields& caller_info,
                                                        const request_message& request, time_point now);

/// Returns the request to send to the target: the caller's request with the target fields of the dialect.
request_message make_routed_target_request(const edge_dialect& dialect, const request_message& request,
                                           const policy::inbound_call& call, time_point now);

/// Translates the target's answer, or the error in its place, by the dialect. `is_cancelled`: the node itself
/// ended the exchange.
target_answer interpret_routed_target_answer(const edge_dialect& dialect,
                                             result<answer_message, http::client_error> outcome,
                                             bool is_cancelled);

/// Returns the answer for a call that no target has answered. `retry_after` is the time after which the
/// caller may send the request again; only an answer with status 503 carries it, so the request has not run
/// then.
answer_message make_routed_refusal(call_outcome outcome, call_reason reason, duration retry_after);

}  // namespace nutmegarch::node
