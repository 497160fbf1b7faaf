#pragma once

#include <variant>

#include "nutmegarch/node/call_builder.h"
#include "nutmegarch/node/edge_dialect.h"
#include "nutmegarch/node/target_message.h"

namespace nutmegarch::node {

/// Reads a request by the published routes: either a call, or the reason for which there is none. Holds the
/// state's lock.
std::variant<built_call, call_reason> build_routed_call(node_state& state, const edge_dialect& dialect,
                                                        const request_message& request, time_point now);

/// The request as the target gets it, with the fields of the dialect.
request_message to_routed_target(const edge_dialect& dialect, const request_message& request,
                                 const policy::inbound_call& call, time_point now);

/// Reads what came of a call at the target.
target_answer interpret_routed(const edge_dialect& dialect,
                               result<answer_message, http::client_error> outcome, bool is_cancelled);

/// The answer for a call that no target has answered. `come_back` is when the caller may ask again; it is
/// told where nothing has run.
answer_message make_routed_refusal(call_outcome outcome, call_reason reason, duration come_back);

}  // namespace nutmegarch::node
