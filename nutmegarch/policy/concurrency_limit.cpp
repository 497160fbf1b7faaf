#include "nutmegarch/policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

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
/// Calls in a window of the probing limit, at the least and for each call of the limit.
constexpr int least_window_calls = 100;
constexpr int window_calls_per_limit = 4;
/// What a probe tries, as a share of the limit.
constexpr double lower_probe = 0.8;
constexpr double higher_probe = 1.2;
/// Throughput of a probe over that at the limit, from which on the limit moves there. Half of the change that
/// a target without contention would show.
constexpr double lower_keeps = 0.9;
constexpr double higher_gains = 1.1;
/// Windows between two probes: after the first one that was of no use, and at the most.
constexpr int first_probe_interval = 2;
constexpr int most_probe_interval = 32;
/// Latency over that of a target that is not full, from which on calls hold each other up.
constexpr double contended_latency = 1.3;
/// Growth of the uncontended latency in a window, so that an old one fades.
constexpr double latency_fade = 1.01;
/// Growth of the limit in a window in which the target was not full.
constexpr double growth = 1.1;
/// Share of a window's calls that must have seen a full target.
constexpr double saturated_share = 0.9;
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
  const double sample = to_seconds(latency);
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

int probing_limit::value() const {
  const double share = probe_ == probe::lower ? lower_probe : probe_ == probe::higher ? higher_probe : 1.0;
  return std::clamp(static_cast<int>(std::lround(limit_ * share)), 1, slots_);
}

void probing_limit::on_finish(duration latency, bool refused, int in_flight, time_point now) {
  if (refused) {
    limit_ = std::max(1.0, limit_ * decrease_factor);
    return;
  }
  if (to_skip_ > 0) {
    --to_skip_;
    window_began_ = now;
    return;
  }
  ++finished_;
  latency_sum_ += to_seconds(latency);
  saturated_ += in_flight >= value() ? 1 : 0;
  if (finished_ >= std::max(least_window_calls, window_calls_per_limit * value())) {
    end_window(now);
  }
}

void probing_limit::end_window(time_point now) {
  const double throughput = finished_ / std::max(1e-6, to_seconds(now - window_began_));
  const bool is_saturated = saturated_ >= saturated_share * finished_;
  const double latency = latency_sum_ / finished_;
  finished_ = 0;
  saturated_ = 0;
  latency_sum_ = 0;
  window_began_ = now;
  if (probe_ == probe::none) {
    end_steady(throughput, latency, is_saturated);
  } else {
    end_probe(throughput);
  }
}

void probing_limit::end_probe(double throughput) {
  const double needed = probe_ == probe::lower ? lower_keeps : higher_gains;
  last_was_of_use_ = throughput >= needed * throughput_at_limit_;
  if (last_was_of_use_) {
    limit_ = value();
    probe_interval_ = 0;
  } else {
    probe_interval_ = std::clamp(probe_interval_ * 2, first_probe_interval, most_probe_interval);
  }
  last_probe_ = probe_;
  probe_ = probe::none;
  windows_to_probe_ = probe_interval_;
  to_skip_ = value();
}

void probing_limit::end_steady(double throughput, double latency, bool is_saturated) {
  throughput_at_limit_ = throughput;
  if (!is_saturated) {
    const bool is_first = uncontended_latency_ == 0;
    uncontended_latency_ = is_first ? latency : std::min(latency, uncontended_latency_ * latency_fade);
    // Nobody asks for more; what was learned under pressure fades.
    limit_ = std::min(static_cast<double>(slots_), limit_ * growth);
    return;
  }
  // A full target that is as fast as an idle one bears its limit, and a probe would only waste its slots.
  const bool is_contended = uncontended_latency_ == 0 || latency > contended_latency * uncontended_latency_;
  if (!is_contended && limit_ >= slots_) {
    return;
  }
  --windows_to_probe_;
  if (windows_to_probe_ <= 0) {
    probe_ = next_probe(is_contended);
    to_skip_ = value();
  }
}

probing_limit::probe probing_limit::next_probe(bool is_contended) const {
  if (!is_contended) {
    return probe::higher;
  }
  // Go on in a direction that was of use; else try the other one, as far as there is room.
  const bool goes_lower = last_was_of_use_ ? last_probe_ == probe::lower : last_probe_ == probe::higher;
  const bool has_room = limit_ < slots_;
  return goes_lower || !has_room ? probe::lower : probe::higher;
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
