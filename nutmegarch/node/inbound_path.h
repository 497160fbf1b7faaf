#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/node/node_state.h"
#include "nutmegarch/protocol/peer_messages.h"

namespace nutmegarch::node {

/// What a child call takes over from the inbound call that its target runs.
struct parent_call {
  std::uint64_t key = 0;
  call_context context;
  policy::retry_token_pool_ptr ledger;
  time_point deadline = never;
};

/// Calls for the target beside this node: admission, the hand-over to the target, and the answer.
class inbound_path final : public std::enable_shared_from_this<inbound_path> {
 public:
  using reply = std::function<void(protocol::peer_answer)>;

  inbound_path(node_state& state, boost::asio::io_context& workers);

  /// Sets what is told when a call may have crashed the target. Before the first call.
  void set_crash_listener(std::function<void()> listener) { crash_listener_ = std::move(listener); }

  /// A call has arrived from a peer or from this node's own callers. Returns its key, for cancel().
  /// `answer` is called once, on any thread.
  std::uint64_t offer(protocol::peer_call call, reply answer);
  /// Nobody waits for the call any more.
  void cancel(std::uint64_t key);
  /// Issues a ticket for an order that is to run here.
  protocol::peer_answer issue_ticket(const protocol::peer_call& call);
  /// Lets time pass for waiting calls.
  void on_time();
  /// Closes idle connections to the target, since they may be dead.
  void drop_idle() { target_.close_idle_connections(); }

  /// Bytes of answers that the target has not finished.
  std::size_t unfinished_bytes() const { return target_.unfinished_answer_bytes(); }

  /// The running call with this request id; nothing when there is none. Holds the state's lock.
  std::optional<parent_call> find_parent(const request_id& id) const;
  /// The running call that ends at the moment at which a call of the target expires: a target's calls expire
  /// with the call that it runs. Nothing when there is none. Holds the state's lock.
  std::optional<parent_call> find_parent_by_deadline(time_point deadline) const;
  /// The running call below which the target most likely makes a call that tells nothing of its parent: of
  /// those whose routes have called `service` on `route` before and that wait for no other call, the one that
  /// went on last. Nothing when there is none. Holds the state's lock.
  std::optional<parent_call> find_likely_parent(const std::string& service, const std::string& route,
                                                time_point deadline) const;
  /// @name Calls below a running one
  /// Both hold the state's lock. `parent` may have ended.
  /// @{
  void on_child_began(std::uint64_t parent);
  void on_child_ended(std::uint64_t parent, time_point now);
  /// @}
  /// The parent's target calls `service` on `route`. Holds the state's lock.
  void note_child(const request_id& parent, const std::string& service, const std::string& route);
  /// True when no call runs or waits. Takes the state's lock.
  bool is_idle() const;
  /// Calls that are here now. Holds the state's lock.
  std::size_t size() const { return calls_.size(); }

 private:
  struct entry {
    policy::inbound_call_ptr call;
    std::shared_ptr<const request_message> request;
    reply answer;
    policy::retry_token_pool_ptr ledger;
    /// The rules and the table that they live in; null when the call did not enter the gate.
    std::shared_ptr<const rules::rule_table> table;
    rules::call_rules rules;
    /// Number of the exchange with the target; 0 before it has begun.
    std::uint64_t exchange = 0;
    bool is_cancelled = false;
    /// Calls below it that have not ended, and when the target last went on with it.
    int open_children = 0;
    time_point went_on{};
    /// It repeats an order that runs, and is answered with it.
    bool waits_for_first = false;
  };

  /// An answer that is due once the lock is released.
  struct due_answer {
    reply to;
    protocol::peer_answer content;
  };

  /// What is to be done once the lock is released.
  struct work {
    std::vector<policy::inbound_call_ptr> starts;
    std::vector<due_answer> answers;
    bool tell_of_crash = false;
    /// Calls were lost: find out whether the target is still there.
    bool check_target = false;
  };

  /// The answer of a call that is not offered to the receiver; nothing when it is, or when it waits for the
  /// first.
  std::optional<protocol::peer_answer> refuse_early(const protocol::peer_call& call, const reply& answer,
                                                    entry& made, time_point now);
  std::optional<protocol::peer_answer> check_ticket(const call_context& context, const reply& answer,
                                                    entry& made, time_point now);
  void take(const policy::receiver_actions& actions, work& todo);
  void end(std::uint64_t key, protocol::peer_answer content, work& todo);
  void run(work& todo);
  void start(const policy::inbound_call_ptr& call);
  void on_target_answer(std::uint64_t key, result<answer_message, http::client_error> outcome);
  /// Finds out whether the target has crashed, and tells peers which requests were running then.
  void check_target();
  void settle_order(const entry& ended, const protocol::peer_answer& content, time_point now);
  void fill_report(protocol::peer_answer& content, const std::string& route) const;
  int live_targets() const;
  static parent_call as_parent(std::uint64_t key, const entry& running);

  node_state& state_;
  http::client_pool target_;
  time_point next_sweep_{};
  std::function<void()> crash_listener_;

  /// Guarded by the state's lock.
  std::unordered_map<std::uint64_t, entry> calls_;
  std::unordered_map<std::uint64_t, std::uint64_t> by_request_;
  /// Keys of running calls by their deadline.
  std::set<std::pair<time_point, std::uint64_t>> by_deadline_;
  /// Repeats of an order that runs, by the sequence of its ticket.
  std::unordered_map<std::uint64_t, std::vector<reply>> order_waiters_;
  std::uint64_t next_key_ = 1;
};

}  // namespace nutmegarch::node
