#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>

#include "nutmegarch/http/server.h"
#include "nutmegarch/node/allowance_path.h"
#include "nutmegarch/node/call_builder.h"
#include "nutmegarch/node/inbound_path.h"
#include "nutmegarch/protocol/peer_network.h"

namespace nutmegarch::node {

/// Handles the requests that arrive at the caller-facing HTTP server, from outside or from the local target.
/// Builds a call from each request, routes it, and makes its attempts at the local target or through peers.
/// Any thread may call the public functions.
class outbound_path final : public http::request_handler, public std::enable_shared_from_this<outbound_path> {
 public:
  outbound_path(node_state& state, std::shared_ptr<inbound_path> local,
                std::shared_ptr<allowance_path> allowances, protocol::peer_network& peers);

  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override;
  void on_disconnect(std::uint64_t exchange) override;
  void on_bad_request(int status, const std::string& error) override;

  /// Runs the timers of the open calls: deadlines and hedges. Takes the state's lock.
  void on_tick();
  /// Answers all open calls with what is known of them, because this node stops. Takes the state's lock.
  void abort_calls();
  /// Whether no call is open. Takes the state's lock.
  bool is_idle() const;
  /// Number of requests received since the start. Any thread may call it.
  std::uint64_t started_calls() const { return started_calls_; }
  /// Number of open calls. The caller holds the state's lock.
  std::size_t size() const { return calls_.size(); }
  /// Bytes of the bodies of the open calls' requests and answers. The caller holds the state's lock.
  std::size_t size_in_bytes() const;

 private:
  /// Handle to cancel an unfinished attempt.
  struct attempt_handle {
    /// Key at the inbound path when the attempt is local, otherwise the peer network's number of the call.
    std::uint64_t exchange_id = 0;
    bool is_local = false;
    /// The node at which the attempt is knows until when this node can take the answer.
    bool knows_answer_limit = false;
  };

  struct open_call {
    policy::outbound_call_ptr call;
    std::shared_ptr<const request_message> request;
    answer_callback answer;
    std::unordered_map<std::size_t, attempt_handle> handles;
    /// Answers received so far, by attempt. Kept until the call is complete.
    std::unordered_map<std::size_t, protocol::peer_answer> answers;
    std::string last_rule;
    /// Key of the inbound call for which the local target makes this call; 0 for none.
    std::uint64_t parent_key = 0;
    /// Until when the permission that the call took of an allowance may be given back.
    std::optional<time_point> granted_until;
  };

  /// A call built from its request, before its first attempt.
  struct pending_call {
    std::uint64_t key = 0;
    built_call built;
    std::shared_ptr<const request_message> request;
    answer_callback answer;
    /// As in open_call.
    std::optional<time_point> granted_until;
  };

  void start_call(pending_call pending);
  /// Starts a call according to the published routes, or rejects it.
  void start_routed(pending_call pending, const caller_fields& caller);
  /// Starts a call that has the permission of its organisation's allowance, or rejects it.
  void on_allowance_decided(pending_call pending, const allowance_path::decision& decided);
  /// Answers a request that is not started.
  void reject(const pending_call& pending, call_reason reason, duration retry_after);
  /// Detects whether the local target makes the call and for which inbound call, and copies class, shed rank
  /// and depth from that parent. The caller holds the state's lock.
  void assign_parent(built_call& built, time_point now);
  /// Delay after which the caller of a refused call may retry. Randomized, so that refused callers do not
  /// retry at the same time. The caller holds the state's lock.
  duration choose_retry_after(time_point caller_deadline, time_point now);
  /// Requests an order ticket from the ticket issuer.
  void fetch_ticket(pending_call pending);
  /// `issuer` is the host that the ticket was requested from.
  void on_ticket(pending_call pending, const std::string& issuer, const protocol::peer_answer& ticket_answer);
  /// In a planned stop, tells the peers that hold attempts made before the stop until when this node can take
  /// their answers.
  void limit_earlier_attempts();
  void run_actions(const policy::sender_actions& actions);
  void send(const policy::sender_action& action);
  void abandon(const policy::sender_action& action);
  void complete(const policy::sender_action& action);
  void on_attempt_ended(std::uint64_t key, std::size_t attempt,
                        const result<protocol::peer_answer, protocol::peer_error>& outcome);
  /// Logs that the pace of a target has begun or ended; `paced_before` is what it was before an answer.
  void log_pace(const policy::endpoint& at, int paced_before);
  /// Records that a target process has announced that it leaves, if the answer says so. Returns true when it
  /// is the process of the endpoint. Requires the state's lock.
  bool take_departure(const protocol::peer_answer& content, const policy::endpoint& from,
                      const call_context& context);
  std::uint64_t child_key(const built_call& built, const request_message& request) const;

  node_state& state_;
  std::shared_ptr<inbound_path> local_;
  std::shared_ptr<allowance_path> allowances_;
  protocol::peer_network& peers_;
  std::atomic<std::uint64_t> started_calls_{0};

  /// Guarded by the state's lock.
  std::unordered_map<std::uint64_t, open_call> calls_;
};

}  // namespace nutmegarch::node
