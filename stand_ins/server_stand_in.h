#pragma once

#include <string>
#include <vector>

namespace nutmegarch::stand_ins {

/// Runs an application server of the users' platform: it checks who is meant, rejects what its slots and
/// queue do not take, echoes the attempt id, signs its answers and writes a line to standard output for each
/// request that arrives ("A"), runs ("R") and ends ("D"), and for each call of its own ("C"). GET
/// /stand-in/trouble?reject=SHARE&fail=&lose=&truncate=&extra=&garbage=&slow=FACTOR sets how it misbehaves;
/// with leaving=1 its answers say that it leaves.
int run_server(const std::vector<std::string>& words);

}  // namespace nutmegarch::stand_ins
