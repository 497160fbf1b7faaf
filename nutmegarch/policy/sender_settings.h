#pragma once

#include "nutmegarch/policy/byte_bucket.h"
#include "nutmegarch/policy/retry_budget.h"
#include "nutmegarch/policy/routing_choice.h"

namespace nutmegarch::policy {

/// Settings of sender.
struct sender_settings {
  /// Sends each call once, round robin, and tells what comes back; the baseline of the measures.
  bool pass_through = false;
  routing_kind routing = routing_kind::two_choices;
  score_settings score;
  /// Extra attempts that a call from outside brings for its whole chain.
  std::uint16_t retry_budget = 2;
  /// Attempts of one call at one hop, the first included.
  std::size_t most_attempts = 3;
  bucket_settings retries;
  /// A call that may have run is not sent again when its route makes calls of its own.
  bool retries_leaves_only = false;
  /// Hedges towards one service, as a share of its successes.
  bucket_settings hedges{0.05, 50};
  /// A hedge goes out when the call has waited longer than this share of calls.
  double hedge_quantile = 0.95;
  /// Shortest wait before a hedge.
  duration hedge_least_delay = std::chrono::milliseconds(2);
  /// A level that came with an answer counts for this long.
  duration level_lifetime = std::chrono::seconds(1);
  /// Attempts lost in a row that eject an endpoint.
  int losses_to_eject = 3;
  /// First ejection; doubles with each further one.
  duration ejection = std::chrono::seconds(1);
  duration longest_ejection = std::chrono::seconds(30);
  /// Largest share of the endpoints of a service that may be out.
  double most_ejected_share = 0.5;
  /// An endpoint is stalled when nothing came for the median latency and this many times the usual gap
  /// between two of its answers.
  double stall_gaps = 4.0;
  /// An endpoint is not stalled before this time.
  duration stall_least{};
  /// An endpoint at whose address another process was found gets no calls for this long; its entry is
  /// replaced meanwhile.
  duration gone_time = std::chrono::seconds(3);
  byte_bucket_settings link;
};

}  // namespace nutmegarch::policy
