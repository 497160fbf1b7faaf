#pragma once

#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "nutmegarch/core/call.h"

namespace nutmegarch::policy {

/// How far an endpoint is from this node. Smaller is nearer.
enum class proximity : std::uint8_t { same_host, same_domain, same_region, other_region };

/// One target of a service as its callers see it: the peer node beside it, and what is known of both.
struct endpoint : boost::intrusive_ref_counter<endpoint, boost::thread_safe_counter> {
  /// @name As published
  /// @{
  std::string host;
  /// Name of the target process, where the platform tells it; a new process is a new endpoint.
  std::string instance;
  std::string service;
  std::string domain;
  std::string region;
  /// IP number and port for calls from peers.
  std::string address;
  proximity distance = proximity::same_region;
  /// Calls that the target runs at once.
  int slots = 64;
  /// Share of its fair part that the endpoint gets; 0 drains it.
  double weight = 1;
  /// Load by the platform's late report.
  double published_load = 0;
  bool published_leaving = false;
  /// Start of the target process on the platform's clock; 0 when unknown.
  std::int64_t born = 0;
  /// @}

  /// @name As seen in traffic
  /// @{
  std::uint64_t incarnation = 0;
  bool said_leaving = false;
  int outstanding = 0;
  double carried_load = 0;
  /// Own calls that were open when the carried load came.
  int outstanding_at_report = 0;
  /// Latency of its answers over the median of their routes, smoothed.
  double slowness = 1;
  time_point carried_at{};
  admission_level level;
  time_point level_expires{};
  /// When it was first used; the start of its slow start.
  time_point joined{};
  /// The target is slow until then, since it has just started.
  time_point cold_until{};
  /// Since when an answer is due: the last answer, or the first call after idle time.
  time_point awaiting_since{};
  int consecutive_losses = 0;
  int ejections = 0;
  time_point ejected_until{};
  /// Another target process was found at its address; it gets no calls until then.
  time_point gone_until{};
  /// @}

  /// No new work may go there.
  bool leaving() const { return said_leaving || published_leaving || weight <= 0; }
};

using endpoint_ptr = boost::intrusive_ptr<endpoint>;

}  // namespace nutmegarch::policy
