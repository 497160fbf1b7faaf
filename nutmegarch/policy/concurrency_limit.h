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

/// Which limit a receiver uses.
enum class limit_kind : std::uint8_t { fixed, aimd, gradient };

/// Makes a limit of the given kind that starts at `slots`.
std::unique_ptr<concurrency_limit> make_concurrency_limit(limit_kind kind, int slots);

}  // namespace nutmegarch::policy
