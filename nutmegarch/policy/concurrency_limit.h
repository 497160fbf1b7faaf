#pragma once

#include <cstdint>
#include <memory>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// How many calls a target runs at once. Implementations adapt it to what the target shows.
class concurrency_limit {
 public:
  concurrency_limit() = default;
  concurrency_limit(const concurrency_limit&) = delete;
  concurrency_limit& operator=(const concurrency_limit&) = delete;
  virtual ~concurrency_limit() = default;

  /// Calls that may run now; at least 1.
  virtual int value() const = 0;

  /// A call has left the target after `latency`. `refused`: the target refused it for overload.
  /// `in_flight`: calls that ran when it ended, itself included.
  virtual void on_finish(duration latency, bool refused, int in_flight, time_point now) = 0;
};

/// Always the published number of slots.
class fixed_limit final : public concurrency_limit {
 public:
  explicit fixed_limit(int slots) : slots_(slots) {}

  int value() const override { return slots_; }
  void on_finish(duration, bool, int, time_point) override {}

 private:
  int slots_;
};

/// Additive increase up to the published slots; multiplicative decrease when the target refuses.
class aimd_limit final : public concurrency_limit {
 public:
  explicit aimd_limit(int slots) : slots_(slots), limit_(slots) {}

  int value() const override { return static_cast<int>(limit_); }
  void on_finish(duration latency, bool refused, int in_flight, time_point now) override;

 private:
  int slots_;
  double limit_;
  time_point decreased_{};
};

/// Follows the ratio of the best recent latency to the present one, within [slots / 4, slots].
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

/// Climbs towards the limit with the best throughput: now and then it tries a lower or a higher limit, and
/// moves when the throughput shows that the target bears fewer or more calls than the limit says. Never above
/// the slots.
class probing_limit final : public concurrency_limit {
 public:
  explicit probing_limit(int slots) : slots_(slots), limit_(slots) {}

  int value() const override;
  void on_finish(duration latency, bool refused, int in_flight, time_point now) override;

 private:
  enum class probe : std::uint8_t { none, lower, higher };

  void end_window(time_point now);
  void end_probe(double throughput);
  void end_steady(double throughput, double latency, bool is_saturated);
  probe next_probe(bool is_contended) const;

  int slots_;
  double limit_;
  probe probe_ = probe::none;
  probe last_probe_ = probe::higher;
  bool last_was_of_use_ = false;
  /// Finished calls that belong to the limit before, and are not counted.
  int to_skip_ = 0;
  /// Finished calls of the present window, those that saw a full target, and its begin.
  int finished_ = 0;
  int saturated_ = 0;
  double latency_sum_ = 0;
  time_point window_began_{};
  /// Mean latency in seconds of the best window in which the target was not full; 0 before one. Rises slowly.
  double uncontended_latency_ = 0;
  double throughput_at_limit_ = 0;
  int windows_to_probe_ = 2;
  int probe_interval_ = 2;
};

/// Which limit a receiver uses.
enum class limit_kind : std::uint8_t { fixed, aimd, gradient, probing };

/// Makes a limit of the given kind that starts at `slots`.
std::unique_ptr<concurrency_limit> make_concurrency_limit(limit_kind kind, int slots);

}  // namespace nutmegarch::policy
