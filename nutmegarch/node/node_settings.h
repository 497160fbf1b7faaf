#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/server.h"
#include "nutmegarch/membership/configuration_age.h"
#include "nutmegarch/membership/configuration_readers.h"
#include "nutmegarch/membership/document_requests.h"
#include "nutmegarch/membership/gossip_schedule.h"
#include "nutmegarch/membership/published_reader.h"
#include "nutmegarch/membership/version_lag.h"
#include "nutmegarch/membership/view_confirmation.h"
#include "nutmegarch/observe/log.h"
#include "nutmegarch/organisations/allowance_cache.h"
#include "nutmegarch/organisations/allowance_keeper.h"
#include "nutmegarch/organisations/keeper_route.h"
#include "nutmegarch/policy/crash_registry.h"
#include "nutmegarch/policy/order_registry.h"
#include "nutmegarch/policy/receiver.h"
#include "nutmegarch/policy/sender.h"
#include "nutmegarch/protocol/peer_network.h"
#include "nutmegarch/settings/json_reader.h"

namespace nutmegarch::node {

/// Identity and location of a node.
struct identity_settings {
  std::string service;
  std::string host;
  std::string domain;
  std::string region;
  /// Services that the target beside this node calls.
  std::vector<std::string> called_services;
  /// Number of threads that serve HTTP connections. With 1, the thread of the peer connections serves them,
  /// too, which saves thread switches; with more, a separate thread pool serves them.
  int workers = 1;
};

/// Addresses that a node listens on, as IP:PORT.
struct listen_settings {
  std::string callers;
  std::string peers;
  std::string admin;
  /// Address for the platform's readiness checks; empty if there are none.
  std::string ready = {};
};

/// The target beside the node.
struct target_settings {
  std::string address;
  http::client_settings connections;
};

/// The platform's configuration service.
struct platform_settings {
  std::string address;
  /// Name of the dialect of the HTTP edges and the store; empty for the product's own.
  std::string dialect;
  /// Number of nodes of each service that watch the configuration service for the others.
  int readers_per_service = 3;
  /// How long a watch request waits for changes.
  duration watch_timeout = std::chrono::seconds(30);
};

/// Default and upper bound of the timeout of calls.
struct call_settings {
  /// Timeout of a call whose caller sends none.
  duration timeout = std::chrono::seconds(2);
  /// Upper bound of the timeout that a caller may send.
  duration max_timeout = std::chrono::seconds(60);
};

/// Graceful stop, detection of pauses, ticks and the timeline.
struct lifecycle_settings {
  /// Minimum time between the start of a graceful stop and the closing of the listeners, so that all senders
  /// have learned that the node is leaving.
  duration leave_grace = std::chrono::milliseconds(2500);
  /// Time in which the process must have ended. Calls that still run shortly before are aborted, and requests
  /// that would not end before are refused.
  duration max_leave_time = std::chrono::seconds(60);
  /// Time between two ticks above which the process counts as paused.
  duration pause_threshold = std::chrono::seconds(1);
  /// After a start or a pause, calls are refused until a peer or the configuration service has answered, but
  /// at most for this time.
  duration revalidation = std::chrono::seconds(2);
  /// Number of events that the timeline keeps.
  std::size_t timeline_capacity = 8192;
  /// Interval between two ticks while calls are open.
  duration busy_tick = std::chrono::milliseconds(2);
  /// Interval between two ticks while no call is open.
  duration idle_tick = std::chrono::milliseconds(20);
};

/// Limit on the retries that the nodes of the whole fleet together may send to a service.
struct fleet_retry_settings {
  /// Retries as a share of the calls to the service; 0 for the per-node budget in `routing`.
  double ratio = 0;
  /// Number of retries allowed in a window in addition to the ratio.
  double slack = 0;
};

/// Limit on the traffic of the whole fleet's calls on the link between two regions, both directions together.
struct fleet_link_settings {
  /// Bytes per second; 0 for the per-node budget in `routing`.
  double bytes_per_second = 0;
};

/// Keys and allowances of the callers' organisations. They act only if the configuration names organisations.
struct organisation_settings {
  /// How long a key may still be used after it was taken away.
  membership::configuration_age_settings keys;
  organisations::allowance_cache_settings cache;
  organisations::allowance_keeper_settings keeper;
  organisations::keeper_route_settings route;
  /// How long the node that keeps an allowance has to answer before the next one is asked.
  duration keeper_timeout = std::chrono::milliseconds(250);
};

/// Parts of the process's memory that what others send may take.
struct memory_shares {
  /// Memory that the process may take, in bytes; 0 if there is no limit.
  std::size_t limit_bytes = 0;
  /// Part for callers: requests that are being read or run, answers that are not taken.
  double callers = 0.4;
  /// Part for the requests of calls at the target.
  double inbound = 0.2;
  /// Part for messages that are being received from peers. One legal body fits on a small machine.
  double peer_messages = 0.4;
  /// Part for answers that peers have not taken.
  double peer_answers = 0.2;
  /// Part for all of it together, but for the answers that peers have not taken. The rest is for the process
  /// itself and for a message that is being decoded.
  double total = 0.7;
};

/// All settings of a node, with their defaults. docs/SETTINGS.md lists them.
struct node_settings {
  identity_settings identity;
  listen_settings listen;
  target_settings target;
  platform_settings platform;
  call_settings calls;
  lifecycle_settings lifecycle;
  http::server_settings callers;
  policy::receiver_settings admission;
  policy::sender_settings routing;
  policy::order_settings orders;
  policy::crash_settings crashes;
  membership::gossip_settings gossip;
  protocol::peer_network_settings peers;
  membership::published_state_settings published;
  membership::published_reader_settings store;
  membership::version_lag_settings configuration_lag;
  membership::configuration_readers_settings configuration_readers;
  membership::document_requests_settings document_requests;
  membership::view_confirmation_settings view;
  organisation_settings organisations;
  /// Counts what all edges hold; null if the process's memory has no limit.
  std::shared_ptr<policy::memory_account> held;
  /// Bytes of the requests of calls that wait for the target or run there. Calls beyond it are refused.
  std::size_t max_inbound_bytes = 32U << 20U;
  fleet_retry_settings fleet_retries;
  fleet_link_settings fleet_link;
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  observe::log_settings log;
  /// Baseline for comparisons: round robin, no shedding, and no retries by the node.
  bool pass_through = false;
};

/// Parses settings from JSON text with comments. Returns either the settings or all errors.
std::variant<node_settings, std::vector<settings::settings_error>> read_node_settings(
    const std::string& text);

}  // namespace nutmegarch::node
