#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/policy/outbound_call.h"
#include "nutmegarch/policy/service_state.h"

namespace nutmegarch::policy {

/// Action that the sender asks its adapter to perform.
struct sender_action {
  enum class kind : std::uint8_t {
    /// Send the attempt's request to its endpoint with `context`.
    send,
    /// Cancel the attempt at the endpoint, because no caller waits for its answer any more.
    abandon,
    /// Answer the caller. When `outcome` is ok or failed, `attempt` is the index of the attempt whose answer
    /// is passed on.
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

/// Decides for outbound calls which endpoint receives them, how often they are retried and when they are
/// given up. Performs no I/O and reads no clock. Not thread-safe.
class sender {
 public:
  /// The sender keeps a reference to `random`, which must outlive it.
  sender(const sender_settings& settings, random_source& random);

  /// @name Endpoints
  /// @{

  /// Adds or replaces the endpoints of a service. For endpoints that remain, the caller passes the same
  /// objects again, because they hold the state learned from answers.
  void set_endpoints(const std::string& service, std::vector<endpoint_ptr> endpoints);
  /// Endpoints of a service, owned by the sender; null when the service is unknown.
  const std::vector<endpoint_ptr>* endpoints(const std::string& service) const;
  /// Sets the token bucket that limits retries to each service; every service has a bucket of its own.
  void set_retry_bucket(const retry_bucket_settings& settings);
  /// Sets this node's byte budget for the link between regions.
  void set_link_budget(const byte_bucket_settings& settings) { link_.set_settings(settings); }
  /// Discards levels, loads and ejections learned from answers, because they may be out of date. Nodes that
  /// reported that they are leaving keep that state.
  void forget_reports();
  /// @}

  /// @name Events
  /// Each function appends the resulting actions to `actions`.
  /// @{

  /// Starts a new call. The caller has set its context, deadline and size, and its token pool when it is the
  /// child of an inbound call.
  void start(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  /// Completes a new call that must not begin, without any attempt.
  void refuse(const outbound_call_ptr& call, call_reason reason, time_point now, sender_actions& actions);
  /// Handles the end of the attempt at `index`: it was answered, refused or lost. A lost attempt has the
  /// outcome unknown, or not_run when nothing was written. Throws std::out_of_range when there is no such
  /// attempt.
  void on_answer(const outbound_call_ptr& call, std::size_t index, const attempt_answer& answer,
                 time_point now, sender_actions& actions);
  /// Completes the call, because its caller no longer waits.
  void cancel(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  /// Completes the call with the outcome known so far, because this node stops.
  void abort(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  /// Handles expired deadlines and hedge timers. Must be called at next_timer() or later.
  void on_tick(time_point now, sender_actions& actions);
  /// @}

  /// Chooses the endpoint that will issue the ticket for an order; null when no endpoint is available.
  endpoint_ptr choose_ticket_issuer(const call_context& order, time_point now);

  /// Time of the next timer; `never` without one. The timer may belong to a call that has already completed.
  time_point next_timer() const;

  /// The level at which a service admits calls of a route, according to recent answers.
  admission_level level_of(const std::string& service, const std::string& route, time_point now) const;

  /// True when recent answers of the service told that only targets call the route, while they run other
  /// calls.
  bool is_inner_route(const std::string& service, const std::string& route, time_point now) const;

 private:
  struct timer {
    time_point at;
    outbound_call_ptr call;
    bool is_deadline = false;

    bool operator>(const timer& other) const { return at > other.at; }
  };

  /// The endpoint that was chosen, or the reason why none was.
  struct selection {
    endpoint* chosen = nullptr;
    call_reason reason = call_reason::no_target;
  };

  service_state& state_of(const std::string& service);
  selection select(service_state& service, outbound_call& call, time_point now);
  selection select_ticket_issuer(const service_state& service, const outbound_call& call) const;
  /// Chooses the best endpoint. An endpoint in another region is used only when the link budget has room for
  /// the call.
  selection choose_within_link(service_state& service, const outbound_call& call,
                               const std::vector<endpoint*>& near, const std::vector<endpoint*>& far,
                               time_point now);
  /// Withdraws the bytes of the call and of its expected answer from the link budget when the endpoint is in
  /// another region. Returns false when the budget is too small.
  bool reserve_link_bytes(const service_state& service, const endpoint& to, const outbound_call& call,
                          time_point now);
  void send(const outbound_call_ptr& call, endpoint& to, bool repeated, bool is_hedge, time_point now,
            sender_actions& actions);
  void retry_or_complete(const outbound_call_ptr& call, call_outcome known_outcome, time_point now,
                         sender_actions& actions);
  /// True when the limits on attempts allow one more attempt.
  bool has_attempts_left(const outbound_call& call) const;
  bool may_retry(const outbound_call& call, call_outcome outcome) const;
  void give_up(const outbound_call_ptr& call, call_reason reason, time_point now, sender_actions& actions);
  void complete(const outbound_call_ptr& call, call_outcome outcome, call_reason reason, std::size_t index,
                time_point now, sender_actions& actions);
  void hedge(const outbound_call_ptr& call, time_point now, sender_actions& actions);
  static void close(attempt& ended);

  sender_settings settings_;
  random_source& random_;
  std::unordered_map<std::string, service_state> services_;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
  byte_bucket link_;
};

}  // namespace nutmegarch::policy
