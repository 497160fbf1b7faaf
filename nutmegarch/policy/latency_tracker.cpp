#include "nutmegarch/policy/latency_tracker.h"

#include <tuple>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace nutmegarch::policy {

namespace {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using log_histogram =
    boost::histogram::histogram<std::tuple<log_axis>, boost::histogram::dense_storage<double>>;

constexpr int bin_count = 96;
constexpr double lowest_seconds = 50e-6;
constexpr double highest_seconds = 100.0;
/// After this many samples all counts are halved.
constexpr double fade_after_samples = 512;
/// Fewer samples than this say nothing about a quantile.
constexpr double least_samples = 16;
constexpr double mean_weight = 0.02;

}  // namespace

struct latency_tracker::histogram {
  log_histogram counts = boost::histogram::make_histogram_with(
      std::vector<double>(), log_axis(bin_count, lowest_seconds, highest_seconds));
};

latency_tracker::latency_tracker() : histogram_(std::make_unique<histogram>()) {}
latency_tracker::latency_tracker(latency_tracker&&) noexcept = default;
latency_tracker& latency_tracker::operator=(latency_tracker&&) noexcept = default;
latency_tracker::~latency_tracker() = default;

void latency_tracker::add(duration latency) {
  histogram_->counts(to_seconds(latency));
  total_ += 1;
  since_fade_ += 1;
  mean_ = total_ == 1 ? latency : mean_ + from_seconds(mean_weight * to_seconds(latency - mean_));
  if (since_fade_ >= fade_after_samples) {
    histogram_->counts *= 0.5;
    total_ *= 0.5;
    since_fade_ = 0;
  }
}

duration latency_tracker::quantile(double q, duration fallback) const {
  if (total_ < least_samples) {
    return fallback;
  }
  const log_axis& axis = histogram_->counts.axis();
  double below = histogram_->counts.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    below += histogram_->counts.at(i);
    if (below >= q * total_) {
      return from_seconds(axis.value(i + 1));
    }
  }
  return from_seconds(highest_seconds);
}

}  // namespace nutmegarch::policy
