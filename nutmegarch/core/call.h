#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nutmegarch/core/time.h"

namespace nutmegarch {

/// Importance of a call. A smaller value is more important; under overload, larger values are shed first.
enum class call_class : std::uint8_t { order = 0, important = 1, browse = 2 };

/// Number of call classes.
constexpr int call_class_count = 3;

/// Number of shed ranks in a class. Ranks run from 0 (shed last) to 63 (shed first).
constexpr int shed_rank_count = 64;

/// Outcome of a call as reported to its caller.
enum class call_outcome : std::uint8_t {
  /// The target's complete answer was received.
  ok,
  /// The call did not run: no byte of it has reached or will reach a target.
  not_run,
  /// The call may have run, but its answer was lost.
  unknown,
  /// The target ran the call and reported a failure.
  failed
};

/// Reason why a call was rejected or abandoned. Reported in answers, metrics and the timeline.
enum class call_reason : std::uint8_t {
  none,
  shed_level,
  shed_rule,
  rate_rule,
  concurrency_rule,
  queue_full,
  deadline,
  leaving,
  no_target,
  retry_budget,
  quarantined,
  connection_lost,
  cancelled,
  ticket_required,
  ticket_foreign,
  ticket_expired,
  ticket_sealed,
  registry_full,
  revalidating,
  target_error,
  too_large,
  /// The node has not read a configuration yet.
  not_configured,
  /// No route matches the request.
  no_route,
  /// A required field of the request is missing or malformed.
  malformed,
  /// The target rejected the call before running it.
  target_refused,
  /// The process at the address is not the target instance that the call is for.
  other_instance,
  /// The target takes only a limited rate of requests, and the call would have to wait too long.
  target_limit,
  /// No organisation holds the key of the request.
  unknown_key,
  /// The node can't tell whether the key of the request is still valid.
  unconfirmed_key,
  /// The organisation has used up its allowance.
  over_allowance,
  /// The node that keeps the organisation's allowance can't be reached.
  unknown_allowance
};

/// The last enumerator of call_reason, for range checks of received values.
constexpr call_reason last_call_reason = call_reason::unknown_allowance;

/// Identifier of a request, shared by all calls of its call chain (the W3C trace id).
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const request_id&, const request_id&) = default;
};

/// Permission to run an order at most once, issued by one incarnation of one node.
struct order_ticket {
  /// Incarnation of the node that issued the ticket; only this incarnation may run the order.
  std::uint64_t incarnation = 0;
  /// Sequence number in the order registry of that incarnation. Starts at 1.
  std::uint64_t sequence = 0;

  friend bool operator==(const order_ticket&, const order_ticket&) = default;
};

/// Rate of requests that a target takes from all hosts together, as it named it in an answer.
struct target_rate {
  /// Requests per second, above 0.
  double per_second = 0;
  /// Time since the target last named it.
  duration age{};
};

/// Metadata that is sent with a call on every hop.
struct call_context {
  request_id id;
  /// Service that is called.
  std::string service;
  /// Route of the service: method and path pattern.
  std::string route;
  /// Service that sends the call; empty when it is not known.
  std::string caller;
  call_class cls = call_class::browse;
  /// Derived from the request id (shed_rank_of()), so that every hop sheds the same requests.
  std::uint8_t shed_rank = 0;
  /// Number of hops from the entry of the call chain.
  std::uint8_t depth = 0;
  /// Number of targets that crashed while they ran this request.
  std::uint8_t crash_count = 0;
  /// True when an earlier attempt of this call, or of a call further up its chain, may have run.
  bool repeated = false;
  /// True when the call may safely run more than once.
  bool idempotent = false;
  /// Number of retries left for this call and all calls that it causes.
  std::uint16_t retry_tokens = 0;
  /// Time left until the caller's deadline when the message is written.
  duration remaining{};
  /// Time for which the sender can still take an answer, since it stops afterwards; duration::max() without
  /// such a limit. A call that can't end within it must not start.
  duration answer_within = duration::max();
  /// Hash of the request's content; identifies requests that crash their targets.
  std::uint64_t fingerprint = 0;
  /// Ticket of an order; not set when it has none.
  std::optional<order_ticket> ticket;
  /// Attempt id that the caller assigned, for logs; empty when it assigned none.
  std::string attempt_id;
  /// Published instance name of the target process that must run the call; empty when any may run it.
  std::string instance;
  /// True when a target makes this call while it runs another one, which fails if this call fails.
  bool inner = false;
  /// Rate of the target that the sender has learned from the target's answers; nullopt without one.
  std::optional<target_rate> known_target_rate;
  /// Name of the caller's organisation; empty without one.
  std::string organisation;
};

/// Threshold of importance: calls at or above `cutoff` on the scale of level_position() are rejected.
struct admission_level {
  /// First position that is rejected. The initial value rejects nothing.
  std::uint16_t cutoff = call_class_count * shed_rank_count;

  friend bool operator==(const admission_level&, const admission_level&) = default;
};

/// The level that admits every call.
constexpr admission_level admit_all_level{};

/// Position of a call on one scale over classes and ranks: class * shed_rank_count + rank. Larger positions
/// are less important.
constexpr std::uint16_t level_position(call_class cls, std::uint8_t shed_rank) {
  return static_cast<std::uint16_t>(static_cast<int>(cls) * shed_rank_count + shed_rank);
}

/// True when the level admits calls of this class and rank.
constexpr bool admits(admission_level level, call_class cls, std::uint8_t shed_rank) {
  return level_position(cls, shed_rank) < level.cutoff;
}

/// State of a node, sent with each of its answers, so that its callers always have a recent one.
struct node_report {
  /// Number of calls running and waiting at the node, divided by its concurrency limit.
  double load = 0;
  admission_level level;
  /// True when the node accepts no new calls because it is shutting down.
  bool leaving = false;
  /// Incarnation of the node; 0 when unknown.
  std::uint64_t incarnation = 0;
  /// Rate that the target names; nullopt without one.
  std::optional<target_rate> rate;
};

/// Shed rank of a request, below shed_rank_count. It is the same at every node.
std::uint8_t shed_rank_of(const request_id& id);

/// Name of an enumerator as written in answers, metrics and rules.
const char* name_of(call_class cls);
const char* name_of(call_outcome outcome);
const char* name_of(call_reason reason);

/// Parses the name of a class; std::nullopt when no class has this name.
std::optional<call_class> call_class_of(const std::string& name);

}  // namespace nutmegarch
