#pragma once

#include <vector>

#include "nutmegarch/policy/endpoint.h"
#include "nutmegarch/policy/retry_budget.h"

namespace nutmegarch::policy {

/// One try to have an outbound call answered by one endpoint.
struct attempt {
  endpoint_ptr to;
  time_point sent{};
  /// Retry tokens that went with it.
  std::uint16_t tokens_given = 0;
  bool open = true;
  bool is_hedge = false;

  /// @name For the log
  /// @{
  /// Load of the endpoint as known when it was chosen, and the age of that report; negative without one.
  double load = 0;
  duration load_age{-1};
  double slowness = 1;
  call_outcome outcome = call_outcome::unknown;
  call_reason reason = call_reason::none;
  duration latency{};
  /// @}
};

/// What the last choice of an endpoint found, for the log of calls that were sent nowhere.
struct endpoint_view {
  /// Endpoints that could be used, in this region and in others.
  int near = 0;
  int far = 0;
  /// Ejected or stalled.
  int doubtful = 0;
  /// Ruled out by their level.
  int shed = 0;
  /// Leaving, gone or tried before.
  int out = 0;
};

/// One call that this node makes for an outside caller or for its target, over all its attempts.
struct outbound_call : boost::intrusive_ref_counter<outbound_call, boost::thread_safe_counter> {
  /// Key of the call at the adapter; unique in one node.
  std::uint64_t key = 0;
  call_context context;
  time_point deadline = never;
  /// Size of the request in bytes, for the link's budget.
  std::size_t size = 0;
  /// The ledger that pays for extra attempts. Set by the adapter for the child of an inbound call.
  retry_ledger_ptr ledger;
  bool may_hedge = true;
  /// Targets that the call may reach; 0 for the sender's setting.
  std::size_t most_attempts = 0;
  /// When the caller itself gives up; the answer is due at `deadline`, which may be earlier.
  time_point caller_deadline = never;

  /// @name Kept by the sender
  /// @{
  std::vector<attempt> attempts;
  time_point started{};
  /// Attempts that have reached a target, whatever came of them there.
  std::size_t arrivals = 0;
  /// An attempt ended without an answer, so the call may have run.
  bool may_have_run = false;
  bool done = false;
  bool hedged = false;
  call_reason last_refusal = call_reason::none;
  endpoint_view view;
  /// @}
};

using outbound_call_ptr = boost::intrusive_ptr<outbound_call>;

}  // namespace nutmegarch::policy
