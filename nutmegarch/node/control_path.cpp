#include "nutmegarch/node/control_path.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/http/address.h"
#include "nutmegarch/membership/reader_choice.h"
#include "nutmegarch/observe/log.h"

namespace nutmegarch::node {

namespace {

constexpr const char* hosts_prefix = "hosts/";
/// Shortest delay after a failed read. Reads are retried after 1 to 2 times this delay, chosen at random.
constexpr duration retry_delay = std::chrono::seconds(1);

std::string list_rules(const std::vector<rules::rule>& rules) {
  std::string text;
  for (const rules::rule& removed_rule : rules) {
    text += (text.empty() ? "" : "; ") + removed_rule.text + " (who: " + removed_rule.who +
            ", why: " + removed_rule.why + ")";
  }
  return text;
}

}  // namespace

std::string hosts_key(const std::string& service) { return hosts_prefix + service; }

control_path::control_path(node_state& state, boost::asio::io_context& workers, protocol::peer_network& peers,
                           std::shared_ptr<store_synchronizer> published)
    : state_(state),
      workers_(workers),
      peers_(peers),
      configuration_(workers, *http::parse_address(state.settings.platform.address)),
      published_(std::move(published)) {}

void control_path::start() {
  if (published_) {
    {
      const std::lock_guard<std::mutex> lock(state_.mutex);
      state_.gossip.set_peers(state_.settings.gossip.seeds);
    }
    announce_update();
    return;
  }
  read(hosts_key(state_.settings.identity.service));
  for (const std::string& service : state_.settings.identity.called_services) {
    read(hosts_key(service));
  }
  // The rules are read after the hosts, so that peers are asked before a single read is trusted.
  schedule_read(rules_key, std::chrono::milliseconds(100));
}

void control_path::on_tick() {
  const std::string confirming_peer = published_ ? published_->on_tick() : std::string();
  std::vector<std::string> due;
  bool should_read = false;
  bool is_reader = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    const time_point now = state_.clock.now();
    due = state_.gossip.due(now);
    const std::vector<std::string> to_greet = state_.gossip.due_for_greeting(now);
    due.insert(due.end(), to_greet.begin(), to_greet.end());
    if (now >= next_greeting_) {
      const std::string unknown_peer = state_.endpoints.next_without_incarnation();
      if (!unknown_peer.empty()) {
        due.push_back(unknown_peer);
      }
      next_greeting_ = now + state_.settings.gossip.greeting_interval;
    }
    should_read = !published_ && state_.gossip.should_read(now);
    is_reader = is_reader_;
  }
  for (const std::string& address : due) {
    exchange_with(address, {});
  }
  if (!confirming_peer.empty()) {
    exchange_with(confirming_peer, {});
  }
  request_documents();
  send_due_updates();
  if (should_read) {
    state_.events.add(observe::event_kind::configuration_silent, {}, "",
                      "no update was received; reading the configuration service");
    read(rules_key);
    read(hosts_key(state_.settings.identity.service));
  }
  if (is_reader) {
    watch(rules_key);
    watch(hosts_key(state_.settings.identity.service));
  }
}

protocol::peer_exchange control_path::on_exchange(const protocol::peer_exchange& offer) {
  const bool has_changed = merge(offer);
  protocol::peer_exchange reply = make_offer(false);
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    reply.documents = state_.documents.newer_than(offer.digest);
    // Keeps only the stamps of documents that the peer has listed in its digest.
    reply.digest.erase(std::remove_if(reply.digest.begin(), reply.digest.end(),
                                      [&](const membership::document_stamp& stamp) {
                                        return std::none_of(
                                            offer.digest.begin(), offer.digest.end(),
                                            [&](const membership::document_stamp& peer_stamp) {
                                              return peer_stamp.key == stamp.key;
                                            });
                                      }),
                       reply.digest.end());
  }
  if (has_changed) {
    post_change();
  }
  return reply;
}

void control_path::post_change() {
  boost::asio::post(workers_, [self = shared_from_this()]() {
    if (self->published_) {
      self->published_->notify_listener();
    }
    self->announce_update();
  });
}

void control_path::announce_leaving() {
  std::vector<std::string> all_peers;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    all_peers = state_.gossip.peers();
  }
  for (const std::string& address : all_peers) {
    exchange_with(address, {});
  }
}

void control_path::revalidate() {
  std::vector<std::string> picked_peers;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    picked_peers = state_.gossip.pick_peers();
    active_watches_.clear();
  }
  for (const std::string& address : picked_peers) {
    exchange_with(address, {});
  }
  if (published_) {
    published_->on_pause();
    return;
  }
  read(rules_key);
}

void control_path::announce_update() {
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.gossip.on_local_update();
  }
  send_due_updates();
}

void control_path::send_due_updates() {
  std::vector<std::string> chosen_peers;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    chosen_peers = state_.gossip.due_for_update(state_.clock.now());
  }
  for (const std::string& address : chosen_peers) {
    exchange_with(address, {});
  }
}

void control_path::request_documents() {
  std::string address;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    if (published_) {
      address = state_.document_requests.next(published_->need(), state_.clock.now());
    }
  }
  if (!address.empty()) {
    state_.metrics.add("document_requests");
    exchange_with(address, {}, true);
  }
}

void control_path::read(const std::string& key) {
  state_.metrics.add("configuration_reads");
  configuration_.read(
      key, [self = shared_from_this(),
            key](const result<platform::configuration_value, platform::configuration_error>& outcome) {
        self->on_value(key, outcome);
        if (succeeded(outcome)) {
          return;
        }
        // Retries until a document has been received. Later versions arrive from peers and by watches.
        bool is_known = false;
        double jitter = 0;
        {
          const std::lock_guard<std::mutex> lock(self->state_.mutex);
          is_known = self->state_.documents.find(key) != nullptr;
          jitter = self->state_.random.uniform();
        }
        if (!is_known) {
          self->schedule_read(key, from_seconds(to_seconds(retry_delay) * (1 + jitter)));
        }
      });
}

void control_path::schedule_read(const std::string& key, duration delay) {
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(workers_, delay);
  timer->async_wait([self = shared_from_this(), timer, key](const boost::system::error_code& error) {
    if (!error) {
      self->read(key);
    }
  });
}

void control_path::watch(const std::string& key) {
  std::uint64_t revision = 0;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    if (!active_watches_.insert(key).second) {
      return;
    }
    const membership::document* const current = state_.documents.find(key);
    revision = current == nullptr ? 0 : current->stamp.position.revision;
  }
  state_.metrics.add("configuration_reads");
  configuration_.watch(
      key, revision, state_.settings.platform.watch_timeout,
      [self = shared_from_this(),
       key](const result<platform::configuration_value, platform::configuration_error>& outcome) {
        self->on_value(key, outcome);
        // The key is watched again from the next tick on; after an error, only after a pause.
        const duration pause = succeeded(outcome) ? duration{} : retry_delay;
        const std::shared_ptr<boost::asio::steady_timer> timer =
            std::make_shared<boost::asio::steady_timer>(self->workers_, pause);
        timer->async_wait([self, timer, key](const boost::system::error_code&) {
          const std::lock_guard<std::mutex> lock(self->state_.mutex);
          self->active_watches_.erase(key);
        });
      });
}

void control_path::on_value(
    const std::string& key,
    const result<platform::configuration_value, platform::configuration_error>& outcome) {
  if (!succeeded(outcome)) {
    return;
  }
  const platform::configuration_value& value = std::get<platform::configuration_value>(outcome);
  bool has_changed = false;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    state_.gossip.on_update_received(state_.clock.now());
    has_changed = !value.is_unchanged && accept_document(key, value.revision, value.body);
    // Without peers, a read of the rules is enough to end the revalidation.
    if (key == rules_key && state_.gossip.peers().empty()) {
      state_.revalidating_until = time_point{};
    }
  }
  if (has_changed) {
    announce_update();
  }
}

bool control_path::accept_document(const std::string& key, std::uint64_t revision, const std::string& body) {
  if (key == rules_key) {
    return accept_rules(revision, body);
  }
  return key.compare(0, std::string(hosts_prefix).size(), hosts_prefix) == 0 &&
         accept_hosts(key, revision, body);
}

bool control_path::accept_rules(std::uint64_t revision, const std::string& body) {
  const rules::rules_verdict verdict = state_.rules.offer(body, revision);
  const rules::rules_order& order = state_.rules.order();
  switch (verdict.what) {
    case rules::rules_verdict::kind::same:
    case rules::rules_verdict::kind::stale:
      return false;
    case rules::rules_verdict::kind::bad: {
      const std::string errors = rules::to_text(verdict.errors.front(), rules_key) + " (" +
                                 std::to_string(verdict.errors.size()) + " in total)";
      state_.events.add(observe::event_kind::rules_refused, {}, rules_key, errors);
      observe::log_event(observe::log_level::warning, "rules-refused", {{"errors", errors}});
      return false;
    }
    case rules::rules_verdict::kind::rollback: {
      const std::string detail = "an older version was published; keeping version " +
                                 std::to_string(order.version) +
                                 "; lines that would have gone: " + list_rules(verdict.removed);
      state_.events.add(observe::event_kind::rules_refused, {}, rules_key, detail);
      observe::log_event(observe::log_level::warning, "rules-refused", {{"reason", detail}});
      return false;
    }
    case rules::rules_verdict::kind::accepted:
      break;
  }
  state_.documents.merge({{rules_key, order.version, {0, order.revision}, order.hash}, body});
  state_.enforcer.reset();
  state_.rule_match_counts.clear();
  state_.rules_since = std::chrono::system_clock::now();
  state_.endpoints.apply_rules(*state_.rules.table());
  std::string detail = "version " + std::to_string(order.version);
  if (!verdict.removed.empty()) {
    detail += "; removed lines: " + list_rules(verdict.removed);
  }
  state_.events.add(observe::event_kind::rules_in_force, {}, rules_key, detail);
  observe::log_event(observe::log_level::info, "rules-in-force", {{"detail", detail}});
  return true;
}

bool control_path::accept_hosts(const std::string& key, std::uint64_t revision, const std::string& body) {
  const result<membership::host_list, membership::host_list_error> parsed = membership::parse_host_list(body);
  if (!succeeded(parsed)) {
    observe::log_event(observe::log_level::warning, "hosts-refused",
                       {{"key", key}, {"error", std::get<membership::host_list_error>(parsed).message}});
    return false;
  }
  const membership::host_list& list = std::get<membership::host_list>(parsed);
  if (!state_.documents.merge({{key, list.revision, {0, revision}, hash_text(body)}, body})) {
    return false;
  }
  const std::string service = key.substr(std::string(hosts_prefix).size());
  state_.sender.set_endpoints(
      service, state_.endpoints.apply(service, list, *state_.rules.table(), state_.clock.now()));
  state_.endpoints.on_report({state_.settings.identity.host, state_.incarnation, state_.leaving});
  update_peers();
  if (service == state_.settings.identity.service) {
    const std::vector<std::string> readers = membership::choose_readers(
        list, static_cast<std::size_t>(state_.settings.platform.readers_per_service));
    is_reader_ = std::count(readers.begin(), readers.end(), state_.settings.identity.host) != 0;
  }
  return true;
}

void control_path::update_peers() {
  std::vector<std::string> services = state_.settings.identity.called_services;
  services.push_back(state_.settings.identity.service);
  std::set<std::string> addresses;
  for (const std::string& service : services) {
    const std::vector<policy::endpoint_ptr>* const endpoints = state_.sender.endpoints(service);
    if (endpoints == nullptr) {
      continue;
    }
    for (const policy::endpoint_ptr& known : *endpoints) {
      if (known->host != state_.settings.identity.host) {
        addresses.insert(known->address);
      }
    }
  }
  state_.gossip.set_peers({addresses.begin(), addresses.end()});
}

void control_path::exchange_with(const std::string& address, std::vector<membership::document> documents,
                                 bool asks_documents) {
  protocol::peer_exchange offer = make_offer(asks_documents);
  const bool sent_documents = !documents.empty();
  const bool sent_digest = !offer.digest.empty();
  offer.documents = std::move(documents);
  state_.metrics.add("exchanges");
  const time_point asked = state_.clock.now();
  peers_.exchange(address, std::move(offer),
                  [self = shared_from_this(), address, sent_documents, sent_digest, asks_documents,
                   asked](const result<protocol::peer_exchange, protocol::peer_error>& outcome) {
                    {
                      const std::lock_guard<std::mutex> lock(self->state_.mutex);
                      self->state_.gossip.on_exchanged(address, succeeded(outcome));
                    }
                    if (asks_documents) {
                      const std::lock_guard<std::mutex> lock(self->state_.mutex);
                      self->state_.document_requests.on_ended(address, self->state_.clock.now());
                    }
                    if (succeeded(outcome)) {
                      self->on_reply(address, std::get<protocol::peer_exchange>(outcome), sent_documents,
                                     sent_digest, asked);
                    }
                  });
}

void control_path::on_reply(const std::string& address, const protocol::peer_exchange& reply,
                            bool sent_documents, bool sent_digest, time_point asked) {
  const bool has_changed = merge(reply);
  std::vector<membership::document> missing_documents;
  {
    const std::lock_guard<std::mutex> lock(state_.mutex);
    missing_documents = state_.documents.newer_than(reply.digest);
    state_.revalidating_until = time_point{};
    state_.configuration_age.on_peer(asked, reply.configuration.age,
                                     reply.configuration.version > state_.configuration_version());
    if (published_ && sent_digest) {
      published_->on_peer_view(reply.confirmed);
    }
  }
  if (has_changed) {
    post_change();
  }
  // A peer may reject documents. They are not sent to it again at once, which would repeat without end.
  if (!missing_documents.empty() && !sent_documents) {
    boost::asio::post(
        workers_, [self = shared_from_this(), address, missing_documents = std::move(missing_documents)]() {
          self->exchange_with(address, missing_documents);
        });
  }
}

protocol::peer_exchange control_path::make_offer(bool asks_documents) const {
  protocol::peer_exchange offer;
  const std::lock_guard<std::mutex> lock(state_.mutex);
  offer.self = {state_.settings.identity.host, state_.incarnation, state_.leaving};
  if (published_) {
    offer.confirmed = published_->confirmed();
    offer.notice = published_->notice();
    offer.configuration = state_.configuration(state_.clock.now());
    offer.reader_age = published_->reader_age();
  }
  // Documents are large: a node that has some asks one peer at a time.
  if (published_ && state_.routes && !asks_documents) {
    offer.marks = state_.crashes.gossip_marks(state_.clock.now());
    offer.stamp = state_.stamps.next();
    return offer;
  }
  offer.digest = state_.documents.digest();
  offer.marks = state_.crashes.gossip_marks(state_.clock.now());
  offer.stamp = state_.stamps.next();

  // Lists required documents that are missing here, so that the peer sends them.
  std::vector<std::string> required_keys = {rules_key, hosts_key(state_.settings.identity.service)};
  for (const std::string& service : state_.settings.identity.called_services) {
    required_keys.push_back(hosts_key(service));
  }
  if (published_) {
    required_keys = store_synchronizer::document_keys();
  }
  for (const std::string& key : required_keys) {
    if (state_.documents.find(key) == nullptr) {
      offer.digest.push_back(membership::document_table::missing_stamp(key));
    }
  }
  return offer;
}

bool control_path::merge(const protocol::peer_exchange& from) {
  state_.stamps.merge(from.stamp);
  const std::lock_guard<std::mutex> lock(state_.mutex);
  const time_point now = state_.clock.now();
  state_.endpoints.on_report(from.self);
  state_.gossip.on_update_received(now);
  if (published_) {
    published_->on_peer_change(from.confirmed);
    published_->on_peer_notice(from.notice);
    published_->on_peer_version(from.self.host, from.configuration.version);
    published_->on_peer_reader(from.reader_age);
  }
  bool has_changed = false;
  for (const membership::document& offered : from.documents) {
    const bool is_accepted =
        published_ ? published_->accept_document(offered)
                   : accept_document(offered.stamp.key, offered.stamp.position.revision, offered.body);
    has_changed = has_changed || is_accepted;
    state_.metrics.add(is_accepted ? "peer_document_bytes" : "peer_document_bytes_unused",
                       static_cast<double>(offered.body.size()));
  }
  for (const policy::crash_mark& mark : from.marks) {
    if (state_.crashes.merge(mark, now)) {
      has_changed = true;
      state_.events.add(observe::event_kind::quarantine, {}, std::to_string(mark.fingerprint),
                        "a peer reported " + std::to_string(mark.crashes) + " crashes");
    }
  }
  return has_changed;
}

}  // namespace nutmegarch::node
