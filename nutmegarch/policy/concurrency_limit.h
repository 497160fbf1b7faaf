#pragma once

#include <cstdint>
#include <memory>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Number of calls that a target may run at once. Implementations adapt it to the latency, throughput and
/// refusals of the target. Not thread-safe.
class concurrency_limit {
 public:
  concurrency_limit() = default;
  concurrency_limit(const concurrency_limit&) = delete;
  concurrency_limit& operator=(const concurrency_limit&) = delete;
  virtual ~concurrency_limit() = default;

  /// Number of calls that may run now; at least 1.
  virtual int value() const = 0;

  /// A call has ended at the target after `latency`. `refused`: the target refused it for overload.
  /// `in_flight`: number of calls that were running when it ended, itself included.
  virtual void on_finish(duration latency, bool refused, int in_flight, time_point now) = 0;
};

/// Constant limit: the published number of slots.
class fixed_limit final : public concurrency_limit {
 public:
  explicit fixed_limit(int slots) : slots_(slots) {}

  int value() const override { return slots_; }
  void on_finish(duration, bool, int, time_point) override {}

 private:
  int slots_;
};

/// Additive increase up to the published slots; multiplicative decrease when the target refuses calls.
class aimd_limit final : public concurrency_limit {
 public:
  explicit aimd_limit(int slots) : slots_(slots), limit_(slots) {}

  int value() const override { return static_cast<int>(limit_); }
  void on_finish(duration latency, bool refused, int in_flight, time_point now) override;

 private:
  int slots_;
  double limit_;
  time_point last_decrease_{};
};

/// Follows the ratio of the long-term average latency to the recent one. The gradient keeps the limit within
/// [slots / 4, slots]; refusals may lower it further.
class gradient_limit final : public concurrency_limit {
 public:
  explicit gradient_limit(int slots) : slots_(slots), limit_(slots) {}

  int value() const override { return static_cast<int>(limit_); }
  void on_finish(duration latency, bool refused, int in_flight, time_point now) override;

 private:
  int slots_;
  double limit_;
  double short_average_ = 0;
  double long_average_ = 0;
};

/// Hill climbing towards the limit with the best throughput, up to the published slots. Measures windows of
/// calls; from time to time a window runs with a lower or higher limit (a probe), which becomes the limit
/// when its throughput is good enough.
class probing_limit final : public concurrency_limit {
 public:
  explicit probing_limit(int slots) : slots_(slots), limit_(slots) {}

  int value() const override;
  void on_finish(duration latency, bool refused, int in_flight, time_point now) override;

 private:
  enum class probe : std::uint8_t { none, lower, higher };

  void end_window(time_point now);
  void end_probe_window(double throughput);
  void end_baseline_window(double throughput, double latency, bool is_saturated);
  probe next_probe(bool is_contended) const;

  int slots_;
  double limit_;
  probe probe_ = probe::none;
  probe last_probe_kind_ = probe::higher;
  bool last_probe_succeeded_ = false;
  /// Calls still to end that started under the previous limit and are not measured.
  int calls_to_skip_ = 0;
  /// Ended calls of the current window, those of them that ended while the limit was reached, and the sum of
  /// their latencies in seconds.
  int window_calls_ = 0;
  int saturated_calls_ = 0;
  double latency_sum_ = 0;
  time_point window_start_{};
  /// Lowest mean latency, in seconds, of windows in which the limit was not reached; 0 before the first one.
  /// It rises slowly so that old windows lose their influence.
  double uncontended_latency_ = 0;
  double baseline_throughput_ = 0;
  int windows_until_probe_ = 2;
  int probe_interval_ = 2;
};

/// Algorithm of the concurrency limit.
enum class limit_kind : std::uint8_t { fixed, aimd, gradient, probing };

/// Makes a limit of the given kind that starts at `slots`.
std::unique_ptr<concurrency_limit> make_concurrency_limit(limit_kind kind, int slots);

}  // namespace nutmegarch::policy
