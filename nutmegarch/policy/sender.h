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
  /// Sets the bucket that pays for retries towards each service.
  void set_retry_bucket(const bucket_settings& settings);
  /// Sets this node's part of the link between regions.
  void set_link(const byte_bucket_settings& settings) { link_.set_settings(settings); }
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
  selection select(service_state& service, outbound_call& call, time_point now);
  selection select_ticket_home(const service_state& service, const outbound_call& call) const;
  /// The best of the endpoints; one in another region only when the link has room for the call.
  selection choose_within_link(service_state& service, const outbound_call& call,
                               const std::vector<endpoint*>& near, const std::vector<endpoint*>& far,
                               time_point now);
  /// Takes the bytes of the call and of its answer from the link's budget, if it crosses the link.
  bool link_allows(const service_state& service, const endpoint& to, const outbound_call& call,
                   time_point now);
  void send(const outbound_call_ptr& call, endpoint& to, bool repeated, bool is_hedge, time_point now,
            sender_actions& actions);
  void retry_or_complete(const outbound_call_ptr& call, call_outcome known, time_point now,
                         sender_actions& actions);
  /// The call may be sent to one more target, as far as the number of its attempts goes.
  bool may_reach_another(const outbound_call& call) const;
  bool may_retry(const outbound_call& call, call_outcome outcome) const;
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
