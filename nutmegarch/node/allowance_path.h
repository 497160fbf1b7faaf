#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "nutmegarch/node/node_state.h"
#include "nutmegarch/organisations/allowance_cache.h"
#include "nutmegarch/organisations/allowance_keeper.h"
#include "nutmegarch/organisations/keeper_route.h"
#include "nutmegarch/protocol/peer_network.h"

namespace nutmegarch::node {

/// Spends the allowances of organisations, which one node each keeps for the whole fleet: asks the keepers
/// for this node's requests, and answers for the allowances that this node keeps. Thread-safe; functions that
/// require the state's lock say so.
class allowance_path final : public std::enable_shared_from_this<allowance_path> {
 public:
  /// Until when the permission may be given back, or why there is none.
  using decision = std::variant<time_point, call_reason>;
  using decision_callback = std::function<void(const decision&)>;

  /// `state` and `peers` must outlive the object.
  allowance_path(node_state& state, protocol::peer_network& peers);

  /// Sets the addresses of the nodes that take calls, and this node's among them, empty if it is not there.
  /// Requires the state's lock.
  void set_nodes(std::vector<std::string> addresses, std::string own_address);
  /// Asks for permission for one request of the organisation. `decided` runs once, without the state's lock,
  /// possibly before this function returns, unless the request is cancelled first.
  void acquire(std::uint64_t key, const std::string& organisation, decision_callback decided);
  /// Forgets a request that waits for its permission; false if there is none with this key.
  bool cancel(std::uint64_t key);
  /// A request with a permission has not run. Requires the state's lock.
  void give_back(const std::string& organisation, time_point granted_until);
  /// A node asks for `wanted` requests of an organisation whose allowance this node may keep.
  protocol::allowance_reply on_request(const std::string& organisation, int wanted);
  /// Gives up questions that have no answer. Call periodically.
  void on_tick();
  /// True if no request waits for its permission.
  bool is_idle() const;

 private:
  struct waiting_request {
    std::uint64_t key = 0;
    decision_callback decided;
  };

  /// A question to a keeper.
  struct question {
    std::string organisation;
    int wanted = 0;
    organisations::keeper_route::step step;
    time_point asked{};
  };

  /// Callbacks to run when the state's lock is released.
  using deferred_decisions = std::vector<std::function<void()>>;

  /// Asks the first keeper that can be asked.
  void ask(const std::string& organisation, int wanted);
  /// Sends a question to the node of the step; fails the waiting requests if there is none.
  void ask(const std::string& organisation, int wanted,
           const std::optional<organisations::keeper_route::step>& step);
  void on_reply(std::uint64_t id, const result<protocol::allowance_reply, protocol::peer_error>& outcome);
  /// Ends a question without an answer, and asks the next keeper.
  void on_no_reply(std::uint64_t id);
  /// Ends a question whose answer names another node, and asks that one.
  void on_redirect(std::uint64_t id, const std::string& address);
  protocol::allowance_reply reply_to(const std::string& organisation, int wanted, time_point now);
  /// Asks the first keepers in whose place this node is asked whether they grant.
  void watch_keepers(time_point now);
  /// Logs that this node grants in another one's place, at most once a second. Requires the state's lock.
  void log_standing_in(const std::string& organisation, time_point now);
  /// Logs that the organisation has used up its allowance, at most once a second. Requires the state's lock.
  void log_used_up(const organisations::organisation& holder, const organisations::allowance_grant& grant,
                   bool is_stand_in, time_point now);
  /// Decides on the waiting requests of the organisation after an answer, and returns how many to ask for
  /// now.
  int settle(const std::string& organisation, deferred_decisions& deferred, time_point now);
  /// Refuses the waiting requests of the organisation.
  void refuse_waiting(const std::string& organisation, call_reason reason, deferred_decisions& deferred);

  node_state& state_;
  protocol::peer_network& peers_;
  /// All following members are guarded by the state's lock.
  organisations::allowance_cache cache_;
  organisations::allowance_keeper keeper_;
  organisations::keeper_route route_;
  std::unordered_map<std::string, std::deque<waiting_request>> waiting_;
  std::unordered_map<std::uint64_t, question> questions_;
  std::uint64_t last_question_ = 0;
  /// When the next line about an organisation may be logged.
  std::unordered_map<std::string, time_point> next_lines_;
  time_point next_standing_in_line_{};
};

}  // namespace nutmegarch::node
