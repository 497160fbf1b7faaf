#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/policy/latency_tracker.h"
#include "nutmegarch/policy/sender_settings.h"

namespace nutmegarch::policy {

/// What came back for one attempt.
struct attempt_answer {
  call_outcome outcome = call_outcome::unknown;
  call_reason reason = call_reason::none;
  /// Unused retry tokens that came back.
  std::uint16_t tokens_back = 0;
  /// What the endpoint says about itself; absent when the connection was lost.
  std::optional<node_report> report;
  /// Level below the endpoint for calls of this route.
  admission_level route_level;
  /// Calls of this route make calls of their own, which may need retry tokens.
  bool calls_on = true;
  /// Bytes of the answer.
  std::size_t size = 0;
  /// The call was written to the target. A refusal by the node beside it is no arrival there.
  bool reached_target = true;
};

/// What a sender knows of one service that it calls: its endpoints, what their answers have told, and the
/// budgets towards it. No I/O; not thread-safe.
class service_state {
 public:
  explicit service_state(const sender_settings& settings);

  /// @name Endpoints
  /// @{
  const std::vector<endpoint_ptr>& endpoints() const { return endpoints_; }
  void set_endpoints(std::vector<endpoint_ptr> endpoints) { endpoints_ = std::move(endpoints); }
  /// Picks one of the candidates, which must not be empty.
  endpoint* choose(const std::vector<endpoint*>& candidates, time_point now, random_source& random) {
    return choice_->choose(candidates, now, random);
  }
  /// Neither ejected nor stalled.
  bool is_usable(const endpoint& candidate, const std::string& route, time_point now) const;
  /// Calls are open and nothing has come for longer than its answers are usually apart.
  bool is_stalled(const endpoint& candidate, const std::string& route, time_point now) const;
  /// @}

  /// @name What answers tell
  /// @{
  /// An answer with a report has come.
  void note_report(endpoint& from, const std::string& route, const attempt_answer& answer, time_point now);
  /// A call was answered whole after `latency`, with `size` bytes.
  void note_success(endpoint& from, const std::string& route, duration latency, std::size_t size);
  /// A call to the endpoint was lost.
  void note_loss(endpoint& from, time_point now);
  /// Forgets levels, loads and ejections, since they may be old.
  void forget_reports();
  /// @}

  /// @name Levels and latencies
  /// @{
  /// The level at which calls of a route are taken: the mean of the endpoints that answered them, and of what
  /// lies below, by the last answers. Endpoints that calls do not reach do not count, however idle they are.
  admission_level level_of(const std::string& route, time_point now) const;
  /// The services below the endpoints refuse this call.
  bool is_shed_below(const call_context& context, time_point now) const;
  /// Calls of the route make calls of their own, as far as is known.
  bool calls_on(const std::string& route) const;
  /// Bytes that an answer of the route is expected to have.
  double answer_size(const std::string& route) const;
  /// Wait after which a hedge may help.
  duration hedge_delay(const std::string& route) const;
  /// @}

  /// Pays for extra attempts towards the service.
  retry_bucket retries;
  retry_bucket hedges;

 private:
  /// What answers have told about one route.
  struct route_state {
    latency_tracker latency;
    /// Mean size of the answers in bytes, by the last ones; 0 before the first.
    double answer_size = 0;
    /// Mean cutoff of the endpoints that answered, and of the services below them.
    double cutoff = admit_all_level.cutoff;
    double cutoff_below = admit_all_level.cutoff;
    time_point level_expires{};
    bool calls_on = true;
  };

  const route_state* find_route(const std::string& route) const;
  route_state* find_or_add_route(const std::string& route);
  duration latency_of(const std::string& route, double q) const;

  sender_settings settings_;
  std::vector<endpoint_ptr> endpoints_;
  std::unique_ptr<routing_choice> choice_;
  std::unordered_map<std::string, route_state> routes_;
};

}  // namespace nutmegarch::policy
