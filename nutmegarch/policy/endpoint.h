#pragma once

#include <algorithm>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// Network distance of an endpoint from this node. Smaller is nearer.
enum class proximity : std::uint8_t { same_host, same_domain, same_region, other_region };

/// One target of a service from the point of view of its callers: the peer node beside the target, and the
/// state known about both.
struct endpoint : boost::intrusive_ref_counter<endpoint, boost::thread_safe_counter> {
  /// @name As published
  /// @{
  std::string host;
  /// Name of the target process, if the platform publishes it. A new process is a new endpoint.
  std::string instance;
  std::string service;
  std::string domain;
  std::string region;
  /// IP address and port for calls from peers.
  std::string address;
  proximity distance = proximity::same_region;
  /// Number of calls that the target runs concurrently.
  int slots = 64;
  /// Factor on the share of calls that the endpoint receives; 0 drains it.
  double weight = 1;
  /// Load published by the platform, which arrives late.
  double published_load = 0;
  /// Start of the target process on the platform's clock, in milliseconds; 0 when unknown.
  std::int64_t process_started_ms = 0;
  /// @}

  /// @name Learned from traffic
  /// @{
  /// Incarnation of the peer node; 0 before its first report.
  std::uint64_t incarnation = 0;
  /// The last report of the node says that it takes no new calls.
  bool reported_leaving = false;
  /// The target process is leaving, by its published entry or its answers.
  bool target_leaving = false;
  /// Open attempts of this node at the endpoint.
  int outstanding = 0;
  /// Load on the last answer.
  double reported_load = 0;
  /// Value of `outstanding` when `reported_load` was received.
  int outstanding_at_report = 0;
  /// Smoothed ratio of the latency of its answers to the median latency of their routes.
  double relative_latency = 1;
  /// When `reported_load` was received.
  time_point load_reported_at{};
  admission_level level;
  time_point level_expires{};
  /// Requests per second that the target takes from all hosts together; 0 without a limit.
  double max_request_rate = 0;
  /// When the target last named it.
  time_point rate_named_at{};
  /// Moving average of the latency of its complete answers; 0 before the first one.
  duration mean_latency{};
  /// Time of the first call to the endpoint, at which its slow start begins.
  time_point first_used_at{};
  /// Time until which the target counts as slow, because it has just started.
  time_point cold_until{};
  /// The target had just started when it was listed first, so that its pace has to begin.
  bool is_new = false;
  /// Start of the current wait for an answer: the last answer, or the first call after an idle period.
  time_point awaiting_since{};
  int consecutive_losses = 0;
  int ejections = 0;
  time_point ejected_until{};
  /// Calls that this node may have open at the target, which has started or recovered; 0 without such a
  /// limit. See recovery_pace.
  int paced_calls = 0;
  /// Time until which the endpoint receives no calls, because another target process was found at its
  /// address.
  time_point stale_address_until{};
  /// @}

  /// True when the endpoint must not receive new calls.
  bool leaving() const { return reported_leaving || target_leaving || weight <= 0; }

  /// Number of calls that the target runs concurrently at the rate that it takes, at least 1.
  double usable_slots() const {
    const double all = std::max(1, slots);
    return max_request_rate > 0 ? std::clamp(max_request_rate * to_seconds(mean_latency), 1.0, all) : all;
  }
};

using endpoint_ptr = boost::intrusive_ptr<endpoint>;

}  // namespace nutmegarch::policy
