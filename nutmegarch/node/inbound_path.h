#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/node/node_state.h"
#include "nutmegarch/node/target_message.h"
#include "nutmegarch/protocol/peer_messages.h"

namespace nutmegarch::node {

/// What a call made by the local target inherits from the inbound call that the target is running.
struct parent_call {
  /// The inbound call's key, see inbound_path::offer().
  std::uint64_t key = 0;
  call_context context;
  /// Retry tokens of the inbound call; its child calls share them.
  policy::retry_token_pool_ptr token_pool;
  time_point deadline = never;
};

/// Handles calls for the local target: admits or refuses each call, sends the admitted ones to the target,
/// and answers the caller.
///
/// Thread-safe. Functions that require the state's lock are called with node_state::mutex locked;
/// all others lock it themselves where they need it.
class inbound_path final : public std::enable_shared_from_this<inbound_path> {
 public:
  /// Takes the answer to a call.
  using answer_callback = std::function<void(protocol::peer_answer)>;

  /// `state` and `workers` must outlive the object. Connections to the target run on `workers`.
  inbound_path(node_state& state, boost::asio::io_context& workers);

  /// Sets the function that runs, without the state's lock, when a call may have crashed the target. Must be
  /// called before the first call is offered.
  void set_crash_listener(std::function<void()> listener) { crash_listener_ = std::move(listener); }

  /// Accepts a call that arrived from a peer or from this node's own callers. Returns its key, for cancel().
  /// `answer` is called once, on any thread, possibly before this function returns.
  std::uint64_t offer(protocol::peer_call call, answer_callback answer);
  /// Cancels a call for whose answer nobody waits any more. No effect when the call has ended.
  void cancel(std::uint64_t key);
  /// The node that sent `calls` stops, and takes their answers only for the time `within`. Those that wait
  /// and can't end in time are refused. Unknown ids are ignored.
  void limit_answers(const std::vector<request_id>& calls, duration within);
  /// Issues a ticket for an order that is to run at this node. The answer holds the ticket, or the reason for
  /// which none was issued.
  protocol::peer_answer issue_ticket(const protocol::peer_call& call);
  /// Updates the admission level, refuses waiting calls that have expired, and prunes idle connections.
  /// Called on each tick.
  void on_tick();
  /// Closes the idle connections to the target. For use when they may be dead.
  void close_idle_connections() { target_.close_idle_connections(); }

  /// Bytes received of unfinished answers of the target.
  std::size_t unfinished_answer_bytes() const { return target_.unfinished_answer_bytes(); }

  /// The running call with this request id; nullopt when there is none. Requires the state's lock.
  std::optional<parent_call> find_parent(const request_id& id) const;
  /// The running call whose deadline is nearest to `deadline`, within the precision to which deadlines are
  /// passed on; nullopt when there is none. The calls that a target makes expire together with the call that
  /// it runs, so the deadline of a child call identifies its parent. Requires the state's lock.
  std::optional<parent_call> find_parent_by_deadline(time_point deadline) const;
  /// The most likely parent of a call of the target that does not name its parent: the most recently resumed
  /// of the running calls that do not expire before `deadline`, have no open child call, and whose route has
  /// called `service` on `route` before. Nullopt when there is none. Requires the state's lock.
  std::optional<parent_call> find_likely_parent(const std::string& service, const std::string& route,
                                                time_point deadline) const;
  /// @name Start and end of a child call
  /// `parent` is the key of the inbound call below which the target makes the call; the parent may have ended
  /// already. Both require the state's lock.
  /// @{
  void on_child_began(std::uint64_t parent);
  void on_child_ended(std::uint64_t parent, time_point now);
  /// @}
  /// Records that the call with request id `parent` called `service` on `route`. Requires the state's lock.
  void record_child(const request_id& parent, const std::string& service, const std::string& route);
  /// True when no call is running or waiting. Locks the state.
  bool is_idle() const;
  /// Number of calls that are running or waiting. Requires the state's lock.
  std::size_t size() const { return calls_.size(); }
  /// Bytes of these calls' requests. Requires the state's lock.
  std::size_t size_in_bytes() const { return held_bytes_; }

 private:
  struct call_entry {
    policy::inbound_call_ptr call;
    /// Null once it was handed over to the target, which gets it once.
    std::shared_ptr<const request_message> request;
    /// Bytes of the request.
    std::size_t held_bytes = 0;
    answer_callback answer;
    policy::retry_token_pool_ptr token_pool;
    /// The table that owns `rules`; null when the call was not subject to rule enforcement.
    std::shared_ptr<const rules::rule_table> table;
    rules::call_rules rules;
    /// Identifies the exchange with the target; 0 before the exchange has begun.
    std::uint64_t exchange_id = 0;
    bool is_cancelled = false;
    /// Start of the target process that the call was sent to, in milliseconds; 0 when unknown.
    std::int64_t process_started_ms = 0;
    /// Number of child calls that have not ended.
    int open_children = 0;
    /// When the target last continued with the call: at its start, or when a child call ended.
    time_point last_resumed{};
    /// The call repeats an order that is running; it gets the answer of the first copy.
    bool is_duplicate = false;
  };

  /// An answer to deliver once the state's lock is released.
  struct deferred_answer {
    answer_callback callback;
    protocol::peer_answer content;
  };

  /// Work to do once the state's lock is released.
  struct deferred_work {
    std::vector<policy::inbound_call_ptr> starts;
    std::vector<deferred_answer> answers;
    /// A call may have crashed the target, so the crash listener must be called.
    bool has_crash = false;
    /// Connections were lost during calls; check whether the target is still reachable.
    bool needs_target_check = false;
  };

  /// Checks that come before the receiver: tickets, quarantine, leaving target processes and rules. Returns
  /// the answer of a call that must not be offered to the receiver. Returns nullopt when the call may be
  /// offered, and when it duplicates a running order.
  std::optional<protocol::peer_answer> refuse_early(const protocol::peer_call& call,
                                                    const answer_callback& answer, call_entry& new_entry,
                                                    time_point now);
  std::optional<protocol::peer_answer> check_ticket(const call_context& context,
                                                    const answer_callback& answer, call_entry& new_entry,
                                                    time_point now);
  /// Counts the bytes of a request that waits or runs. These two require the state's lock.
  void hold(std::size_t bytes);
  void let_go(std::size_t bytes);
  /// True when the requests of the calls that wait or run leave no room for one of this size.
  bool is_too_large_now(std::size_t request_bytes) const;
  void apply_actions(const policy::receiver_actions& actions, deferred_work& deferred);
  void end_call(std::uint64_t key, protocol::peer_answer content, deferred_work& deferred);
  void run_deferred(deferred_work& deferred);
  /// Refuses the calls that wait for a target process which has been leaving for a while, so that their
  /// senders choose other targets. Requires the state's lock.
  void withdraw_from_leaving_targets(time_point now, policy::receiver_actions& actions);
  void start_call(const policy::inbound_call_ptr& call);
  void on_target_answer(std::uint64_t key, result<answer_message, http::client_error> outcome);
  /// Checks whether the target has crashed by connecting to it. If it has, records a crash for each suspect
  /// request and calls the crash listener.
  void check_target();
  /// Takes the sign that the target process is leaving, if its answer has one, and sets in `answered` that
  /// the process has announced it. Requires the state's lock.
  void take_departure(const call_entry& ended, target_answer& answered, time_point now);
  void record_order_result(const call_entry& ended, const protocol::peer_answer& content, time_point now);
  /// Adds an event when the rate that the target takes has changed. `cause` tells what has changed it.
  void record_rate_change(policy::rate_change change, const std::optional<target_rate>& before,
                          const call_context& cause, time_point now);
  void fill_report(protocol::peer_answer& content, const std::string& route) const;
  int count_active_targets() const;
  static parent_call to_parent_call(std::uint64_t key, const call_entry& running);

  node_state& state_;
  http::client_pool target_;
  time_point next_idle_check_{};
  time_point next_departure_check_{};
  std::function<void()> crash_listener_;

  /// Guarded by the state's lock.
  std::unordered_map<std::uint64_t, call_entry> calls_;
  /// Sum of call_entry::held_bytes.
  std::size_t held_bytes_ = 0;
  /// Keys of calls by the hash of their request id.
  std::unordered_map<std::uint64_t, std::uint64_t> key_by_request_;
  /// Deadlines and keys of the running calls that have a deadline.
  std::set<std::pair<time_point, std::uint64_t>> keys_by_deadline_;
  /// Callbacks of the duplicates of running orders, by the sequence number of the ticket.
  std::unordered_map<std::uint64_t, std::vector<answer_callback>> order_waiters_;
  std::uint64_t next_key_ = 1;
};

}  // namespace nutmegarch::node
