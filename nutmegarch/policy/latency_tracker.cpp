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
constexpr double min_latency_seconds = 50e-6;
constexpr double max_latency_seconds = 100.0;
/// All bins are halved after this many samples.
constexpr double decay_interval_samples = 512;
/// With fewer samples no quantile is given.
constexpr double min_quantile_samples = 16;
/// Weight of one sample in the moving average.
constexpr double mean_sample_weight = 0.02;

}  // namespace

struct latency_tracker::histogram {
  log_histogram counts = boost::histogram::make_histogram_with(
      std::vector<double>(), log_axis(bin_count, min_latency_seconds, max_latency_seconds));
};

latency_tracker::latency_tracker() : histogram_(std::make_unique<histogram>()) {}
latency_tracker::latency_tracker(latency_tracker&&) noexcept = default;
latency_tracker& latency_tracker::operator=(latency_tracker&&) noexcept = default;
latency_tracker::~latency_tracker() = default;

void latency_tracker::add(duration latency) {
  histogram_->counts(to_seconds(latency));
  sample_count_ += 1;
  samples_since_decay_ += 1;
  mean_ =
      sample_count_ == 1 ? latency : mean_ + from_seconds(mean_sample_weight * to_seconds(latency - mean_));
  if (samples_since_decay_ >= decay_interval_samples) {
    histogram_->counts *= 0.5;
    sample_count_ *= 0.5;
    samples_since_decay_ = 0;
  }
}

duration latency_tracker::quantile(double q, duration fallback) const {
  if (sample_count_ < min_quantile_samples) {
    return fallback;
  }
  const log_axis& axis = histogram_->counts.axis();
  double below = histogram_->counts.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    below += histogram_->counts.at(i);
    if (below >= q * sample_count_) {
      return from_seconds(axis.value(i + 1));
    }
  }
  return from_seconds(max_latency_seconds);
}

}  // namespace nutmegarch::policy
