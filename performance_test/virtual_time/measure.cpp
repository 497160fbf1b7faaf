#include "performance_test/virtual_time/measure.h"

namespace nutmegarch::performance_test {

bool is_met(const measure& row, double value) {
  return row.at_most ? value <= row.target : value >= row.target;
}

const std::vector<measure>& all_measures() {
  static const std::vector<measure> rows = {
      {"goodput", 0.95, false, "share", measure_goodput},
      {"orders", 0.999, false, "share", measure_orders},
      {"recovery", 2.0, true, "s", measure_recovery},
      {"chain", 0.9, false, "share", measure_chain},
      {"crest", 0.999, false, "share", measure_crest},
      {"crest-fill", 0.9, false, "share", measure_crest_fill},
      {"wasted", 0.03, true, "share", measure_wasted},
      {"blocking", 2.0, true, "times", measure_blocking},
      {"slow-tail", 2.0, true, "times", measure_slow_tail},
      {"amplification", 1.1, true, "times", measure_amplification},
      {"link", 1.05, true, "times", measure_link},
      {"lagging", 0.95, false, "share", measure_lagging},
      {"together", 0.85, false, "share", measure_together},
  };
  return rows;
}

}  // namespace nutmegarch::performance_test
