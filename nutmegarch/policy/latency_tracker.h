#pragma once

#include <memory>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Recent latencies of one kind of call: a histogram on a logarithmic scale with exponential decay, and a
/// moving average. Not thread-safe.
class latency_tracker {
 public:
  latency_tracker();
  latency_tracker(latency_tracker&&) noexcept;
  latency_tracker& operator=(latency_tracker&&) noexcept;
  ~latency_tracker();

  /// Adds one sample. Quantiles count latencies below 50 us in the first bin, and those above 100 s as
  /// 100 s.
  void add(duration latency);

  /// Upper bound of the histogram bin that holds quantile `q` in (0, 1); `fallback` while there are too few
  /// samples.
  duration quantile(double q, duration fallback) const;

  /// Exponential moving average of the latencies; 0 before the first sample.
  duration mean() const { return mean_; }

 private:
  struct histogram;

  std::unique_ptr<histogram> histogram_;
  duration mean_{};
  /// Sum of all bins; halved with them.
  double sample_count_ = 0;
  double samples_since_decay_ = 0;
};

}  // namespace nutmegarch::policy
