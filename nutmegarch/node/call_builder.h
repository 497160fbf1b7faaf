#pragma once

#include <optional>

#include "nutmegarch/node/inbound_path.h"
#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// A call from outside or from the local target, as read from its request.
struct built_call {
  call_context context;
  time_point deadline = never;
  /// The inbound call whose target makes this one.
  std::optional<parent_call> parent;
  /// Key of the inbound call below which the target seems to make this one; 0 for none. Unlike `parent` it is
  /// found by what calls look like.
  std::uint64_t below = 0;
  /// The route is marked as an order by a rule.
  bool is_order = false;
  bool may_hedge = true;
  /// Retry budget by rule; nothing for the default.
  std::optional<std::uint16_t> retry_budget;
  /// Targets to which the call may be sent, by its route; 0 for the node's own setting.
  std::size_t most_attempts = 0;
  /// When the caller itself gives up. Not before `deadline`.
  time_point caller_deadline = never;
};

/// The request id in a request's traceparent; nothing when it has none.
std::optional<request_id> request_id_of(const headers& fields);

/// The route of a request for statistics: its method and the first part of its path.
std::string route_of(const request_message& request);

/// Reads a request. `parent` is the running inbound call with the same request id. Holds the state's lock.
built_call build_call(node_state& state, const request_message& request,
                      const std::optional<parent_call>& parent, time_point now);

}  // namespace nutmegarch::node
