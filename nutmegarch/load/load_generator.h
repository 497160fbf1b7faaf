#pragma once

#include <functional>
#include <memory>

#include "nutmegarch/load/load_result.h"
#include "nutmegarch/load/load_settings.h"

namespace nutmegarch::load {

/// Sends open-loop load until its length is over and every request has ended, on the calling thread.
/// `progress` is told the second and what is known so far, once a second; may be empty.
load_result run_load(const load_settings& settings,
                     const std::function<void(int second, const load_result& so_far)>& progress);

}  // namespace nutmegarch::load
