#include "nutmegarch/node/node_state.h"

#include <utility>

namespace nutmegarch::node {

node_state::node_state(const node_settings& own_settings, std::shared_ptr<const edge_dialect> own_dialect,
                       std::uint64_t own_incarnation, std::uint64_t seed)
    : settings(own_settings),
      dialect(std::move(own_dialect)),
      incarnation(own_incarnation),
      events(own_settings.lifecycle.timeline_capacity, stamps),
      random(seed),
      receiver(own_settings.admission),
      sender(own_settings.routing, random),
      orders(own_incarnation, own_settings.orders),
      crashes(own_settings.crashes),
      suspects(own_settings.crashes.suspect_capacity),
      endpoints({own_settings.identity.host, own_settings.identity.domain, own_settings.identity.region}),
      gossip(own_settings.gossip, random),
      view(own_settings.view),
      configuration_age(own_settings.organisations.keys),
      configuration_lag(own_settings.configuration_lag),
      configuration_readers(own_settings.configuration_readers),
      document_requests(own_settings.document_requests, random),
      stop({own_settings.lifecycle.leave_grace, own_settings.lifecycle.max_leave_time}) {}

}  // namespace nutmegarch::node
