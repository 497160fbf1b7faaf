#pragma once

#include <string>
#include <vector>

#include "nutmegarch/membership/host_list.h"

namespace nutmegarch::membership {

/// Chooses the hosts of a service that watch the configuration service for the others: the first `count`
/// hosts by the hash of their names (rendezvous hashing), without leaving hosts, from as many different
/// failure domains as possible. Nodes with different lists may choose different readers; this is harmless,
/// since too many or too few hosts then read for a while.
std::vector<std::string> choose_readers(const host_list& hosts, std::size_t count);

}  // namespace nutmegarch::membership
