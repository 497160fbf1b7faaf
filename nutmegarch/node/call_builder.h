#pragma once

#include <optional>

#include "nutmegarch/node/inbound_path.h"
#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// A call from an outside caller or from the local target, built from its request.
struct built_call {
  call_context context;
  time_point deadline = never;
  /// The inbound call below which the local target makes this one, found by its request id; nullopt when
  /// there is none.
  std::optional<parent_call> parent;
  /// Key of the inbound call below which the local target probably makes this one; 0 for none. Unlike
  /// `parent` it is inferred from deadlines and routes.
  std::uint64_t likely_parent_key = 0;
  /// A rule marks the route as an order, and the call is not idempotent.
  bool is_order = false;
  bool may_hedge = true;
  /// Retry tokens of the call, set by a rule or a published route; nullopt for the default.
  std::optional<std::uint16_t> retry_budget;
  /// Largest number of attempts, set by a published route; 0 for the node's own setting.
  std::size_t max_attempts = 0;
  /// Requests that the caller's organisation may make; without a limit if it has none.
  organisations::allowance allowance;
  /// When the caller itself stops waiting. Not earlier than `deadline`.
  time_point caller_deadline = never;
};

/// The trace id of a request's traceparent field, which serves as its request id; nullopt when the field is
/// missing or malformed.
std::optional<request_id> request_id_of(const headers& fields);

/// The route under which a request is counted: its method and the first segment of its path.
std::string route_of(const request_message& request);

/// Builds the call of a request from its header fields and the rules in force. `parent` is the running
/// inbound call with the same request id, if any: the call inherits its depth, class and deadline. Requires
/// the state's lock.
built_call build_call(node_state& state, const request_message& request,
                      const std::optional<parent_call>& parent, time_point now);

}  // namespace nutmegarch::node
