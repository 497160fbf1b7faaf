#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "nutmegarch/membership/configuration_age.h"
#include "nutmegarch/membership/configuration_readers.h"
#include "nutmegarch/membership/document_requests.h"
#include "nutmegarch/membership/document_table.h"
#include "nutmegarch/membership/endpoint_table.h"
#include "nutmegarch/membership/gossip_schedule.h"
#include "nutmegarch/membership/store_position.h"
#include "nutmegarch/membership/version_lag.h"
#include "nutmegarch/membership/view_confirmation.h"
#include "nutmegarch/node/edge_dialect.h"
#include "nutmegarch/node/node_settings.h"
#include "nutmegarch/node/request_log.h"
#include "nutmegarch/observe/metrics.h"
#include "nutmegarch/observe/timeline.h"
#include "nutmegarch/policy/crash_suspects.h"
#include "nutmegarch/policy/departure_registry.h"
#include "nutmegarch/policy/downstream_levels.h"
#include "nutmegarch/policy/inner_route_detector.h"
#include "nutmegarch/policy/rule_enforcer.h"
#include "nutmegarch/policy/stop_schedule.h"
#include "nutmegarch/protocol/peer_messages.h"
#include "nutmegarch/routes/route_table.h"
#include "nutmegarch/routes/weighted_round_robin.h"
#include "nutmegarch/rules/rules_in_force.h"

namespace nutmegarch::node {

/// State shared by all components of a node.
///
/// Lock order: `mutex` first; then the locks inside metrics, timeline, peer_network and client_pool, which
/// are never held together. No callback and no I/O runs while `mutex` is held.
struct node_state {
  /// `own_dialect` is the dialect of the HTTP edges; null for the product's own.
  node_state(const node_settings& own_settings, std::shared_ptr<const edge_dialect> own_dialect,
             std::uint64_t own_incarnation, std::uint64_t seed);
  node_state(const node_state&) = delete;
  node_state& operator=(const node_state&) = delete;

  const node_settings settings;
  const std::shared_ptr<const edge_dialect> dialect;
  const std::uint64_t incarnation;
  system_time_source clock;
  observe::hybrid_clock stamps;
  observe::timeline events;
  observe::metrics metrics;

  /// Guards all members below.
  std::mutex mutex;
  random_source random;
  policy::receiver receiver;
  policy::sender sender;
  policy::order_registry orders;
  policy::crash_registry crashes;
  policy::crash_suspects suspects;
  policy::downstream_levels downstream;
  policy::rule_enforcer enforcer;
  rules::rules_in_force rules;
  membership::document_table documents;
  membership::endpoint_table endpoints;
  membership::gossip_schedule gossip;
  /// Published routes; null if the platform publishes none and until the first configuration is read.
  std::shared_ptr<const routes::route_table> routes;
  /// Whether the copy of the platform's store may be used.
  membership::view_confirmation view;
  /// For how long the configuration in force is known to have been the newest one.
  membership::configuration_age configuration_age;
  /// Whether peers have a newer configuration than the one in force.
  membership::version_lag configuration_lag;
  /// Whether this node reads configurations from the store, and which peers it asks for documents.
  membership::configuration_readers configuration_readers;
  membership::document_requests document_requests;
  /// Where the copy of the platform's store stands.
  membership::store_position store_position;
  routes::weighted_round_robin splits;
  request_log requests;
  policy::inner_route_detector inner_routes;
  policy::departure_registry departures;
  /// Number of calls that each rule was applied to since the rules are in force, by line in the rule file.
  std::map<int, std::uint64_t> rule_match_counts;
  /// Until this time the view of the peers may be outdated and calls are refused.
  time_point revalidating_until{};
  /// When the rules in force were accepted. Wall-clock time, for display only.
  std::chrono::system_clock::time_point rules_since;
  bool leaving = false;
  policy::stop_schedule stop;

  /// Version of the routes in force; 0 if there are none. The caller holds the lock.
  std::uint64_t configuration_version() const { return routes ? routes->version() : 0; }

  /// What peers are told of the configuration in force. The caller holds the lock.
  protocol::configuration_state configuration(time_point now) const {
    const bool is_known = routes && configuration_age.is_limited();
    return {configuration_version(), is_known ? configuration_age.age(now) : std::nullopt};
  }

  /// Whether calls are refused because the view may be outdated. The caller holds the lock.
  bool is_revalidating(time_point now) const { return now < revalidating_until; }
};

}  // namespace nutmegarch::node
