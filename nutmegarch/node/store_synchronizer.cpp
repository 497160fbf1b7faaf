#include "nutmegarch/node/store_synchronizer.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/node/departure_log.h"
#include "nutmegarch/observe/log.h"

namespace nutmegarch::node {

namespace {

constexpr const char* hosts_document = "published-hosts";
constexpr const char* configuration_document = "published-configuration";
/// Number of unreadable entries that are remembered as logged; further ones are not logged.
constexpr std::size_t max_unreadable_entries = 1024;
/// Share of the fleet's retry budget that the nodes use; the rest is a reserve.
constexpr double planned_budget_share = 0.5;
/// A node may send a burst over the link between regions: the bytes of this time at its share of the
/// bandwidth, but at least some messages.
constexpr duration link_burst_time = std::chrono::seconds(1);
constexpr double min_link_burst_bytes = 16'000;
/// Number of changed routes that are logged for each configuration.
constexpr int max_logged_routes = 32;

std::string host_part(const std::string& address) { return address.substr(0, address.rfind(':')); }

std::string port_part(const std::string& address) { return address.substr(address.rfind(':') + 1); }

/// Items of an earlier era get the revision 0, so that any later one of this era replaces them.
std::string serialize_items(const std::map<std::string, membership::published_item>& items,
                            std::uint64_t era) {
  boost::json::array list;
  for (const std::pair<const std::string, membership::published_item>& entry : items) {
    const membership::published_item& item = entry.second;
    list.push_back({item.key, item.position.era == era ? item.position.revision : 0, item.value});
  }
  return boost::json::serialize(list);
}

/// Parses the items of a peer's document of this era; returns an empty list when it is malformed.
std::vector<membership::published_item> parse_items(const std::string& body, std::uint64_t era) {
  // The values of entries are any bytes. serialize_items() writes them as they are.
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code error;
  const boost::json::value root = boost::json::parse(body, error, {}, options);
  std::vector<membership::published_item> items;
  if (error || !root.is_array()) {
    return items;
  }
  for (const boost::json::value& entry : root.get_array()) {
    if (!entry.is_array() || entry.get_array().size() != 3) {
      return {};
    }
    const boost::json::array& parts = entry.get_array();
    if (!parts.at(0).is_string() || !parts.at(1).is_number() || !parts.at(2).is_string()) {
      return {};
    }
    const std::uint64_t revision = parts.at(1).to_number<std::uint64_t>(error);
    if (error) {
      return {};
    }
    items.push_back({std::string(parts.at(0).get_string()),
                     std::string(parts.at(2).get_string()),
                     {era, revision},
                     false});
  }
  return items;
}

}  // namespace

store_synchronizer::store_synchronizer(node_state& state,
                                       std::unique_ptr<membership::published_source> source,
                                       std::unique_ptr<membership::published_source> confirming_source,
                                       std::shared_ptr<allowance_path> allowances)
    : state_(state),
      source_(std::move(source)),
      confirmer_(std::make_shared<configuration_confirmer>(state, std::move(confirming_source),
                                                           [this](const membership::published_item& item) {
                                                             accept_configuration(item.value, item.position,
                                                                                  "store");
                                                             return is_configuration_read_;
                                                           })),
      allowances_(std::move(allowances)),
      store_copy_(state.settings.published),
      reader_(state.settings.store, store_copy_, state.random),
      peer_port_(port_part(state.settings.listen.peers)) {
  const std::lock_guard<std::mutex> lock(state_.mutex);
  state_.view.on_start(state_.clock.now());
}

const std::vector<std::string>& store_synchronizer::document_keys() {
  static const std::vector<std::string> keys = {hosts_document, configuration_document};
  return keys;
}

std::string store_synchronizer::on_tick() {
  membership::store_request request;
  membership::store_position position;
  bool is_failing = false;
  bool was_silent = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    if (store_copy_.on_tick(now)) {
      apply_hosts("grace-over");
    }
    reader_.on_progress(source_->progress().last);
    was_silent = abandon_silent_watch(now);
    was_silent = choose_reading(now) || was_silent;
    log_confirmation("silence");
    request = reader_.next(now);
    if (request.what == membership::store_request::kind::read_page && request.after_key.empty()) {
      listing_asked_ = now;
    }
    position = reader_.reads_configuration() ? reader_.watched_position() : configuration_position_;
    is_failing = reader_.failures() > 0;
  }
  if (was_silent) {
    source_->drop_connections();
  }
  const std::string peer = confirmer_->on_tick(position, is_failing);
  if (request.what == membership::store_request::kind::none) {
    return peer;
  }
  state_.metrics.add("store_calls");
  source_->send(request, [self = shared_from_this(),
                          request](const result<membership::store_answer, membership::store_error>& outcome) {
    self->on_answer(request, outcome);
  });
  return peer;
}

void store_synchronizer::confirm_configuration(time_point asked) {
  if (is_configuration_read_) {
    state_.configuration_age.on_confirmed(asked);
  }
}

void store_synchronizer::on_pause() {
  source_->drop_connections();
  const std::lock_guard<std::mutex> lock(state_.mutex);
  reader_.on_pause();
  state_.view.on_store_doubtful();
  log_confirmation("pause");
}

void store_synchronizer::on_answer(const membership::store_request& sent_request,
                                   const result<membership::store_answer, membership::store_error>& outcome) {
  bool has_changed = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    if (!reader_.is_open(sent_request)) {
      return;
    }
    if (succeeded(outcome)) {
      const membership::store_answer& answer = std::get<membership::store_answer>(outcome);
      log_era(answer.position.era);
      if (reader_.is_outdated(answer.position)) {
        refuse_outdated_answer(answer.position, now);
      } else if (reader_.starts_era(answer.position)) {
        reader_.on_history_lost(now);
        state_.view.on_store_doubtful();
      } else {
        has_changed = apply_answer(sent_request, answer, now);
      }
    } else if (const membership::store_error error = std::get<membership::store_error>(outcome);
               error == membership::store_error::history_lost) {
      reader_.on_history_lost(now);
      state_.view.on_store_doubtful();
      observe::log_event(observe::log_level::info, "store-history-lost",
                         {{"revision", std::to_string(sent_request.position.revision)},
                          {"era", std::to_string(sent_request.position.era)}});
    } else {
      log_failed_call(sent_request, error, now);
      if (error == membership::store_error::connection_lost) {
        reader_.on_connection_lost(now);
        state_.metrics.add("store_connections_lost");
      } else {
        reader_.on_failure(now);
        state_.metrics.add("store_failures");
      }
      state_.view.on_store_doubtful();
    }
    log_confirmation("store-failure");
    const bool is_reachable = reader_.failures() == 0;
    if (is_reachable != is_store_reachable_) {
      is_store_reachable_ = is_reachable;
      observe::log_event(observe::log_level::warning, is_reachable ? "store-regained" : "store-lost",
                         position_fields());
    }
  }
  if (has_changed) {
    notify_listener();
  }
}

bool store_synchronizer::apply_answer(const membership::store_request& sent_request,
                                      const membership::store_answer& answer, time_point now) {
  std::vector<membership::published_item> items = answer.items;
  state_.gossip.on_update_received(now);
  for (const membership::published_item& item : items) {
    // Peers that read no configurations would wait for one.
    if (!source_->is_configuration(item.key)) {
      newest_change_ = std::max(newest_change_, item.position);
    }
  }
  bool has_changed = extract_configuration(items);
  const bool is_page = sent_request.what == membership::store_request::kind::read_page;
  const time_point asked = is_page ? listing_asked_ : reader_.sent();
  const membership::store_position previous_notice = notice();
  const bool hosts_changed = is_page ? reader_.on_page(items, answer.next_key, answer.position, now)
                                     : reader_.on_changes(items, answer.position, now);
  if (hosts_changed) {
    apply_hosts("store");
    has_changed = true;
  } else {
    update_hosts_document();
  }
  if (notice() > previous_notice) {
    state_.gossip.on_urgent_update();
    observe::log_event(observe::log_level::info, "store-notice",
                       {{"from", "store"},
                        {"revision", std::to_string(notice().revision)},
                        {"era", std::to_string(notice().era)}});
  }
  state_.revalidating_until = time_point{};
  if (reader_.is_current()) {
    state_.view.on_store_answer(now);
    if (sent_request.about == membership::store_request::subject::all) {
      confirm_configuration(asked);
    }
  }
  log_confirmation(is_page ? "listing" : "watch");
  return has_changed;
}

void store_synchronizer::refuse_outdated_answer(const membership::store_position& position, time_point now) {
  reader_.on_failure(now);
  state_.view.on_store_doubtful();
  state_.metrics.add("store_answers_outdated");
  observe::log_event(observe::log_level::warning, "store-answer-outdated",
                     {{"era", std::to_string(position.era)},
                      {"known_era", std::to_string(logged_era_)},
                      {"revision", std::to_string(position.revision)}});
}

void store_synchronizer::log_era(std::uint64_t era) {
  if (era <= logged_era_) {
    return;
  }
  // The first era that this node sees is no change.
  if (store_copy_.position().is_known()) {
    state_.metrics.add("store_era_changes");
    observe::log_event(observe::log_level::warning, "store-era-changed",
                       {{"era", std::to_string(era)},
                        {"previous", std::to_string(logged_era_)},
                        {"held_revision", std::to_string(store_copy_.position().revision)},
                        {"held_entries", std::to_string(store_copy_.items().size())},
                        {"version", std::to_string(state_.configuration_version())}});
  }
  logged_era_ = era;
}

observe::log_fields store_synchronizer::position_fields() const {
  return {{"revision", std::to_string(store_copy_.position().revision)},
          {"era", std::to_string(store_copy_.position().era)}};
}

void store_synchronizer::notify_listener() const {
  if (listener_) {
    listener_();
  }
}

bool store_synchronizer::accept_document(const membership::document& offered) {
  if (offered.stamp.key == configuration_document) {
    // Parsing a large configuration only to find that it is not newer would take much time.
    if (state_.routes && offered.stamp.version <= state_.routes->version()) {
      return false;
    }
    return accept_configuration(offered.body, offered.stamp.position, "peer");
  }
  const membership::store_position& position = offered.stamp.position;
  const std::vector<membership::published_item> items = parse_items(offered.body, position.era);
  if (items.empty() || !store_copy_.merge(items, position, state_.clock.now())) {
    return false;
  }
  apply_hosts("peer");
  return true;
}

void store_synchronizer::on_peer_view(const membership::store_position& position) {
  if (!position.is_known() || store_copy_.position() < position || !state_.routes) {
    return;
  }
  state_.view.on_peer_view(state_.clock.now());
}

void store_synchronizer::on_peer_notice(const membership::store_position& position) {
  if (!reader_.on_notice(position, state_.clock.now())) {
    return;
  }
  state_.gossip.on_urgent_update();
  state_.metrics.add("store_notices_passed_on");
  observe::log_event(observe::log_level::info, "store-notice",
                     {{"from", "peer"},
                      {"revision", std::to_string(position.revision)},
                      {"era", std::to_string(position.era)},
                      {"held", std::to_string(store_copy_.position().revision)}});
}

bool store_synchronizer::abandon_silent_watch(time_point now) {
  const bool is_silent = reader_.is_silent(now);
  if (!is_silent && !reader_.is_overdue(now)) {
    return false;
  }
  observe::log_event(observe::log_level::warning, "watch-abandoned",
                     {{"reason", is_silent ? "a peer knows a newer change" : "its time is over"},
                      {"revision", std::to_string(store_copy_.position().revision)},
                      {"peer_revision", std::to_string(reader_.peer_position().revision)},
                      {"era", std::to_string(store_copy_.position().era)},
                      {"peer_era", std::to_string(reader_.peer_position().era)},
                      {"open_ms", observe::to_milliseconds_text(now - reader_.sent())},
                      {"received_bytes", std::to_string(source_->progress().bytes)}});
  state_.metrics.add("store_watches_abandoned");
  reader_.on_silence(now);
  state_.view.on_store_doubtful();
  return true;
}

void store_synchronizer::log_failed_call(const membership::store_request& request,
                                         membership::store_error error, time_point now) const {
  const bool is_watch = request.what == membership::store_request::kind::watch;
  observe::log_event(observe::log_level::info, "store-call-failed",
                     {{"what", is_watch ? "watch" : "page"},
                      {"error", membership::name_of(error)},
                      {"open_ms", observe::to_milliseconds_text(now - reader_.sent())},
                      {"wait_ms", observe::to_milliseconds_text(request.wait)},
                      {"failures", std::to_string(reader_.failures())},
                      {"revision", std::to_string(store_copy_.position().revision)}});
}

void store_synchronizer::log_confirmation(const char* source) {
  const time_point now = state_.clock.now();
  const bool is_confirmed = state_.view.is_confirmed();
  if (is_confirmed == was_confirmed_) {
    return;
  }
  was_confirmed_ = is_confirmed;
  observe::log_event(observe::log_level::info, is_confirmed ? "view-confirmed" : "view-unconfirmed",
                     {{"source", source},
                      {"revision", std::to_string(store_copy_.position().revision)},
                      {"era", std::to_string(store_copy_.position().era)},
                      {"version", std::to_string(state_.configuration_version())},
                      {"age_ms", observe::to_milliseconds_text(now - state_.view.last_confirmed())}});
}

bool store_synchronizer::extract_configuration(std::vector<membership::published_item>& items) {
  bool has_changed = false;
  for (const membership::published_item& item : items) {
    if (source_->is_configuration(item.key) && !item.is_removed) {
      state_.metrics.add("store_configuration_bytes", static_cast<double>(item.value.size()));
      has_changed = accept_configuration(item.value, item.position, "store") || has_changed;
    }
  }
  items.erase(std::remove_if(items.begin(), items.end(),
                             [this](const membership::published_item& item) {
                               return source_->is_configuration(item.key);
                             }),
              items.end());
  return has_changed;
}

bool store_synchronizer::accept_configuration(const std::string& value,
                                              const membership::store_position& position,
                                              const std::string& from) {
  const result<routes::route_configuration, membership::published_value_error> parsed =
      source_->read_configuration(value);
  is_configuration_read_ = succeeded(parsed);
  if (!succeeded(parsed)) {
    observe::log_event(observe::log_level::warning, "configuration-refused",
                       {{"from", from},
                        {"revision", std::to_string(position.revision)},
                        {"error", std::get<membership::published_value_error>(parsed).message}});
    return false;
  }
  routes::route_configuration configuration = std::get<routes::route_configuration>(parsed);
  const std::uint64_t in_force = state_.routes ? state_.routes->version() : 0;
  if (state_.routes && configuration.version <= in_force) {
    return false;
  }
  if (state_.routes) {
    routes::add_placeholders(*state_.routes, configuration);
  }
  log_changed_routes(configuration);
  state_.routes = std::make_shared<const routes::route_table>(configuration);
  log_problems(configuration);
  state_.documents.merge(
      {{configuration_document, configuration.version, position, hash_text(value)}, value});
  observe::log_event(observe::log_level::info, "configuration-in-force",
                     {{"version", std::to_string(configuration.version)},
                      {"replaces", std::to_string(in_force)},
                      {"revision", std::to_string(position.revision)},
                      {"era", std::to_string(position.era)},
                      {"routes", std::to_string(state_.routes->size())},
                      {"organisations", std::to_string(state_.routes->organisations().size())},
                      {"from", from}});
  configuration_position_ = position;
  if (in_force != 0) {
    // Peers that read no configurations learn of it now.
    state_.gossip.on_urgent_update();
  }
  set_named_services(configuration, from);
  return true;
}

membership::document_need store_synchronizer::need() const {
  membership::document_need lacking;
  lacking.own_version = state_.configuration_version();
  lacking.is_lag_lasting = state_.configuration_lag.is_lasting(lacking.own_version, state_.clock.now());
  lacking.is_store_away = reader_.failures() > 0 || !state_.view.is_confirmed() || !state_.routes;
  return lacking;
}

std::optional<duration> store_synchronizer::reader_age() const {
  const bool is_reading = reader_.reads_configuration() && reader_.is_current();
  return state_.configuration_readers.age(is_reading, state_.clock.now());
}

bool store_synchronizer::choose_reading(time_point now) {
  const bool reads = !state_.routes || state_.configuration_readers.reads(now);
  if (reads == reader_.reads_configuration()) {
    return false;
  }
  observe::log_event(observe::log_level::info, "configuration-reader",
                     {{"reads", reads ? "true" : "false"},
                      {"version", std::to_string(state_.configuration_version())},
                      {"revision", std::to_string(configuration_position_.revision)}});
  return reader_.set_reads_configuration(reads, configuration_position_);
}

void store_synchronizer::set_document_peers(const std::vector<membership::published_host>& hosts) {
  std::vector<membership::document_peer> peers;
  for (const membership::published_host& host : hosts) {
    if (!is_local(host)) {
      peers.push_back({host.host, host.peer_address, host.region == state_.settings.identity.region});
    }
  }
  state_.document_requests.set_peers(peers);
  state_.configuration_readers.set_hosts(hosts, state_.settings.identity.host,
                                         state_.settings.identity.domain);
}

void store_synchronizer::set_named_services(const routes::route_configuration& configuration,
                                            const std::string& from) {
  std::set<std::string> named;
  for (const std::pair<const std::string, routes::service_options>& service : configuration.services) {
    named.insert(service.first);
  }
  for (const routes::route& route : configuration.routes) {
    for (const routes::weighted_service& share : route.services) {
      named.insert(share.service);
    }
  }
  if (named == named_services_) {
    return;
  }
  named_services_ = std::move(named);
  if (store_copy_.position().is_known()) {
    apply_hosts(from);
  }
}

void store_synchronizer::log_problems(const routes::route_configuration& configuration) {
  int logged = 0;
  for (const routes::configuration_problem& problem : configuration.problems) {
    state_.metrics.add("configuration_problems");
    if (++logged <= max_logged_routes) {
      observe::log_event(observe::log_level::warning, "configuration-problem",
                         {{"version", std::to_string(configuration.version)},
                          {"resource", problem.resource},
                          {"problem", problem.message}});
    }
  }
  for (const std::string& name : state_.routes->organisations().with_shared_keys()) {
    state_.metrics.add("configuration_problems");
    if (++logged <= max_logged_routes) {
      observe::log_event(
          observe::log_level::warning, "configuration-problem",
          {{"version", std::to_string(configuration.version)},
           {"resource", "organisation " + name},
           {"problem", "another organisation holds one of its keys, which is valid for neither"}});
    }
  }
}

void store_synchronizer::log_changed_routes(const routes::route_configuration& next) const {
  int logged = 0;
  for (const routes::route& route : next.routes) {
    const routes::route* const previous = state_.routes ? state_.routes->find_by_name(route.name) : nullptr;
    if (previous != nullptr && *previous == route) {
      continue;
    }
    if (++logged > max_logged_routes) {
      return;
    }
    observe::log_event(observe::log_level::info, "route-changed",
                       {{"version", std::to_string(next.version)},
                        {"route", route.name},
                        {"host", route.host},
                        {"prefix", route.prefix},
                        {"services", routes::to_text(route.services)},
                        {"idempotent", route.idempotent ? "true" : "false"},
                        {"priority", std::to_string(route.priority)},
                        {"most_attempts", std::to_string(route.max_attempts)},
                        {"timeout_ms", observe::to_milliseconds_text(route.timeout)},
                        {"objective_ms", observe::to_milliseconds_text(route.objective)}});
  }
}

std::vector<membership::published_host> store_synchronizer::read_hosts() {
  std::vector<membership::published_host> hosts;
  std::vector<membership::published_host> unnamed_hosts;
  std::map<std::string, membership::published_host> newest_hosts;
  for (const std::pair<const std::string, membership::published_item>& entry : store_copy_.items()) {
    const membership::published_item& item = entry.second;
    result<membership::published_host, membership::published_value_error> parsed = source_->read_host(item);
    if (!succeeded(parsed)) {
      if (unreadable_entries_.size() < max_unreadable_entries &&
          unreadable_entries_[item.key] != item.position) {
        unreadable_entries_[item.key] = item.position;
        observe::log_event(observe::log_level::warning, "entry-unreadable",
                           {{"key", item.key},
                            {"revision", std::to_string(item.position.revision)},
                            {"error", std::get<membership::published_value_error>(parsed).message}});
      }
      continue;
    }
    membership::published_host host = std::get<membership::published_host>(std::move(parsed));
    // An entry of an earlier process with the same instance name says nothing about the current process.
    auto known = newest_hosts_.find(host.instance);
    if (known != newest_hosts_.end() && host.process_started_ms < known->second.process_started_ms) {
      host = known->second;
    }
    auto region = state_.settings.regions.find(host.domain);
    host.region = region == state_.settings.regions.end() ? std::string() : region->second;
    host.host = host_part(host.address);
    host.peer_address = host.host + ':' + peer_port_;
    host.position = item.position;
    newest_hosts[host.instance] = host;
    const bool is_named = named_services_.empty() || named_services_.count(host.service) != 0;
    (is_named ? hosts : unnamed_hosts).push_back(std::move(host));
  }
  newest_hosts_ = std::move(newest_hosts);
  membership::keep_newest_by_address(hosts);

  // An entry of a service that the configuration does not name may come from another writer, so it does not
  // replace a server at the same address.
  std::set<std::string> taken_addresses;
  for (const membership::published_host& host : hosts) {
    taken_addresses.insert(host.address);
  }
  membership::keep_newest_by_address(unnamed_hosts);
  for (membership::published_host& host : unnamed_hosts) {
    if (taken_addresses.count(host.address) == 0) {
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

void store_synchronizer::apply_hosts(const std::string& from) {
  const time_point now = state_.clock.now();
  std::vector<membership::published_host> hosts = read_hosts();
  apply_departures(hosts, from, now);

  // A service that has lost all its targets gets an empty list.
  std::map<std::string, membership::host_list> by_service;
  for (const std::string& service : services_) {
    by_service[service];
  }
  // Others may reach this node at another address than the one at which it listens.
  std::string own_address = state_.settings.listen.peers;
  std::set<std::string> addresses(state_.settings.gossip.seeds.begin(), state_.settings.gossip.seeds.end());
  for (const membership::published_host& host : hosts) {
    services_.insert(host.service);
    by_service[host.service].hosts.push_back(host);
    addresses.insert(host.peer_address);
    if (is_local(host)) {
      own_address = host.peer_address;
    }
  }
  std::map<std::string, int> target_counts;
  for (const std::pair<const std::string, membership::host_list>& service : by_service) {
    target_counts[service.first] = static_cast<int>(service.second.hosts.size());
    state_.sender.set_endpoints(
        service.first, state_.endpoints.apply(service.first, service.second, *state_.rules.table(), now));
  }
  state_.inner_routes.set_target_counts(std::move(target_counts));
  addresses.erase(own_address);
  state_.gossip.set_peers({addresses.begin(), addresses.end()});
  set_retry_budget_share(addresses.size() + 1);
  set_link_budget_share(addresses.size() + 1);
  const std::ptrdiff_t place = std::distance(addresses.begin(), addresses.lower_bound(own_address));
  reader_.set_fleet(addresses.size() + 1, static_cast<std::size_t>(place));
  confirmer_->set_hosts(hosts);
  set_document_peers(hosts);
  set_keepers(hosts);
  state_.endpoints.on_report({state_.settings.identity.host, state_.incarnation, state_.leaving});
  apply_local_target(hosts);
  update_hosts_document();
}

void store_synchronizer::apply_departures(std::vector<membership::published_host>& hosts,
                                          const std::string& from, time_point now) {
  std::vector<policy::listed_process> listing;
  std::map<std::string, bool> leaving;
  for (const membership::published_host& host : hosts) {
    listing.push_back({{host.instance, host.process_started_ms}, host.leaving});
    leaving[host.instance] = host.leaving;
  }
  state_.departures.on_listing(listing, now);

  // Log the changes.
  const std::string revision = std::to_string(store_copy_.position().revision);
  const std::function<std::string(const std::string&)> age = [&](const std::string& instance) {
    return departure_age_text(state_.departures, instance, policy::departure_sign::answered, now);
  };
  for (const membership::published_host& host : hosts) {
    auto previous = leaving_by_instance_.find(host.instance);
    if (previous == leaving_by_instance_.end() || previous->second != host.leaving) {
      observe::log_event(observe::log_level::info, host.leaving ? "target-leaving" : "target-listed",
                         {{"instance", host.instance},
                          {"service", host.service},
                          {"address", host.address},
                          {"domain", host.domain},
                          {"answered_ms", age(host.instance)},
                          {"revision", revision},
                          {"from", from}});
    }
  }
  for (const std::pair<const std::string, bool>& previous : leaving_by_instance_) {
    if (leaving.count(previous.first) == 0) {
      observe::log_event(observe::log_level::info, "target-gone",
                         {{"instance", previous.first},
                          {"answered_ms", age(previous.first)},
                          {"revision", revision},
                          {"from", from}});
    }
  }
  leaving_by_instance_ = std::move(leaving);

  for (membership::published_host& host : hosts) {
    host.leaving = state_.departures.is_leaving({host.instance, host.process_started_ms});
  }
}

bool store_synchronizer::is_local(const membership::published_host& host) const {
  return host.address == state_.settings.target.address;
}

void store_synchronizer::set_keepers(const std::vector<membership::published_host>& hosts) {
  // This node is a keeper only if the others know it, and where they reach it, which may not be where it
  // listens: else it would grant to itself beside their keeper.
  std::vector<std::string> keepers;
  std::string own_address;
  for (const membership::published_host& host : hosts) {
    if (host.leaving) {
      continue;
    }
    keepers.push_back(host.peer_address);
    if (is_local(host)) {
      own_address = host.peer_address;
    }
  }
  allowances_->set_nodes(std::move(keepers), std::move(own_address));
}

void store_synchronizer::set_retry_budget_share(std::size_t nodes) {
  const fleet_retry_settings& budget = state_.settings.fleet_retries;
  if (budget.ratio == 0) {
    return;
  }
  // Nodes use only a part of the budget: for a while they know different sizes of the fleet, and the retries
  // of all nodes count in the same window.
  policy::retry_bucket_settings bucket = state_.settings.routing.retries;
  bucket.tokens_per_success = budget.ratio * planned_budget_share;
  bucket.capacity = std::max(1.0, budget.slack * planned_budget_share / static_cast<double>(nodes));
  state_.sender.set_retry_bucket(bucket);
}

void store_synchronizer::set_link_budget_share(std::size_t nodes) {
  if (state_.settings.fleet_link.bytes_per_second == 0) {
    return;
  }
  policy::byte_bucket_settings link = state_.settings.routing.link;
  link.bytes_per_second = state_.settings.fleet_link.bytes_per_second / static_cast<double>(nodes);
  link.capacity = std::max(min_link_burst_bytes, link.bytes_per_second * to_seconds(link_burst_time));
  state_.sender.set_link_budget(link);
}

void store_synchronizer::apply_local_target(const std::vector<membership::published_host>& hosts) {
  for (const membership::published_host& host : hosts) {
    if (is_local(host) && !host.leaving) {
      state_.receiver.set_slots(host.slots);
    }
  }
}

void store_synchronizer::update_hosts_document() {
  const membership::store_position& position = store_copy_.position();
  state_.store_position = position;
  if (!position.is_known()) {
    return;
  }
  const membership::document* const exported = state_.documents.find(hosts_document);
  if (exported != nullptr && exported->stamp.position == position) {
    return;
  }
  std::string body = serialize_items(store_copy_.items(), position.era);
  state_.documents.merge({{hosts_document, 0, position, hash_text(body)}, std::move(body)});
}

}  // namespace nutmegarch::node
