#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "nutmegarch/policy/concurrency_limit.h"
#include "nutmegarch/policy/inbound_call.h"
#include "nutmegarch/policy/latency_tracker.h"
#include "nutmegarch/policy/level_controller.h"
#include "nutmegarch/policy/request_rate_limiter.h"
#include "nutmegarch/policy/wait_queue.h"

namespace nutmegarch::policy {

/// Settings of receiver. "Slots" is the published number of calls that the target runs at once.
struct receiver_settings {
  /// Starts every call on arrival, without admission control. The performance tests use it as their baseline.
  bool pass_through = false;
  /// Published number of calls that the target runs at once.
  int slots = 64;
  /// Capacity of both wait queues together as a share of the slots.
  double queue_share = 0.5;
  /// Capacity of both wait queues together for orders and inner calls while no less important call can be
  /// evicted for them, as a share of the slots.
  double order_queue_share = 2.0;
  /// Number of waiting calls that makes a standing queue (see level_controller), as a share of the slots.
  double standing_queue_share = 0.1;
  /// Probability in (0, 1) with which a call must finish before its deadline: the quantile of its route's
  /// service time that must fit into the time left.
  double finish_quantile = 0.9;
  /// Service time of a route until enough calls have been measured.
  duration assumed_service_time = std::chrono::milliseconds(1);
  /// A route is long when its mean service time exceeds this multiple of the median over all calls.
  double long_factor = 4.0;
  /// Share of the concurrency limit that long calls may occupy.
  double long_share = 0.75;
  queue_kind queue = queue_kind::adaptive_lifo;
  limit_kind limit = limit_kind::probing;
  level_settings level;
  request_rate_settings rate;
  /// Time that a few calls may wait for their turn at a target that takes only a low rate of requests.
  duration rate_queue_time = std::chrono::milliseconds(250);
};

/// What a receiver tells its adapter to do with a call.
struct receiver_action {
  enum class kind : std::uint8_t {
    /// Send the call to the target, exactly once.
    start,
    /// Answer with call_outcome::not_run and the reason. Nothing has been sent to the target.
    refuse
  };

  kind what = kind::start;
  inbound_call_ptr call;
  call_reason reason = call_reason::none;
};

using receiver_actions = std::vector<receiver_action>;

/// How a running call ended: with an answer, with a refusal for overload, or without an answer.
enum class target_result : std::uint8_t { answered, refused, lost };

/// Admission control at the target's node: decides which calls run, wait or are refused.
///
/// Calls run up to a concurrency_limit and wait in two queues, one for short and one for long calls. A call
/// is long when its route is (receiver_settings::long_factor), all others are short. Long calls may occupy
/// only a share of the limit, so that short ones do not wait behind them. Each queue is ordered by queue
/// priority (inbound_call.h). A target that names the rate of requests that it takes gets no more, and queues
/// and load are measured by what it runs at that rate. Under lasting overload a level_controller lowers the
/// admission_level of the node.
///
/// The class does no I/O and reads no clock. It is not thread-safe.
class receiver {
 public:
  explicit receiver(const receiver_settings& settings);

  /// @name Events
  /// Each appends what the adapter must do to `actions`.
  /// @{

  /// A call has arrived. The caller has set its `arrived`, `deadline` and `context`.
  void offer(const inbound_call_ptr& call, time_point now, receiver_actions& actions);
  /// A running call has ended at the target.
  void finish(const inbound_call_ptr& call, target_result result, time_point now, receiver_actions& actions);
  /// The answer to a running call, before finish(), has named the rate of requests that the target takes, or
  /// none (nullopt).
  rate_change on_named_rate(const inbound_call& call, std::optional<double> rate, time_point now);
  /// A caller passes on the rate that the target had named to it.
  rate_change on_peer_rate(const target_rate& learned, time_point now);
  /// The caller no longer waits for the answer. Refuses the call if it waits; for a running call the adapter
  /// must still call finish().
  void cancel(const inbound_call_ptr& call, time_point now, receiver_actions& actions);
  /// Refuses a waiting call with `reason`, for example because its target process leaves. No effect on a call
  /// that runs.
  void withdraw(const inbound_call_ptr& call, call_reason reason, time_point now, receiver_actions& actions);
  /// Refuses expired calls and adapts the admission level. Call it at least once per
  /// level_settings::interval.
  void on_tick(time_point now, receiver_actions& actions);
  /// The published number of slots has changed. Restarts the concurrency limit at `slots`.
  void set_slots(int slots);
  /// From now on new calls are refused with call_reason::leaving, and so are waiting ones as soon as they
  /// can't end by `answers_due`: later their answers could not be delivered.
  void start_leaving(time_point answers_due);
  /// The caller's node stops, and takes the answer to the call until `due` only. The call is refused with
  /// call_reason::leaving if it waits and can't end by then. No effect on a call that runs.
  void limit_answer(const inbound_call_ptr& call, time_point due, time_point now, receiver_actions& actions);
  /// @}

  /// @name State
  /// @{
  int running() const { return running_; }
  int waiting() const { return short_queue_->size() + long_queue_->size(); }
  int limit() const { return limit_->value(); }
  bool leaving() const { return leaving_; }
  bool idle() const { return running_ == 0 && waiting() == 0; }
  admission_level level() const { return level_controller_.level(); }
  /// The rate of requests that the target takes; nullopt without a limit.
  std::optional<target_rate> rate(time_point now) const { return rate_limiter_.report(now); }
  /// Running and waiting calls divided by the concurrency limit, or by the number that the target runs at the
  /// rate that it takes.
  double load() const;
  /// Quantile `q` in (0, 1) of the recent service times of a route; that of all calls for an unknown route.
  duration service_time(const std::string& route, double q) const;
  /// True when calls of the route are long.
  bool is_long_route(const std::string& route) const;
  /// @}

 private:
  call_reason reason_to_refuse(const inbound_call& call, time_point now);
  /// Why a call that ends at `end` must not start: its deadline, or a stop of its caller's node or of this
  /// one.
  call_reason reason_against_end(const inbound_call& call, time_point end) const;
  /// Time after which the caller's node or this one can't deliver the answer; `never` unless one stops.
  time_point answer_due_of(const inbound_call& call) const;
  /// True when the caller's node or this one stops before the answer to a call that starts now could be
  /// delivered.
  bool is_answer_too_late(const inbound_call& call, time_point now) const;
  bool make_queue_space(const inbound_call& call, receiver_actions& actions);
  void start(const inbound_call_ptr& call, time_point now, receiver_actions& actions);
  void start_waiting_calls(time_point now, receiver_actions& actions);
  wait_queue* next_queue();
  bool can_start_long_call() const;
  /// Number of calls that the target runs concurrently at the rate that it takes, at least 1; the slots
  /// without a limit.
  int usable_slots() const;
  /// Evicts less important calls from queues that became too long because a limit has begun.
  void trim_queues(receiver_actions& actions);
  /// Reason of a refusal for lack of space in the queues.
  call_reason full_reason() const;
  int queue_capacity() const;
  int order_queue_capacity() const;
  int standing_queue_threshold() const;
  void report_waiting_counts();

  receiver_settings settings_;
  std::unique_ptr<concurrency_limit> limit_;
  std::unique_ptr<wait_queue> short_queue_;
  std::unique_ptr<wait_queue> long_queue_;
  level_controller level_controller_;
  request_rate_limiter rate_limiter_;
  std::unordered_map<std::string, latency_tracker> route_service_times_;
  latency_tracker all_service_times_;
  int running_ = 0;
  int running_long_ = 0;
  bool leaving_ = false;
  /// Time after which this node delivers no more answers, since it stops.
  time_point answers_due_ = never;
};

}  // namespace nutmegarch::policy
