#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "nutmegarch/node/node_state.h"
#include "nutmegarch/node/store_synchronizer.h"
#include "nutmegarch/platform/configuration_client.h"
#include "nutmegarch/protocol/peer_network.h"

namespace nutmegarch::node {

/// Keeps a node's rules and host lists up to date: reads and watches the configuration service, and exchanges
/// documents with peers. Thread-safe: the public functions take the state's lock.
class control_path final : public std::enable_shared_from_this<control_path> {
 public:
  /// `published` is null when the node uses the product's own configuration service and not a platform's
  /// store.
  control_path(node_state& state, boost::asio::io_context& workers, protocol::peer_network& peers,
               std::shared_ptr<store_synchronizer> published);

  /// Starts the first reads of the host lists and the rules. With a store, only contacts the seed peers.
  void start();
  /// Call periodically: starts the exchanges, reads and watches that are due.
  void on_tick();
  /// Merges a peer's exchange and returns the reply to it. Called on the network thread.
  protocol::peer_exchange on_exchange(const protocol::peer_exchange& offer);
  /// Sends an exchange to all peers. Call after `leaving` was set, so that they learn of it.
  void announce_leaving();
  /// Requests current documents from peers and from the configuration service, after the process was
  /// suspended.
  void revalidate();
  /// Sends a local change to peers, for example a crash of the target.
  void announce_update();

 private:
  void read(const std::string& key);
  void schedule_read(const std::string& key, duration delay);
  void watch(const std::string& key);
  void on_value(const std::string& key,
                const result<platform::configuration_value, platform::configuration_error>& outcome);
  /// Applies a document when it is newer than the local one; returns true when it was applied. This and
  /// the next three functions require the state's lock.
  bool accept_document(const std::string& key, std::uint64_t revision, const std::string& body);
  bool accept_rules(std::uint64_t revision, const std::string& body);
  bool accept_hosts(const std::string& key, std::uint64_t revision, const std::string& body);
  void update_peers();
  /// Sends pending updates to peers, at most once per gossip_settings::update_interval.
  void send_due_updates();
  /// Asks a peer for the documents that this node lacks, if that is due.
  void request_documents();
  /// Sends an exchange to a peer, with the documents that it is known to lack. `asks_documents`: the peer is
  /// asked for those that this node lacks.
  void exchange_with(const std::string& address, std::vector<membership::document> documents,
                     bool asks_documents = false);
  /// `sent_documents` and `sent_digest` tell what the offer contained, and `asked` when it was sent.
  void on_reply(const std::string& address, const protocol::peer_exchange& reply, bool sent_documents,
                bool sent_digest, time_point asked);
  protocol::peer_exchange make_offer(bool asks_documents) const;
  /// Applies and passes on, on a worker thread, what a peer has changed.
  void post_change();
  /// Applies what a peer has sent; returns true when it changed the local state.
  bool merge(const protocol::peer_exchange& from);

  node_state& state_;
  boost::asio::io_context& workers_;
  protocol::peer_network& peers_;
  platform::configuration_client configuration_;
  std::shared_ptr<store_synchronizer> published_;

  /// Keys that are being watched. This and the following members are guarded by the state's lock.
  std::set<std::string> active_watches_;
  /// True when this node watches the configuration service for the other nodes of its service.
  bool is_reader_ = false;
  /// Time of the next exchange with a peer whose incarnation is unknown.
  time_point next_greeting_{};
};

/// Key of the rule file in the configuration service.
constexpr const char* rules_key = "rules";

/// Key of the host list of a service.
std::string hosts_key(const std::string& service);

}  // namespace nutmegarch::node
