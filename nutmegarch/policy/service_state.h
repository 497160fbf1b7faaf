#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/policy/latency_tracker.h"
#include "nutmegarch/policy/sender_settings.h"

namespace nutmegarch::policy {

/// Result of one attempt.
struct attempt_answer {
  call_outcome outcome = call_outcome::unknown;
  call_reason reason = call_reason::none;
  /// Unused retry tokens that the answer returned.
  std::uint16_t tokens_back = 0;
  /// Report of the endpoint about itself; absent when the connection was lost.
  std::optional<node_report> report;
  /// Admission level of the services downstream of the endpoint for calls of this route.
  admission_level route_level;
  /// Calls of this route make downstream calls, which may need retry tokens.
  bool has_downstream_calls = true;
  /// Only targets call this route, while they run other calls.
  bool is_inner_route = false;
  /// Size of the answer in bytes.
  std::size_t size = 0;
  /// True when the call was written to the target. A refusal by the node beside the target does not count.
  bool reached_target = true;
  /// True when the target process has announced that it leaves.
  bool target_leaving = false;
};

/// State of the sender for one service that it calls: its endpoints, the reports in their answers, and the
/// budgets for retries and hedges. Performs no I/O. Not thread-safe.
class service_state {
 public:
  explicit service_state(const sender_settings& settings);

  /// @name Endpoints
  /// @{
  const std::vector<endpoint_ptr>& endpoints() const { return endpoints_; }
  void set_endpoints(std::vector<endpoint_ptr> endpoints);
  /// True when targets that have as many calls as their pace allows are passed over.
  bool holds_back() const { return settings_.pace.is_enabled && pace_.may_hold_back(endpoints_); }
  /// Chooses one of the candidates, which must not be empty.
  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) {
    return balancer_->choose(candidates, now, random);
  }
  /// True when the endpoint is neither ejected nor stalled.
  bool is_usable(const endpoint& candidate, const std::string& route, time_point now) const;
  /// True when attempts are open at the endpoint and no answer has arrived for much longer than the expected
  /// gap between its answers.
  bool is_stalled(const endpoint& candidate, const std::string& route, time_point now) const;
  /// @}

  /// @name Results of attempts
  /// @{
  /// Records the report in an answer.
  void record_report(endpoint& from, const std::string& route, const attempt_answer& answer, time_point now);
  /// Records a complete answer of `size` bytes that took `latency`.
  void record_success(endpoint& from, const std::string& route, duration latency, std::size_t size);
  /// Records the loss of an attempt, and ejects the endpoint after too many consecutive losses.
  void record_loss(endpoint& from, time_point now);
  /// Discards levels, loads and ejections, because they may be out of date.
  void forget_reports();
  /// @}

  /// @name Levels and latencies
  /// @{
  /// The level at which calls of a route are admitted: a moving average over the recent answers, each with
  /// the lower of the levels of its endpoint and of the services downstream. Endpoints that receive no calls
  /// do not count, even if they are idle.
  admission_level level_of(const std::string& route, time_point now) const;
  /// True when the services downstream of the endpoints would refuse this call.
  bool is_shed_downstream(const call_context& context, time_point now) const;
  /// True when calls of the route make downstream calls, or when this is unknown.
  bool has_downstream_calls(const std::string& route) const;
  /// True when a recent answer told that only targets call the route, while they run other calls.
  bool is_inner_route(const std::string& route, time_point now) const;
  /// Expected size of an answer of the route in bytes.
  double answer_size(const std::string& route) const;
  /// Delay after which a hedge may be sent.
  duration hedge_delay(const std::string& route) const;
  /// @}

  /// Limits the retries to the service.
  retry_bucket retries;
  /// Limits the hedges to the service.
  retry_bucket hedges;

 private:
  /// State of one route, learned from answers.
  struct route_state {
    latency_tracker latency;
    /// Moving average of the size of the answers in bytes; 0 before the first answer.
    double answer_size = 0;
    /// Moving average of the effective cutoff: of the endpoint or downstream, whichever is lower.
    double cutoff = admit_all_level.cutoff;
    /// Moving average of the cutoff of the services downstream.
    double downstream_cutoff = admit_all_level.cutoff;
    time_point level_expires{};
    bool has_downstream_calls = true;
    /// Until then the route counts as an inner one.
    time_point inner_until{};
  };

  const route_state* find_route(const std::string& route) const;
  route_state* find_or_add_route(const std::string& route);
  duration latency_of(const std::string& route, double q) const;

  sender_settings settings_;
  recovery_pace pace_;
  std::vector<endpoint_ptr> endpoints_;
  std::unique_ptr<load_balancer> balancer_;
  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
