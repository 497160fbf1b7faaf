#pragma once

#include <string>
#include <vector>

namespace nutmegarch::stand_ins {

/// Runs a target: an HTTP server with slots, service times, stragglers, stalls, drain, a crash on a marked
/// request, deadlines and cancellation. GET /stand-in/status tells its counts, POST /stand-in/slow?factor=3
/// slows it, POST /stand-in/stall?ms=500 stalls it.
int run_target(const std::vector<std::string>& words);

}  // namespace nutmegarch::stand_ins
