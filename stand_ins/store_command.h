#pragma once

#include <string>
#include <vector>

namespace nutmegarch::stand_ins {

/// Runs the users' metadata store as a process of its own. POST /stand-in/put/KEY writes the body, POST
/// /stand-in/remove/KEY removes the key, POST /stand-in/forget loses the history and POST
/// /stand-in/mode/good|refuses|limits|silent sets how it answers. These calls are always served.
int run_store(const std::vector<std::string>& words);

}  // namespace nutmegarch::stand_ins
