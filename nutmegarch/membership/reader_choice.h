#pragma once

#include <string>
#include <vector>

#include "nutmegarch/membership/host_list.h"

namespace nutmegarch::membership {

/// The hosts of a service that watch the configuration service for the others: the first `count` by a hash of
/// their names (rendezvous hashing), from different failure domains as far as there are enough. Nodes with
/// different lists may choose different readers; overlap and gaps are harmless.
std::vector<std::string> choose_readers(const host_list& hosts, std::size_t count);

}  // namespace nutmegarch::membership
