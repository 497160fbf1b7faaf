#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/server.h"
#include "nutmegarch/membership/gossip_schedule.h"
#include "nutmegarch/membership/published_reader.h"
#include "nutmegarch/observe/log.h"
#include "nutmegarch/policy/crash_registry.h"
#include "nutmegarch/policy/order_registry.h"
#include "nutmegarch/policy/receiver.h"
#include "nutmegarch/policy/sender.h"
#include "nutmegarch/protocol/peer_network.h"
#include "nutmegarch/settings/json_reader.h"

namespace nutmegarch::node {

/// Who a node is and where it stands.
struct identity_settings {
  std::string service;
  std::string host;
  std::string domain;
  std::string region;
  /// Services that the target beside this node calls.
  std::vector<std::string> calls;
  /// Threads that serve HTTP connections. With 1, the thread of the peers' connections serves them too, which
  /// saves changes of threads; with more, they get a pool of their own.
  int workers = 1;
};

/// Addresses that a node listens on, as IP:PORT.
struct listen_settings {
  std::string callers;
  std::string peers;
  std::string admin;
  /// Where the platform asks whether the node is ready; empty when it does not.
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
  /// Name of the dialect that the HTTP edges and the store speak; empty for the product's own.
  std::string dialect;
  /// Nodes of one service that watch the configuration service for all of them.
  int readers_per_service = 3;
  /// How long a watch waits for news.
  duration watch = std::chrono::seconds(30);
};

/// What a node applies to calls that do not say more.
struct call_settings {
  /// Time for a call whose caller names none.
  duration timeout = std::chrono::seconds(2);
  /// Longest time that a caller may name.
  duration longest_timeout = std::chrono::seconds(60);
};

/// Leaving, pauses and the time line.
struct lifecycle_settings {
  /// From the signal to the end, at the least: senders have learned of it by then.
  duration leave_grace = std::chrono::milliseconds(2500);
  /// At the most; calls that still run are cut off then.
  duration longest_leave = std::chrono::seconds(60);
  /// A timer that fires this much late means that the process was paused.
  duration pause_bound = std::chrono::seconds(1);
  /// After a pause, calls are refused until a peer or the configuration service answered, at most this long.
  duration revalidation = std::chrono::seconds(2);
  /// Events that the time line keeps.
  std::size_t timeline_events = 8192;
  /// Time between two looks at what is due, while calls are open and while none is.
  duration busy_tick = std::chrono::milliseconds(2);
  duration idle_tick = std::chrono::milliseconds(20);
};

/// Extra arrivals at a service that the whole fleet may cause.
struct fleet_retry_settings {
  /// As a share of the calls for the service; 0 for the budget of `routing`.
  double ratio = 0;
  /// On top of the ratio, over a window.
  double slack = 0;
};

/// Bytes that the calls of the whole fleet may take of the link between two regions, both ways together.
struct fleet_link_settings {
  /// Bytes a second; 0 for the node's own budget in `routing`.
  double bytes_per_second = 0;
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
  fleet_retry_settings fleet_retries;
  fleet_link_settings fleet_link;
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  observe::log_settings log;
  /// Baseline: round robin, no shedding, no retries of the node's own.
  bool pass_through = false;
};

/// Reads settings from their JSON text: either all of them, or all mistakes.
std::variant<node_settings, std::vector<settings::settings_error>> read_node_settings(
    const std::string& text);

}  // namespace nutmegarch::node
