#pragma once

namespace nutmegarch::node::header_names {

/// W3C trace context; identifies the request across the whole call chain.
constexpr const char* traceparent = "traceparent";
/// Remaining time that the caller waits for the answer, for example "800ms".
constexpr const char* timeout = "Nutmegarch-Timeout";
/// Service that a target calls through its node. Default: the node's own service.
constexpr const char* service = "Nutmegarch-Service";
/// Name of the caller, matched by rules.
constexpr const char* caller = "Nutmegarch-Caller";
/// Ticket of an order; see policy::order_registry.
constexpr const char* ticket = "Nutmegarch-Ticket";
/// Outcome of a call: ok, not-run, unknown or failed.
constexpr const char* outcome = "Nutmegarch-Outcome";
/// RFC 9218 priority; urgencies 0 and 1 select the class "important".
constexpr const char* priority = "Priority";
/// Identifier that the caller gives to an order.
constexpr const char* idempotency_key = "Idempotency-Key";

}  // namespace nutmegarch::node::header_names
