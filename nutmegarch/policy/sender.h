#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/policy/byte_bucket.h"
#include "nutmegarch/policy/latency_tracker.h"
#include "nutmegarch/policy/outbound_call.h"
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
  /// Load from which on a nearer endpoint counts as full, so that calls go to another region.
  double spill_load = 1.5;
  byte_bucket_settings link;
};

/// What a sender asks of its adapter.
struct sender_action {
  enum class kind : std::uint8_t {
    /// Send the attempt's request to its endpoint with `context`.
    send,
    /// Nobody waits for the attempt any more: cancel it at the endpoint.
    abandon,
    /// Answer the caller; `attempt` is the one whose answer is passed on when `outcome` is ok or failed.
    complete
  };

  kind what = kind::send;
  outbound_call_ptr call;
  std::size_t attempt = 0;
  call_context context;
  call_outcome outcome = call_outcome::ok;
  call_reason reason = call_reason::none;
};

using sender_actions = std::vector<sender_action>;

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
};

/// Decides for calls that leave this node: where to, how often, when to give up. No I/O, no clock; not
/// thread-safe.
class sender {
 public:
  sender(const sender_settings& settings, random_source& random);

  /// @name Endpoints
  /// @{

  /// Adds or replaces the endpoints of a service. The caller keeps the objects of endpoints that stay.
  void set_endpoints(const std::string& service, std::vector<endpoint_ptr> endpoints);
  const std::vector<endpoint_ptr>* endpoints(const std::string& service) const;
  /// Forgets what answers said, since it may be old: levels, loads and ejections. Leaving nodes stay leaving.
  void forget_reports();
  /// @}

  /// @name Events
  /// Each appends what is to be done to `actions`.
  /// @{

  /// A new call. Its context, deadline and size are set, and its ledger when it is a child.
  void start(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  /// An attempt was answered, refused or lost (outcome unknown, or not_run when nothing was written).
  void on_answer(const outbound_call_ptr& call, std::size_t index, const attempt_answer& answer,
                 time_point now, sender_actions& actions);
  /// The caller no longer waits.
  void cancel(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  /// Time has passed. Call it at next_timer() or later.
  void on_time(time_point now, sender_actions& actions);
  /// @}

  /// The endpoint that is to issue a ticket for an order; null when no endpoint takes it now.
  endpoint_ptr choose_ticket_home(const call_context& order, time_point now);

  /// The moment at which on_time() has something to do; may be too early.
  time_point next_timer() const;

  /// The level at which a service takes calls of a route now, as far as answers have told.
  admission_level level_of(const std::string& service, const std::string& route, time_point now) const;

 private:
  /// What answers have told about one route of a service.
  struct route_state {
    latency_tracker latency;
    /// Lowest level of the services below.
    admission_level level_below;
    time_point level_expires{};
    bool calls_on = true;
  };

  struct service_state {
    std::vector<endpoint_ptr> endpoints;
    std::unique_ptr<routing_choice> choice;
    std::unordered_map<std::string, route_state> routes;
    retry_bucket retries;
    retry_bucket hedges;

    explicit service_state(const sender_settings& settings);
  };

  struct timer {
    time_point at;
    outbound_call_ptr call;
    bool is_deadline = false;

    bool operator>(const timer& other) const { return at > other.at; }
  };

  /// Why no endpoint was chosen, or the endpoint.
  struct selection {
    endpoint* chosen = nullptr;
    call_reason reason = call_reason::no_target;
  };

  service_state& state_of(const std::string& service);
  static const route_state* find_route(const service_state& service, const std::string& route);
  static route_state* find_or_add_route(service_state& service, const std::string& route);
  static bool is_shed_below(const service_state& service, const outbound_call& call, time_point now);
  selection select(service_state& service, const outbound_call& call, time_point now);
  selection select_ticket_home(const service_state& service, const outbound_call& call) const;
  bool link_allows(const endpoint& to, const outbound_call& call, time_point now);
  bool is_usable(const service_state& service, const endpoint& candidate, const outbound_call& call,
                 time_point now) const;
  bool is_stalled(const service_state& service, const endpoint& candidate, const std::string& route,
                  time_point now) const;
  duration latency_of(const service_state& service, const std::string& route, double q) const;
  duration hedge_delay(const service_state& service, const std::string& route) const;
  void send(const outbound_call_ptr& call, endpoint& to, bool repeated, bool is_hedge, time_point now,
            sender_actions& actions);
  void retry_or_complete(const outbound_call_ptr& call, call_outcome known, time_point now,
                         sender_actions& actions);
  bool may_retry(const outbound_call& call, call_outcome outcome) const;
  void complete(const outbound_call_ptr& call, call_outcome outcome, call_reason reason, std::size_t index,
                time_point now, sender_actions& actions);
  void hedge(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  void note_report(service_state& service, endpoint& from, const std::string& route,
                   const attempt_answer& answer, time_point now);
  void note_loss(service_state& service, endpoint& from, time_point now);
  static void close(attempt& ended);

  sender_settings settings_;
  random_source& random_;
  std::unordered_map<std::string, service_state> services_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  byte_bucket link_;
};

}  // namespace nutmegarch::policy
