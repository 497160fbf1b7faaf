#pragma once

#include <array>
#include <functional>
#include <vector>

#include "performance_test/virtual_time/deployment.h"

namespace nutmegarch::performance_test {

/// What outside callers send.
struct caller_settings {
  /// Requests a second at a moment of the run.
  std::function<double(duration)> rate;
  duration length = std::chrono::seconds(60);
  double order_share = 0.2;
  double important_share = 0.1;
  /// Share of the requests on the route "long".
  double long_share = 0;
  /// Browse requests may run more than once.
  bool idempotent = true;
  duration patience = std::chrono::seconds(1);
  /// Resends of a request that failed or was not answered in time.
  int resends = 5;
  duration resend_delay = std::chrono::milliseconds(50);
  duration client_delay = std::chrono::milliseconds(1);
  /// Nodes of the first service that callers connect to; empty: all.
  std::vector<std::size_t> entries;
  /// Keeps the latencies of short requests, for latency_quantile().
  bool keep_latencies = false;
};

/// Counts of one 100 ms step of a run, by class. A request counts in the step in which it was first sent or
/// answered.
struct step_counts {
  std::array<int, call_class_count> offered{};
  std::array<int, call_class_count> answered{};
  /// Requests first sent in this step that were answered in time by their first or a later attempt.
  std::array<int, call_class_count> answered_of_offered{};
};

constexpr duration step_length = std::chrono::milliseconds(100);

/// Open-loop callers with hard retries, and what they saw.
class fake_callers {
 public:
  fake_callers(deployment& fleet, const caller_settings& settings);

  /// Runs the load, and then `settle` longer.
  void run(duration settle = std::chrono::seconds(5));

  /// Answers a second within [begin, end), over the given classes.
  double answered_rate(duration begin, duration end, bool orders_only = false) const;
  /// Share of the requests first sent within [begin, end) that were answered in time.
  double answered_share(duration begin, duration end, call_class cls) const;
  double offered(duration begin, duration end, call_class cls) const;
  /// Answered requests of a class first sent within [begin, end).
  double answered_of_offered(duration begin, duration end, call_class cls) const;
  const std::vector<step_counts>& steps() const { return steps_; }
  /// Target time spent on requests that were not answered in time, over all target time.
  double wasted_share() const;
  /// Latency that a share `q` of answered short requests stayed under.
  duration latency_quantile(double q) const;

 private:
  struct request;
  using request_ptr = std::shared_ptr<request>;

  void arrive();
  void attempt(const request_ptr& made);
  void on_answer(const request_ptr& made, call_outcome outcome, time_point sent);
  void give_up_or_resend(const request_ptr& made);
  std::size_t step_at(time_point moment) const;

  deployment& fleet_;
  caller_settings settings_;
  std::vector<fake_node*> entries_;
  std::size_t next_entry_ = 0;
  time_point begin_;
  std::vector<step_counts> steps_;
  std::vector<tracked_request_ptr> tracked_;
  std::vector<duration> latencies_;
};

}  // namespace nutmegarch::performance_test
