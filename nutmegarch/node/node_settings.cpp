#include "nutmegarch/node/node_settings.h"

namespace nutmegarch::node {

namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void read_identity(settings::json_reader& reader, node_settings& to) {
  reader.read_string("/node/service", to.identity.service, true);
  reader.read_string("/node/host", to.identity.host, true);
  reader.read_string("/node/domain", to.identity.domain, true);
  reader.read_string("/node/region", to.identity.region, true);
  reader.read_strings("/node/calls", to.identity.called_services);
  reader.read_integer("/node/workers", to.identity.workers, 1, 64);
  reader.read_bool("/node/pass_through", to.pass_through);
  reader.read_address("/listen/callers", to.listen.callers, true);
  reader.read_address("/listen/peers", to.listen.peers, true);
  reader.read_address("/listen/admin", to.listen.admin, true);
  reader.read_address("/listen/ready", to.listen.ready);
  reader.read_string_map("/regions", to.regions);
}

void read_edges(settings::json_reader& reader, node_settings& to) {
  reader.read_address("/target/address", to.target.address, true);
  reader.read_integer("/target/slots", to.admission.slots, 1, 100'000);
  reader.read_integer("/target/connections", to.target.connections.max_connections, 1, 100'000);
  reader.read_duration("/target/connect_timeout", to.target.connections.connect_timeout, milliseconds(1),
                       seconds(60));
  reader.read_integer("/target/most_answer_bytes", to.target.connections.max_body_bytes, 1'024, 64 << 20);
  reader.read_integer("/target/most_answer_head_bytes", to.target.connections.answer_limits.max_head_bytes,
                      1'024, 1 << 20);
  reader.read_integer("/target/most_unfinished_bytes", to.target.connections.unfinished_answers.max_bytes,
                      1 << 16, 1 << 30);
  reader.read_integer("/callers/most_body_bytes", to.callers.max_body_bytes, 1'024, 64 << 20);
  reader.read_integer("/callers/most_head_bytes", to.callers.max_head_bytes, 1'024, 1 << 20);
  reader.read_integer("/callers/most_connections", to.callers.max_connections, 1, 100'000);
  reader.read_duration("/callers/idle_timeout", to.callers.idle_timeout, seconds(1), hours(1));
  reader.read_duration("/callers/stopping_idle_timeout", to.callers.stopping_idle_timeout, milliseconds(1),
                       hours(1));
  reader.read_duration("/calls/timeout", to.calls.timeout, milliseconds(1), minutes(10));
  reader.read_duration("/calls/longest_timeout", to.calls.max_timeout, milliseconds(1), hours(1));
  reader.read_address("/platform/address", to.platform.address, true);
  reader.read_string("/platform/dialect", to.platform.dialect);
  reader.read_duration("/store/watch", to.store.watch, milliseconds(100), seconds(30));
  reader.read_duration("/store/watch_per_node", to.store.watch_per_node, milliseconds(10), minutes(1));
  reader.read_duration("/store/answer_patience", to.store.answer_patience, milliseconds(10), minutes(1));
  reader.read_duration("/store/confirming_watch", to.store.confirming_watch, milliseconds(1), seconds(30));
  reader.read_duration("/store/suspicion", to.store.suspicion, milliseconds(0), minutes(10));
  reader.read_duration("/store/notice_lifetime", to.store.notice_lifetime, milliseconds(0), minutes(1));
  reader.read_duration("/store/silence_patience", to.store.silence_patience, milliseconds(10), minutes(1));
  reader.read_duration("/view/longest_refusal", to.view.max_refusal, milliseconds(0), minutes(1));
  reader.read_duration("/view/store_patience", to.view.store_patience, milliseconds(0), minutes(1));
  reader.read_duration("/store/gather", to.store.gather, milliseconds(0), seconds(10));
  reader.read_duration("/store/first_pause", to.store.first_pause, milliseconds(10), minutes(1));
  reader.read_duration("/store/longest_pause", to.store.longest_pause, milliseconds(10), minutes(1));
  reader.read_duration("/store/configuration_patience", to.configuration_lag.patience, milliseconds(0),
                       minutes(1));
  reader.read_duration("/store/proof_time", to.published.proof_time, milliseconds(0), minutes(1));
  reader.read_duration("/store/lapse_grace", to.published.lapse_grace, milliseconds(0), minutes(1));
  reader.read_number("/fleet_retries/ratio", to.fleet_retries.ratio, 0, 1);
  reader.read_number("/fleet_retries/slack", to.fleet_retries.slack, 0, 1e6);
  reader.read_number("/fleet_link/bytes_per_second", to.fleet_link.bytes_per_second, 0, 1e10);
  reader.read_integer("/platform/readers_per_service", to.platform.readers_per_service, 1, 100);
  reader.read_duration("/platform/watch", to.platform.watch_timeout, seconds(1), minutes(5));
}

void read_admission(settings::json_reader& reader, policy::receiver_settings& to) {
  reader.read_enum<policy::limit_kind>("/admission/limit", to.limit,
                                       {{"fixed", policy::limit_kind::fixed},
                                        {"aimd", policy::limit_kind::aimd},
                                        {"gradient", policy::limit_kind::gradient},
                                        {"probing", policy::limit_kind::probing}});
  reader.read_enum<policy::queue_kind>("/admission/queue", to.queue,
                                       {{"fifo", policy::queue_kind::fifo},
                                        {"deadline", policy::queue_kind::deadline},
                                        {"adaptive_lifo", policy::queue_kind::adaptive_lifo}});
  reader.read_number("/admission/queue_share", to.queue_share, 0.01, 100);
  reader.read_number("/admission/order_queue_share", to.order_queue_share, 0, 100);
  reader.read_number("/admission/standing_share", to.standing_queue_share, 0.01, 100);
  reader.read_number("/admission/finish_quantile", to.finish_quantile, 0.01, 0.999);
  reader.read_number("/admission/long_factor", to.long_factor, 1, 1'000);
  reader.read_number("/admission/long_share", to.long_share, 0.01, 1);
  reader.read_duration("/admission/level_interval", to.level.interval, milliseconds(1), seconds(10));
  reader.read_number("/admission/level_decrease", to.level.decrease_share, 0.001, 1);
  reader.read_number("/admission/level_increase", to.level.increase_share, 0.001, 1);
}

void read_routing(settings::json_reader& reader, policy::sender_settings& to) {
  reader.read_enum<policy::routing_kind>("/routing/choice", to.routing,
                                         {{"round_robin", policy::routing_kind::round_robin},
                                          {"two_choices", policy::routing_kind::two_choices},
                                          {"least_loaded", policy::routing_kind::least_loaded},
                                          {"least_time", policy::routing_kind::least_time}});
  reader.read_bool("/routing/paces_recovery", to.pace.is_enabled);
  reader.read_bool("/routing/compares_regions", to.score.cross_region_balancing);
  reader.read_integer("/routing/retry_budget", to.retry_budget, 0, 100);
  reader.read_integer("/routing/most_attempts", to.max_attempts, 1, 10);
  reader.read_number("/routing/retries_per_success", to.retries.tokens_per_success, 0, 1);
  reader.read_number("/routing/retry_burst", to.retries.capacity, 0, 10'000);
  reader.read_number("/routing/hedges_per_success", to.hedges.tokens_per_success, 0, 1);
  reader.read_number("/routing/hedge_burst", to.hedges.capacity, 0, 10'000);
  reader.read_number("/routing/hedge_quantile", to.hedge_quantile, 0.5, 0.999);
  reader.read_duration("/routing/level_lifetime", to.level_lifetime, milliseconds(10), minutes(1));
  reader.read_integer("/routing/losses_to_eject", to.losses_to_eject, 1, 1'000);
  reader.read_duration("/routing/ejection", to.base_ejection_time, milliseconds(10), minutes(10));
  reader.read_duration("/routing/longest_ejection", to.max_ejection_time, milliseconds(10), minutes(10));
  reader.read_duration("/routing/stall_least", to.min_stall_time, milliseconds(0), minutes(1));
  reader.read_bool("/routing/retries_leaves_only", to.retry_leaf_calls_only);
  reader.read_number("/routing/domain_factor", to.score.domain_factor, 1, 100);
  reader.read_number("/routing/region_factor", to.score.region_factor, 1, 100);
  reader.read_number("/routing/most_ejected_share", to.max_ejected_share, 0, 1);
  reader.read_duration("/routing/slow_start", to.score.slow_start, milliseconds(1), minutes(10));
  reader.read_number("/routing/link_bytes_per_second", to.link.bytes_per_second, 0, 1e10);
  reader.read_number("/routing/link_burst_bytes", to.link.capacity, 0, 1e10);
  reader.read_number("/routing/link_kept_for_orders", to.link.reserved_for_orders, 0, 1);
}

void read_organisations(settings::json_reader& reader, organisation_settings& to) {
  reader.read_duration("/organisations/key_lifetime", to.keys.max_age, milliseconds(0), hours(24));
  reader.read_duration("/organisations/window", to.keeper.ledger.window, milliseconds(100), hours(1));
  reader.read_number("/organisations/extra_share", to.keeper.ledger.extra_share, 0, 10);
  reader.read_number("/organisations/extra_requests", to.keeper.ledger.extra_requests, 0, 1e6);
  reader.read_duration("/organisations/lease", to.cache.lease, milliseconds(1), minutes(1));
  to.keeper.ledger.lease = to.cache.lease;
  reader.read_duration("/organisations/keeper_timeout", to.keeper_timeout, milliseconds(1), minutes(1));
  // Nodes that wait longer have left the keeper.
  to.keeper.ledger.max_tick_gap = to.keeper_timeout;
  to.keeper.watch.timeout = to.keeper_timeout;
}

void read_fleet(settings::json_reader& reader, node_settings& to) {
  reader.read_duration("/orders/lifetime", to.orders.lifetime, seconds(1), hours(24));
  reader.read_integer("/orders/capacity", to.orders.capacity, 1, 10'000'000);
  reader.read_integer("/orders/most_answer_bytes", to.orders.max_answer_bytes, 0, 1 << 20);
  reader.read_integer("/orders/most_total_bytes", to.orders.max_total_answer_bytes, 0, 1 << 30);
  reader.read_integer("/crashes/most_crashes", to.crashes.max_crashes, 1, 100);
  reader.read_duration("/crashes/lifetime", to.crashes.lifetime, seconds(1), hours(24));
  reader.read_duration("/gossip/interval", to.gossip.interval, milliseconds(10), minutes(1));
  reader.read_integer("/gossip/fan_out", to.gossip.fan_out, 1, 100);
  reader.read_duration("/gossip/greeting_interval", to.gossip.greeting_interval, milliseconds(1), minutes(1));
  reader.read_strings("/gossip/seeds", to.gossip.seeds);
  reader.read_duration("/gossip/silence", to.gossip.silence, seconds(1), hours(1));
  reader.read_integer("/peers/most_queued_bytes", to.peers.queues.max_bytes, 1 << 16, 1 << 30);
  reader.read_duration("/peers/connect_timeout", to.peers.connect_timeout, milliseconds(1), minutes(1));
  reader.read_duration("/peers/ping_after", to.peers.ping_after, milliseconds(10), minutes(1));
  reader.read_duration("/peers/ping_timeout", to.peers.ping_timeout, milliseconds(10), minutes(1));
  reader.read_duration("/peers/idle_timeout", to.peers.idle_timeout, seconds(1), hours(1));
  reader.read_duration("/lifecycle/leave_grace", to.lifecycle.leave_grace, milliseconds(0), minutes(10));
  reader.read_duration("/lifecycle/longest_leave", to.lifecycle.max_leave_time, milliseconds(0), hours(1));
  reader.read_duration("/lifecycle/busy_tick", to.lifecycle.busy_tick, milliseconds(1), seconds(1));
  reader.read_duration("/lifecycle/idle_tick", to.lifecycle.idle_tick, milliseconds(1), seconds(1));
  reader.read_duration("/lifecycle/pause_bound", to.lifecycle.pause_threshold, milliseconds(100), minutes(1));
  reader.read_duration("/lifecycle/revalidation", to.lifecycle.revalidation, milliseconds(10), minutes(1));
  reader.read_integer("/lifecycle/timeline_events", to.lifecycle.timeline_capacity, 16, 1'000'000);
  reader.read_enum<observe::log_level>("/log/level", to.log.level,
                                       {{"debug", observe::log_level::debug},
                                        {"info", observe::log_level::info},
                                        {"warning", observe::log_level::warning},
                                        {"error", observe::log_level::error}});
  reader.read_bool("/log/json", to.log.json);
}

}  // namespace

std::variant<node_settings, std::vector<settings::settings_error>> read_node_settings(
    const std::string& text) {
  node_settings loaded;
  settings::json_reader reader(text);
  read_identity(reader, loaded);
  read_edges(reader, loaded);
  read_admission(reader, loaded.admission);
  read_routing(reader, loaded.routing);
  read_fleet(reader, loaded);
  read_organisations(reader, loaded.organisations);
  memory_shares memory;
  std::size_t limit_mebibytes = 0;
  reader.read_integer("/memory/limit_mb", limit_mebibytes, 0, 1 << 20);
  memory.limit_bytes = limit_mebibytes << 20U;
  if (memory.limit_bytes > 0) {
    const double limit = static_cast<double>(memory.limit_bytes);
    loaded.callers.held.max_bytes = static_cast<std::size_t>(limit * memory.callers);
    loaded.max_inbound_bytes = static_cast<std::size_t>(limit * memory.inbound);
    loaded.peers.unfinished.max_bytes =
        std::min(loaded.peers.unfinished.max_bytes, static_cast<std::size_t>(limit * memory.peer_messages));
    loaded.held = std::make_shared<policy::memory_account>(static_cast<std::size_t>(limit * memory.total));
    loaded.callers.held.account = loaded.held;
    loaded.peers.unfinished.account = loaded.held;
    loaded.target.connections.unfinished_answers.account = loaded.held;
    loaded.peers.max_answer_bytes =
        std::min(loaded.peers.max_answer_bytes, static_cast<std::size_t>(limit * memory.peer_answers));
  }
  reader.read_integer("/peers/most_unfinished_bytes", loaded.peers.unfinished.max_bytes, 1 << 16, 1 << 30);
  reader.read_integer("/peers/most_answer_bytes", loaded.peers.max_answer_bytes, 1 << 16, 1 << 30);
  reader.read_integer("/callers/most_held_bytes", loaded.callers.held.max_bytes, 1 << 16, 1 << 30);
  reader.read_integer("/admission/most_held_bytes", loaded.max_inbound_bytes, 1 << 16, 1 << 30);
  std::vector<settings::settings_error> errors = reader.finish();
  if (!errors.empty()) {
    return errors;
  }
  loaded.admission.pass_through = loaded.pass_through;
  loaded.routing.pass_through = loaded.pass_through;
  return loaded;
}

}  // namespace nutmegarch::node
