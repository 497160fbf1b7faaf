#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>

#include "nutmegarch/http/server.h"
#include "nutmegarch/node/call_builder.h"
#include "nutmegarch/node/inbound_path.h"
#include "nutmegarch/protocol/peer_network.h"

namespace nutmegarch::node {

/// Calls that come in at the callers' edge, from outside or from the local target, over all their attempts.
class outbound_path final : public http::request_handler, public std::enable_shared_from_this<outbound_path> {
 public:
  outbound_path(node_state& state, std::shared_ptr<inbound_path> local, protocol::peer_network& peers);

  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override;
  void on_disconnect(std::uint64_t exchange) override;
  void on_bad_request(int status, const std::string& error) override;

  /// Lets time pass for open calls.
  void on_time();
  /// True when no call is open. Takes the state's lock.
  bool is_idle() const;
  /// Calls that have ever begun.
  std::uint64_t begun() const { return begun_; }
  /// Calls that are open now. Holds the state's lock.
  std::size_t size() const { return calls_.size(); }

 private:
  /// One attempt under way: a call to a peer, or to the local target.
  struct attempt_handle {
    std::uint64_t number = 0;
    bool is_local = false;
  };

  struct entry {
    policy::outbound_call_ptr call;
    std::shared_ptr<const request_message> request;
    answer_callback answer;
    std::unordered_map<std::size_t, attempt_handle> handles;
    /// Answers of the target by attempt, until the call is complete.
    std::unordered_map<std::size_t, protocol::peer_answer> answers;
    std::string last_rule;
    /// Key of the inbound call below which the target makes this one; 0 for none.
    std::uint64_t below = 0;
  };

  /// A call that is read and not yet started.
  struct pending_call {
    std::uint64_t key = 0;
    built_call built;
    std::shared_ptr<const request_message> request;
    answer_callback answer;
  };

  void start_call(pending_call pending);
  /// Starts a call by the published routes, or refuses it.
  void start_routed(pending_call pending);
  /// Finds out whether the local target makes the call, and for which of the calls that it runs. Holds the
  /// state's lock.
  void place_in_chain(built_call& built, time_point now);
  /// When the caller of a refused call may ask again. Spread, so that callers do not return together. Holds
  /// the state's lock.
  duration come_back_after(const policy::outbound_call& call, time_point now);
  void fetch_ticket(pending_call pending);
  /// `home` is the host that was asked for the ticket.
  void on_ticket(pending_call pending, const std::string& home, const protocol::peer_answer& content);
  void run(const policy::sender_actions& actions);
  void send(const policy::sender_action& action);
  void abandon(const policy::sender_action& action);
  void complete(const policy::sender_action& action);
  void on_attempt(std::uint64_t key, std::size_t attempt,
                  const result<protocol::peer_answer, protocol::peer_error>& outcome);
  std::uint64_t child_key(const built_call& built, const request_message& request) const;

  node_state& state_;
  std::shared_ptr<inbound_path> local_;
  protocol::peer_network& peers_;
  std::atomic<std::uint64_t> begun_{0};

  /// Guarded by the state's lock.
  std::unordered_map<std::uint64_t, entry> calls_;
};

}  // namespace nutmegarch::node
