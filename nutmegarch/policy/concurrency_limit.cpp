#include "nutmegarch/policy/concurrency_limit.h"

#include <algorithm>

namespace nutmegarch::policy {

namespace {

/// Share of the limit that is kept when a target refuses.
constexpr double decrease_factor = 0.9;
/// Refusals within this time of a decrease belong to the same overload.
constexpr duration decrease_interval = std::chrono::milliseconds(100);
/// Weights of one sample in the gradient's averages.
constexpr double short_weight = 0.05;
constexpr double long_weight = 0.002;
/// Latency may exceed the long average by this factor before the limit falls.
constexpr double latency_tolerance = 1.5;
/// Smallest limit of the gradient, as a share of the slots.
constexpr double gradient_floor = 0.25;

}  // namespace

void aimd_limit::on_finish(duration, bool refused, int in_flight, time_point now) {
  if (refused) {
    if (now - decreased_ >= decrease_interval) {
      limit_ = std::max(1.0, limit_ * decrease_factor);
      decreased_ = now;
    }
    return;
  }
  // Grow only while the limit is in use, by one for each full round of calls.
  if (in_flight >= static_cast<int>(limit_)) {
    limit_ = std::min(static_cast<double>(slots_), limit_ + 1.0 / limit_);
  }
}

void gradient_limit::on_finish(duration latency, bool refused, int in_flight, time_point) {
  if (refused) {
    limit_ = std::max(1.0, limit_ * decrease_factor);
    return;
  }
  const double sample = seconds(latency);
  if (long_average_ == 0) {
    short_average_ = sample;
    long_average_ = sample;
  }
  short_average_ += short_weight * (sample - short_average_);
  long_average_ += long_weight * (sample - long_average_);
  if (in_flight * 2 < static_cast<int>(limit_)) {
    return;
  }
  const double gradient = std::clamp(latency_tolerance * long_average_ / short_average_, 0.5, 1.0);
  const double goal = limit_ * gradient + 1;
  const double floor = std::max(1.0, gradient_floor * slots_);
  limit_ = std::clamp(limit_ + short_weight * (goal - limit_), floor, static_cast<double>(slots_));
}

std::unique_ptr<concurrency_limit> make_concurrency_limit(limit_kind kind, int slots) {
  switch (kind) {
    case limit_kind::fixed:
      return std::make_unique<fixed_limit>(slots);
    case limit_kind::aimd:
      return std::make_unique<aimd_limit>(slots);
    case limit_kind::gradient:
      break;
  }
  return std::make_unique<gradient_limit>(slots);
}

}  // namespace nutmegarch::policy
