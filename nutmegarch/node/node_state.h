#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "nutmegarch/membership/document_table.h"
#include "nutmegarch/membership/endpoint_table.h"
#include "nutmegarch/membership/gossip_schedule.h"
#include "nutmegarch/node/edge_dialect.h"
#include "nutmegarch/node/node_settings.h"
#include "nutmegarch/node/request_log.h"
#include "nutmegarch/observe/metrics.h"
#include "nutmegarch/observe/timeline.h"
#include "nutmegarch/policy/crash_suspects.h"
#include "nutmegarch/policy/downstream_levels.h"
#include "nutmegarch/policy/inner_route_detector.h"
#include "nutmegarch/policy/rule_enforcer.h"
#include "nutmegarch/routes/route_table.h"
#include "nutmegarch/routes/weighted_round_robin.h"
#include "nutmegarch/rules/rules_in_force.h"

namespace nutmegarch::node {

/// The tables that all parts of a node share.
///
/// Lock order: `mutex` first; then the locks inside metrics, timeline, peer_network and client_pool, which
/// are never held together. No callback and no I/O runs while `mutex` is held.
struct node_state {
  /// `spoken` is the dialect of the HTTP edges; null for the product's own.
  node_state(const node_settings& all, std::shared_ptr<const edge_dialect> spoken,
             std::uint64_t own_incarnation, std::uint64_t seed);
  node_state(const node_state&) = delete;
  node_state& operator=(const node_state&) = delete;

  const node_settings settings;
  const std::shared_ptr<const edge_dialect> dialect;
  const std::uint64_t incarnation;
  system_time_source clock;
  observe::hybrid_clock stamps;
  observe::timeline events;
  observe::metrics counts;

  /// Guards all that follows.
  std::mutex mutex;
  random_source random;
  policy::receiver receiver;
  policy::sender sender;
  policy::order_registry orders;
  policy::crash_registry crashes;
  policy::crash_suspects suspects;
  policy::downstream_levels downstream;
  policy::rule_enforcer gate;
  rules::rules_in_force rules;
  membership::document_table documents;
  membership::endpoint_table endpoints;
  membership::gossip_schedule gossip;
  /// The operator's routes; null without a platform that publishes them, and before the first was read.
  std::shared_ptr<const routes::route_table> routes;
  routes::weighted_round_robin splits;
  request_log requests;
  policy::inner_route_detector inner;
  /// Published processes of the target beside this node; true for those that leave or have left.
  std::map<std::string, bool> local_instances;
  /// Calls that each rule touched since it is in force, by line.
  std::map<int, std::uint64_t> touched;
  /// Until this moment the view may be old, and calls are refused.
  time_point revalidating_until{};
  /// When the rules in force were accepted, for people.
  std::chrono::system_clock::time_point rules_since;
  bool leaving = false;

  /// Version of the routes in force; 0 without any.
  std::uint64_t configuration_version() const { return routes ? routes->version() : 0; }

  /// Refuse calls while the view may be old. Holds the lock.
  bool is_revalidating(time_point now) const { return now < revalidating_until; }
};

}  // namespace nutmegarch::node
