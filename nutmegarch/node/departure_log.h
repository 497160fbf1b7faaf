#pragma once

#include <string>

#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// Takes a sign that a target process of `host` is leaving, and keeps new calls of this node away from the
/// process. Logs and counts the first sign of each kind for a process. `request` is the id of the request
/// whose answer carried the sign. Requires the state's lock.
void take_departure_sign(node_state& state, const std::string& host, const policy::target_process& process,
                         policy::departure_sign sign, const std::string& request, time_point now);

/// Milliseconds since the sign was first taken for the newest known process of the instance, as written in
/// log lines; empty when it was not. Requires the state's lock.
std::string departure_age_text(const policy::departure_registry& departures, const std::string& instance,
                               policy::departure_sign sign, time_point now);

}  // namespace nutmegarch::node
