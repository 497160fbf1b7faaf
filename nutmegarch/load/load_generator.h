#pragma once

#include <functional>
#include <memory>

#include "nutmegarch/load/load_result.h"
#include "nutmegarch/load/load_settings.h"

namespace nutmegarch::load {

/// Sends open-loop load: requests start at the rates of the settings, no matter how fast they are answered.
/// Blocks the calling thread until the length of the run has passed and every request has been answered or
/// given up. Calls `progress` on this thread once a second with the number of the current second and the
/// counts so far, which have no quantiles yet; it may be empty.
load_result run_load(const load_settings& settings,
                     const std::function<void(int second, const load_result& so_far)>& progress);

}  // namespace nutmegarch::load
