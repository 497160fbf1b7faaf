#include "nutmegarch/node/node_state.h"

#include <utility>

namespace nutmegarch::node {

node_state::node_state(const node_settings& all, std::shared_ptr<const edge_dialect> spoken,
                       std::uint64_t own_incarnation, std::uint64_t seed)
    : settings(all),
      dialect(std::move(spoken)),
      incarnation(own_incarnation),
      events(all.lifecycle.timeline_events, stamps),
      random(seed),
      receiver(all.admission),
      sender(all.routing, random),
      orders(own_incarnation, all.orders),
      crashes(all.crashes),
      suspects(all.crashes.suspect_capacity),
      endpoints({all.identity.host, all.identity.domain, all.identity.region}),
      gossip(all.gossip, random) {}

}  // namespace nutmegarch::node
