#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "nutmegarch/core/time.h"

namespace nutmegarch {

/// Importance of a call. Smaller is more important; under overload larger classes are shed first.
enum class call_class : std::uint8_t { order = 0, important = 1, browse = 2 };

/// Number of call classes.
constexpr int call_class_count = 3;

/// Shed ranks run from 0 (shed last) to 63 (shed first) within a class.
constexpr int shed_rank_count = 64;

/// What became of a call, as told to its caller.
enum class call_outcome : std::uint8_t {
  /// The target's whole answer is at hand.
  ok,
  /// No byte of the call reached any target, and none will.
  not_run,
  /// It may have run, and the answer is lost.
  unknown,
  /// The target itself failed the call.
  failed
};

/// Why a call was refused or given up. Goes into answers, metrics and the time line.
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
  /// No configuration has been read yet.
  not_configured,
  /// No route matches the request.
  no_route,
  /// The request lacks a field that it needs, or has a malformed one.
  malformed,
  /// The target itself refused the call before running it.
  target_refused,
  /// Another target process has the address.
  other_instance
};

/// The last of the reasons, for checks of received values.
constexpr call_reason last_call_reason = call_reason::other_instance;

/// Identity of a request; one for the whole call chain (W3C trace id).
struct request_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const request_id&, const request_id&) = default;
};

/// Permission to run one order once, issued by one incarnation of one node.
struct order_ticket {
  /// The node incarnation that alone may run the order.
  std::uint64_t incarnation = 0;
  /// Position in that incarnation's registry. Starts at 1.
  std::uint64_t sequence = 0;

  friend bool operator==(const order_ticket&, const order_ticket&) = default;
};

/// What travels with a call over every hop.
struct call_context {
  request_id id;
  /// Service that the call is for.
  std::string service;
  /// Route of that service: method and path pattern.
  std::string route;
  /// Who sends the call; empty when not told.
  std::string caller;
  call_class cls = call_class::browse;
  /// Drawn once from the request id, so that every hop sheds the same requests.
  std::uint8_t shed_rank = 0;
  /// Hops from the entry.
  std::uint8_t depth = 0;
  /// Targets that have crashed while they ran this request.
  std::uint8_t crash_count = 0;
  /// True when an earlier attempt of this call, or of a call above it, may have run already.
  bool repeated = false;
  /// The call may run more than once without harm.
  bool idempotent = false;
  /// Retries that this call and all calls below it may still make.
  std::uint16_t retry_tokens = 0;
  /// Time that the caller still waits, measured when the message is written.
  duration remaining{};
  /// Equal for requests with equal content; names a request that crashes targets.
  std::uint64_t fingerprint = 0;
  /// Set for orders that have one.
  std::optional<order_ticket> ticket;
  /// The caller's own name of this attempt, for logs; empty when it has none.
  std::string attempt_id;
  /// The target process that is to run the call, as published; empty when any may.
  std::string instance;
  /// A target makes the call while it runs another one, which fails when this one does.
  bool inner = false;
};

/// Calls of this class and rank, and of everything less important, are refused.
struct admission_level {
  /// Position on one scale over classes and ranks: class * shed_rank_count + rank.
  std::uint16_t cutoff = call_class_count * shed_rank_count;

  friend bool operator==(const admission_level&, const admission_level&) = default;
};

/// The level at which everything is admitted.
constexpr admission_level admit_all_level{};

/// Position of a call on the scale of admission_level.
constexpr std::uint16_t level_position(call_class cls, std::uint8_t shed_rank) {
  return static_cast<std::uint16_t>(static_cast<int>(cls) * shed_rank_count + shed_rank);
}

/// True when the level lets a call of this class and rank pass.
constexpr bool admits(admission_level level, call_class cls, std::uint8_t shed_rank) {
  return level_position(cls, shed_rank) < level.cutoff;
}

/// What an answer says about the node that gave it. Fresh, because it travels with every answer.
struct node_report {
  /// Calls running and waiting there, over its limit.
  double load = 0;
  admission_level level;
  /// The node takes no new work.
  bool leaving = false;
  /// Incarnation of the node; 0 when unknown.
  std::uint64_t incarnation = 0;
};

/// The shed rank of a request, the same at every node.
std::uint8_t shed_rank_of(const request_id& id);

/// Name of an enumerator as it appears in answers, metrics and rules.
const char* name_of(call_class cls);
const char* name_of(call_outcome outcome);
const char* name_of(call_reason reason);

/// Reads the name of a class; nothing when there is no such class.
std::optional<call_class> call_class_of(const std::string& name);

}  // namespace nutmegarch
