#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "nutmegarch/policy/downstream_levels.h"
#include "nutmegarch/policy/order_registry.h"
#include "nutmegarch/policy/receiver.h"
#include "nutmegarch/policy/sender.h"

#include "performance_test/virtual_time/fake_target.h"

namespace nutmegarch::performance_test {

class fake_network;

/// What the measures follow of one request from outside, over its whole chain.
struct tracked_request {
  /// Slot time that targets spent on it.
  duration target_time{};
  bool in_time = false;
};

using tracked_request_ptr = std::shared_ptr<tracked_request>;

/// What the target does for a call of one route, in a deployment whose routes differ.
struct route_work {
  /// The service that runs it.
  std::string service;
  /// Mean time of its own work.
  duration mean{};
  /// Longest time that a target waits for a call of this route.
  duration patience = duration::max();
  /// Routes that the target calls one after the other when its own work is done.
  std::vector<std::string> calls;
};

using route_works = std::map<std::string, route_work>;

/// Settings of fake_node.
struct fake_node_settings {
  std::string host;
  std::string service;
  std::string domain;
  std::string region;
  service_shape shape;
  /// The service that each call goes on to call; empty for the last.
  std::string calls;
  /// Routes that differ in their work; empty when every call is of the same kind.
  route_works routes;
  policy::receiver_settings receiver;
  policy::sender_settings sender;
  /// Orders run under tickets.
  bool uses_tickets = true;
};

/// One node with its target: the decision classes of the real node behind an adapter in virtual time.
class fake_node {
 public:
  using completion = std::function<void(call_outcome, call_reason)>;
  using reply = std::function<void(const policy::attempt_answer&)>;

  fake_node(event_queue& events, random_source& random, fake_network& network,
            const fake_node_settings& settings);

  /// Makes a call for a caller or for the own target. Returns its key.
  std::uint64_t call(call_context context, duration patience, const policy::retry_token_pool_ptr& ledger,
                     const tracked_request_ptr& request, completion done);

  /// A peer's call arrives. Returns its key here, for cancel_inbound().
  std::uint64_t receive(const call_context& context, const tracked_request_ptr& request, reply answer);
  /// The peer no longer waits.
  void cancel_inbound(std::uint64_t key);

  /// Sets the peers of a service.
  void set_endpoints(const std::string& service, std::vector<policy::endpoint_ptr> endpoints) {
    sender_.set_endpoints(service, std::move(endpoints));
  }

  /// The target names this rate of calls a second in its answers from now on; nullopt for none.
  void set_named_rate(std::optional<double> rate) { named_rate_ = rate; }
  /// Replaces the process of the node: it forgets what it has learned about its target, and loses its calls.
  void restart_receiver();
  /// When each call was sent to the target.
  const std::vector<time_point>& arrivals() const { return arrivals_; }

  const fake_node_settings& settings() const { return settings_; }
  fake_target& target() { return target_; }
  policy::receiver& receiver() { return receiver_; }
  policy::order_registry& orders() { return orders_; }

 private:
  struct outbound {
    policy::outbound_call_ptr call;
    tracked_request_ptr request;
    completion done;
    /// Keys of the attempts at their endpoints, by attempt.
    std::unordered_map<std::size_t, std::shared_ptr<std::uint64_t>> remote_keys;
  };

  struct inbound {
    policy::inbound_call_ptr call;
    tracked_request_ptr request;
    reply answer;
    policy::retry_token_pool_ptr ledger;
    std::uint64_t handle = 0;
    std::uint64_t child = 0;
    /// Calls of its route that have been made.
    std::size_t children = 0;
  };

  void tick();
  void apply(const policy::sender_actions& actions);
  void apply(const policy::receiver_actions& actions);
  void send(const policy::sender_action& action);
  void abandon(const policy::sender_action& action);
  void work_done(std::uint64_t key);
  /// Makes the next call that the route of a running call asks for, or finishes it.
  void call_next(std::uint64_t key);
  void call_child(std::uint64_t key, call_context context, duration patience, completion done);
  void finish(std::uint64_t key, policy::target_result result, call_outcome outcome, call_reason reason);
  void respond(const inbound& to, call_outcome outcome, call_reason reason);

  event_queue& events_;
  fake_network& network_;
  fake_node_settings settings_;
  fake_target target_;
  policy::receiver receiver_;
  policy::sender sender_;
  policy::downstream_levels downstream_;
  policy::order_registry orders_;
  std::unordered_map<std::uint64_t, outbound> outbound_;
  std::unordered_map<std::uint64_t, inbound> inbound_;
  std::uint64_t next_key_ = 1;
  std::optional<double> named_rate_;
  std::vector<time_point> arrivals_;
};

/// Delays between places, and the count of what crosses the link between regions.
class fake_network {
 public:
  explicit fake_network(event_queue& events) : events_(events) {}

  void add(fake_node& node) { nodes_[node.settings().host] = &node; }
  fake_node& at(const std::string& host) const { return *nodes_.at(host); }

  /// Runs `arrival` at the other end after the delay between the two places.
  void deliver(const fake_node& from, const fake_node& to, double bytes, std::function<void()> arrival);

  /// Delay one way between two nodes.
  duration delay(const fake_node& from, const fake_node& to) const;

  /// Bytes over the link, both ways.
  double link_bytes() const { return link_bytes_; }
  /// Bytes over the link of calls that had a target in their own region that would have taken them.
  double avoidable_link_bytes() const { return avoidable_link_bytes_; }
  /// Counts the bytes of one message over the link.
  void count(double bytes, bool avoidable);

  /// True when a node in the region of `from` would take the call.
  bool has_near_target(const fake_node& from, const call_context& context) const;

  duration domain_delay = std::chrono::microseconds(500);
  duration region_delay = std::chrono::milliseconds(20);
  /// 30 Mbit/s.
  double link_bytes_per_second = 3'750'000;

 private:
  event_queue& events_;
  std::unordered_map<std::string, fake_node*> nodes_;
  time_point link_free_{};
  double link_bytes_ = 0;
  double avoidable_link_bytes_ = 0;
};

}  // namespace nutmegarch::performance_test
