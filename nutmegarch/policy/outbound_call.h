#pragma once

#include <vector>

#include "nutmegarch/policy/endpoint.h"
#include "nutmegarch/policy/retry_budget.h"

namespace nutmegarch::policy {

/// One attempt of an outbound call, sent to one endpoint.
struct attempt {
  endpoint_ptr to;
  time_point sent{};
  /// Retry tokens that were sent with the attempt.
  std::uint16_t tokens_given = 0;
  bool open = true;
  bool is_hedge = false;

  /// @name Recorded for the log
  /// @{
  /// Reported load of the endpoint when it was chosen.
  double load = 0;
  /// Age of that report; negative without one.
  duration load_age{-1};
  /// Relative latency of the endpoint when it was chosen.
  double relative_latency = 1;
  call_outcome outcome = call_outcome::unknown;
  call_reason reason = call_reason::none;
  duration latency{};
  /// @}
};

/// Numbers of endpoints by their state during the last selection, for the log of calls that were not sent.
struct endpoint_counts {
  /// Usable endpoints in this region.
  int near = 0;
  /// Usable endpoints in other regions.
  int far = 0;
  /// Endpoints that are ejected or stalled.
  int unhealthy = 0;
  /// Endpoints that have as many calls as their pace allows.
  int paced = 0;
  /// Endpoints whose level refuses the call.
  int shed = 0;
  /// Endpoints that are leaving, have a stale address or were tried before.
  int unavailable = 0;
};

/// One call that this node makes for an outside caller or for its own target, with all its attempts.
struct outbound_call : boost::intrusive_ref_counter<outbound_call, boost::thread_safe_counter> {
  /// Key of the call in the adapter; unique within the node.
  std::uint64_t key = 0;
  call_context context;
  time_point deadline = never;
  /// Size of the request in bytes, for the link budget.
  std::size_t size = 0;
  /// Tokens that pay for retries and hedges, shared by all child calls of one inbound call. The adapter
  /// sets the pool for child calls; the sender creates one when none is set.
  retry_token_pool_ptr token_pool;
  bool may_hedge = true;
  /// Attempts that may reach a target; 0 selects the sender's setting.
  std::size_t max_attempts = 0;
  /// Time at which the caller stops waiting. The answer is due at `deadline`, which may be earlier.
  time_point caller_deadline = never;

  /// @name Maintained by the sender
  /// @{
  std::vector<attempt> attempts;
  time_point started{};
  /// Ended attempts that reached a target, whatever their outcome.
  std::size_t arrivals = 0;
  /// True when an attempt ended without an answer, so that the call may have run.
  bool may_have_run = false;
  bool done = false;
  bool hedged = false;
  call_reason last_refusal = call_reason::none;
  endpoint_counts last_selection;
  /// @}
};

using outbound_call_ptr = boost::intrusive_ptr<outbound_call>;

}  // namespace nutmegarch::policy
