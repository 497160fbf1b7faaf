#pragma once

#include <cstdint>

namespace nutmegarch::performance_test {

/// Prints a row for each alternative of the limit, the queue and the routing choice. docs/design quotes them.
void run_studies(std::uint64_t seed);

}  // namespace nutmegarch::performance_test
