#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "nutmegarch/policy/concurrency_limit.h"
#include "nutmegarch/policy/inbound_call.h"
#include "nutmegarch/policy/latency_tracker.h"
#include "nutmegarch/policy/level_controller.h"
#include "nutmegarch/policy/wait_queue.h"

namespace nutmegarch::policy {

/// Settings of receiver.
struct receiver_settings {
  /// Hands every call on at once; the baseline of the measures.
  bool pass_through = false;
  /// Calls that the target runs at once, as published.
  int slots = 64;
  /// Calls that may wait, as a share of the slots.
  double queue_share = 0.5;
  /// Calls that may wait when only orders do, as a share of the slots.
  double order_queue_share = 2.0;
  /// Waiting calls from which on a queue counts as standing, as a share of the slots.
  double standing_share = 0.1;
  /// A call starts only when it would finish in time with this probability.
  double finish_quantile = 0.9;
  /// Service time that is assumed for a route before its first calls.
  duration assumed_service_time = std::chrono::milliseconds(1);
  /// A route is long when its mean service time is this many times that of all calls.
  double long_factor = 4.0;
  /// Share of the slots that long calls may hold.
  double long_share = 0.75;
  queue_kind queue = queue_kind::adaptive_lifo;
  limit_kind limit = limit_kind::probing;
  level_settings level;
};

/// What a receiver asks of its adapter.
struct receiver_action {
  enum class kind : std::uint8_t {
    /// Write the call to the target, once.
    start,
    /// Answer not_run with the reason. No byte has gone to the target.
    refuse
  };

  kind what = kind::start;
  inbound_call_ptr call;
  call_reason reason = call_reason::none;
};

using receiver_actions = std::vector<receiver_action>;

/// How a call left the target.
enum class target_result : std::uint8_t { answered, refused, lost };

/// Decides at the target's node which calls run, wait or are refused. No I/O, no clock; not thread-safe.
class receiver {
 public:
  explicit receiver(const receiver_settings& settings);

  /// @name Events
  /// Each appends what is to be done to `actions`.
  /// @{

  /// A call has arrived; its `arrived`, `deadline` and `context` are set.
  void offer(const inbound_call_ptr& call, time_point now, receiver_actions& actions);
  /// A running call has left the target.
  void finish(const inbound_call_ptr& call, target_result result, time_point now, receiver_actions& actions);
  /// Nobody waits for the call any more. A running call must still be finished by its adapter.
  void cancel(const inbound_call_ptr& call, time_point now, receiver_actions& actions);
  /// Time has passed. Call it at least once in every interval of the level.
  void on_time(time_point now, receiver_actions& actions);
  /// The target runs another number of calls at once than it did, as newly published.
  void set_slots(int slots);
  /// The node takes no new work from now on; what waits still runs.
  void start_leaving() { leaving_ = true; }
  /// @}

  /// @name State
  /// @{
  int running() const { return running_; }
  int waiting() const { return short_queue_->size() + long_queue_->size(); }
  int limit() const { return limit_->value(); }
  bool leaving() const { return leaving_; }
  bool idle() const { return running_ == 0 && waiting() == 0; }
  admission_level level() const { return levels_.level(); }
  /// Calls running and waiting over the limit.
  double load() const;
  /// Service time of a route that a share `q` of its calls stays under.
  duration service_time(const std::string& route, double q) const;
  /// True when calls of the route count as long.
  bool is_long_route(const std::string& route) const;
  /// @}

 private:
  call_reason reason_to_refuse(const inbound_call& call, time_point now) const;
  bool make_room(const inbound_call& call, receiver_actions& actions);
  void start(const inbound_call_ptr& call, time_point now, receiver_actions& actions);
  void start_waiting(time_point now, receiver_actions& actions);
  wait_queue* next_queue();
  bool may_start_long() const;
  int queue_capacity() const;
  int order_capacity() const;
  int standing_size() const;
  void note_waiting();

  receiver_settings settings_;
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<wait_queue> short_queue_;
  std::unique_ptr<wait_queue> long_queue_;
  level_controller levels_;
  std::unordered_map<std::string, latency_tracker> routes_;
  latency_tracker all_routes_;
  int running_ = 0;
  int running_long_ = 0;
  bool leaving_ = false;
};

}  // namespace nutmegarch::policy
