#pragma once

#include <memory>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Recent latencies of one kind of call, as a histogram on a logarithmic scale whose old samples fade.
class latency_tracker {
 public:
  latency_tracker();
  latency_tracker(latency_tracker&&) noexcept;
  latency_tracker& operator=(latency_tracker&&) noexcept;
  ~latency_tracker();

  /// Adds one sample.
  void add(duration latency);

  /// The latency that a share `q` in (0, 1) of recent calls stayed under; `fallback` before the first
  /// samples.
  duration quantile(double q, duration fallback) const;

  /// Mean of recent latencies; 0 before the first sample.
  duration mean() const { return mean_; }

 private:
  struct histogram;

  std::unique_ptr<histogram> histogram_;
  duration mean_{};
  double total_ = 0;
  double since_fade_ = 0;
};

}  // namespace nutmegarch::policy
