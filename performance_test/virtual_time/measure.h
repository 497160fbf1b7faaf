#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegarch::performance_test {

/// What one measure found, for the baseline and for the product, in the same run.
struct measured {
  double baseline = 0;
  double value = 0;
};

/// One row of the measures.
struct measure {
  std::string name;
  double target = 0;
  /// The value must not exceed the target; else it must reach it.
  bool at_most = false;
  std::string unit;
  measured (*run)(std::uint64_t seed) = nullptr;
};

/// True when the value meets the target.
bool is_met(const measure& row, double value);

/// The rows in their order.
const std::vector<measure>& all_measures();

measured measure_goodput(std::uint64_t seed);
measured measure_orders(std::uint64_t seed);
measured measure_recovery(std::uint64_t seed);
measured measure_chain(std::uint64_t seed);
measured measure_crest(std::uint64_t seed);
measured measure_crest_fill(std::uint64_t seed);
measured measure_wasted(std::uint64_t seed);
measured measure_blocking(std::uint64_t seed);
measured measure_slow_tail(std::uint64_t seed);
measured measure_amplification(std::uint64_t seed);
measured measure_link(std::uint64_t seed);
measured measure_lagging(std::uint64_t seed);
measured measure_together(std::uint64_t seed);

}  // namespace nutmegarch::performance_test
