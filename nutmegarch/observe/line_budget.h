#pragma once

#include <algorithm>

#include "nutmegarch/core/time.h"

namespace nutmegarch::observe {

/// Lines that may be logged, refilled by the time: keeps the volume bounded under load. Not thread-safe.
class line_budget {
 public:
  /// `rate` lines a second in the long run, `burst` at once.
  line_budget(double rate, double burst) : rate_(rate), burst_(burst), lines_(burst) {}

  /// True when a line may be logged now. Counts those that may not.
  bool take(time_point now) {
    if (now > refilled_) {
      lines_ = std::min(burst_, lines_ + rate_ * to_seconds(now - refilled_));
      refilled_ = now;
    }
    if (lines_ < 1) {
      ++suppressed_;
      return false;
    }
    lines_ -= 1;
    return true;
  }

  /// Lines that were not logged since the last call.
  std::uint64_t take_suppressed() {
    const std::uint64_t count = suppressed_;
    suppressed_ = 0;
    return count;
  }

 private:
  double rate_;
  double burst_;
  double lines_;
  time_point refilled_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace nutmegarch::observe
