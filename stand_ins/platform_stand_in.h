#pragma once

#include <string>
#include <vector>

namespace nutmegarch::stand_ins {

/// Runs the platform's configuration service: serves the files of a folder under /v1/values/KEY with a
/// revision as ETag, and long polls with "Prefer: wait=". GET /stand-in/reads tells the reads so far; POST
/// /stand-in/mode?mode=good|stale|slow|down sets how it behaves.
int run_platform(const std::vector<std::string>& words);

}  // namespace nutmegarch::stand_ins
