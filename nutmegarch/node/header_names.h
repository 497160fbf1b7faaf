#pragma once

namespace nutmegarch::node::header_names {

/// W3C trace context; names the request over the whole chain.
constexpr const char* traceparent = "traceparent";
/// Time that the caller still waits, as "800ms".
constexpr const char* timeout = "Nutmegarch-Timeout";
/// Service that a target calls through its node; the node's own when absent.
constexpr const char* service = "Nutmegarch-Service";
/// Who calls, for rules by caller.
constexpr const char* caller = "Nutmegarch-Caller";
/// Ticket of an order.
constexpr const char* ticket = "Nutmegarch-Ticket";
/// What became of a call: ok, not-run, unknown or failed.
constexpr const char* outcome = "Nutmegarch-Outcome";
/// RFC 9218; urgency 0 and 1 mean important.
constexpr const char* priority = "Priority";
/// The caller's own name of an order.
constexpr const char* idempotency_key = "Idempotency-Key";

}  // namespace nutmegarch::node::header_names
