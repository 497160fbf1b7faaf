#pragma once

#include "nutmegarch/policy/byte_bucket.h"
#include "nutmegarch/policy/load_balancer.h"
#include "nutmegarch/policy/recovery_pace.h"
#include "nutmegarch/policy/retry_budget.h"

namespace nutmegarch::policy {

/// Settings of `sender`.
struct sender_settings {
  /// Sends each call once, round robin, and passes on the result. Used as the baseline in measurements.
  bool pass_through = false;
  routing_kind routing = routing_kind::two_choices;
  score_settings score;
  /// Retries that a call from an outside caller may cause in its whole call chain.
  std::uint16_t retry_budget = 2;
  /// Attempts of one call that may reach a target at one hop, including the first.
  std::size_t max_attempts = 3;
  retry_bucket_settings retries;
  /// Does not retry a call that may have run when its route makes downstream calls.
  bool retry_leaf_calls_only = false;
  /// Token bucket that limits hedges to one service to a share of its successes.
  retry_bucket_settings hedges{0.05, 50};
  /// Latency quantile of the route after which a hedge is sent.
  double hedge_quantile = 0.95;
  /// Minimum delay before a hedge is sent.
  duration min_hedge_delay = std::chrono::milliseconds(2);
  /// How long a level reported in an answer remains valid.
  duration level_lifetime = std::chrono::seconds(1);
  /// Number of consecutive lost attempts after which an endpoint is ejected.
  int losses_to_eject = 3;
  /// Duration of the first ejection; it doubles with each further ejection, up to `max_ejection_time`.
  duration base_ejection_time = std::chrono::seconds(1);
  duration max_ejection_time = std::chrono::seconds(30);
  /// Largest share of the endpoints of a service that may be ejected at the same time.
  double max_ejected_share = 0.5;
  /// An endpoint is stalled when no answer has arrived for the median latency plus this many times the
  /// expected gap between two of its answers.
  double stall_gaps = 4.0;
  /// Minimum time without an answer before an endpoint is considered stalled.
  duration min_stall_time{};
  /// How long an endpoint receives no calls after another process was found at its address. The next endpoint
  /// list replaces its entry in the meantime.
  duration stale_address_time = std::chrono::seconds(3);
  recovery_pace_settings pace;
  byte_bucket_settings link;
};

}  // namespace nutmegarch::policy
