#include "nutmegarch/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace nutmegarch::policy {

namespace {

/// Factor on the limit when the target refuses a call.
constexpr double decrease_factor = 0.9;
/// Refusals within this time of a decrease belong to the same overload and cause no further one.
constexpr duration min_decrease_interval = std::chrono::milliseconds(100);
/// Weights of one sample in the exponential moving averages of the gradient limit.
constexpr double short_average_weight = 0.05;
constexpr double long_average_weight = 0.002;
/// Factor by which the recent latency may exceed the long-term average before the limit falls.
constexpr double latency_tolerance = 1.5;
/// Calls in a window of the probing limit: the minimum, and the number per unit of the limit.
constexpr int min_window_calls = 100;
constexpr int window_calls_per_limit = 4;
/// Limit during a probe as a share of the limit before.
constexpr double lower_probe_factor = 0.8;
constexpr double higher_probe_factor = 1.2;
/// Minimum throughput of a probe, as a ratio to the baseline, for the limit to move there. Each asks for half
/// of the change that a target without contention would show.
constexpr double min_lower_probe_ratio = 0.9;
constexpr double min_higher_probe_ratio = 1.1;
/// Windows between two probes. The interval doubles with each failed probe, within these bounds.
constexpr int min_probe_interval = 2;
constexpr int max_probe_interval = 32;
/// Latency as a multiple of the uncontended one above which calls count as slowing each other down.
constexpr double contended_latency_factor = 1.3;
/// Growth of the uncontended latency per window, so that old windows lose their influence.
constexpr double uncontended_latency_growth = 1.01;
/// Growth of the limit per window in which the limit was not reached.
constexpr double unsaturated_limit_growth = 1.1;
/// Share of a window's calls that must end while the limit is reached for the window to count as saturated.
constexpr double min_saturated_share = 0.9;
/// Lower bound of the gradient limit as a share of the slots.
constexpr double min_gradient_share = 0.25;

}  // namespace

void aimd_limit::on_finish(duration, bool refused, int in_flight, time_point now) {
  if (refused) {
    if (now - last_decrease_ >= min_decrease_interval) {
      limit_ = std::max(1.0, limit_ * decrease_factor);
      last_decrease_ = now;
    }
    return;
  }
  // Grow only while the limit is reached, by 1 per `limit_` ended calls.
  if (in_flight >= static_cast<int>(limit_)) {
    limit_ = std::min(static_cast<double>(slots_), limit_ + 1.0 / limit_);
  }
}

void gradient_limit::on_finish(duration latency, bool refused, int in_flight, time_point) {
  if (refused) {
    limit_ = std::max(1.0, limit_ * decrease_factor);
    return;
  }
  const double sample = to_seconds(latency);
  if (long_average_ == 0) {
    short_average_ = sample;
    long_average_ = sample;
  }
  short_average_ += short_average_weight * (sample - short_average_);
  long_average_ += long_average_weight * (sample - long_average_);
  if (in_flight * 2 < static_cast<int>(limit_)) {
    return;
  }
  const double gradient = std::clamp(latency_tolerance * long_average_ / short_average_, 0.5, 1.0);
  const double desired = limit_ * gradient + 1;
  const double min_limit = std::max(1.0, min_gradient_share * slots_);
  limit_ =
      std::clamp(limit_ + short_average_weight * (desired - limit_), min_limit, static_cast<double>(slots_));
}

int probing_limit::value() const {
  const double share = probe_ == probe::lower    ? lower_probe_factor
                       : probe_ == probe::higher ? higher_probe_factor
                                                 : 1.0;
  return std::clamp(static_cast<int>(std::lround(limit_ * share)), 1, slots_);
}

void probing_limit::on_finish(duration latency, bool refused, int in_flight, time_point now) {
  if (refused) {
    limit_ = std::max(1.0, limit_ * decrease_factor);
    return;
  }
  if (calls_to_skip_ > 0) {
    --calls_to_skip_;
    window_start_ = now;
    return;
  }
  ++window_calls_;
  latency_sum_ += to_seconds(latency);
  saturated_calls_ += in_flight >= value() ? 1 : 0;
  if (window_calls_ >= std::max(min_window_calls, window_calls_per_limit * value())) {
    end_window(now);
  }
}

void probing_limit::end_window(time_point now) {
  const double throughput = window_calls_ / std::max(1e-6, to_seconds(now - window_start_));
  const bool is_saturated = saturated_calls_ >= min_saturated_share * window_calls_;
  const double latency = latency_sum_ / window_calls_;
  window_calls_ = 0;
  saturated_calls_ = 0;
  latency_sum_ = 0;
  window_start_ = now;
  if (probe_ == probe::none) {
    end_baseline_window(throughput, latency, is_saturated);
  } else {
    end_probe_window(throughput);
  }
}

void probing_limit::end_probe_window(double throughput) {
  const double min_ratio = probe_ == probe::lower ? min_lower_probe_ratio : min_higher_probe_ratio;
  last_probe_succeeded_ = throughput >= min_ratio * baseline_throughput_;
  if (last_probe_succeeded_) {
    limit_ = value();
    probe_interval_ = 0;
  } else {
    probe_interval_ = std::clamp(probe_interval_ * 2, min_probe_interval, max_probe_interval);
  }
  last_probe_kind_ = probe_;
  probe_ = probe::none;
  windows_until_probe_ = probe_interval_;
  calls_to_skip_ = value();
}

void probing_limit::end_baseline_window(double throughput, double latency, bool is_saturated) {
  baseline_throughput_ = throughput;
  if (!is_saturated) {
    const bool is_first = uncontended_latency_ == 0;
    uncontended_latency_ =
        is_first ? latency : std::min(latency, uncontended_latency_ * uncontended_latency_growth);
    // The demand is below the limit, so a decrease learned under load is undone step by step.
    limit_ = std::min(static_cast<double>(slots_), limit_ * unsaturated_limit_growth);
    return;
  }
  // A saturated target with uncontended latency can sustain the limit; a probe would only leave slots unused.
  const bool is_contended =
      uncontended_latency_ == 0 || latency > contended_latency_factor * uncontended_latency_;
  if (!is_contended && limit_ >= slots_) {
    return;
  }
  --windows_until_probe_;
  if (windows_until_probe_ <= 0) {
    probe_ = next_probe(is_contended);
    calls_to_skip_ = value();
  }
}

probing_limit::probe probing_limit::next_probe(bool is_contended) const {
  if (!is_contended) {
    return probe::higher;
  }
  // Continue in the direction of a successful probe; otherwise try the opposite one, up to the slots.
  const bool prefers_lower =
      last_probe_succeeded_ ? last_probe_kind_ == probe::lower : last_probe_kind_ == probe::higher;
  const bool is_below_slots = limit_ < slots_;
  return prefers_lower || !is_below_slots ? probe::lower : probe::higher;
}

std::unique_ptr<concurrency_limit> make_concurrency_limit(limit_kind kind, int slots) {
  switch (kind) {
    case limit_kind::fixed:
      return std::make_unique<fixed_limit>(slots);
    case limit_kind::aimd:
      return std::make_unique<aimd_limit>(slots);
    case limit_kind::gradient:
      return std::make_unique<gradient_limit>(slots);
    case limit_kind::probing:
      break;
  }
  return std::make_unique<probing_limit>(slots);
}

}  // namespace nutmegarch::policy
