#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "nutmegarch/node/node_state.h"
#include "nutmegarch/node/published_path.h"
#include "nutmegarch/platform/configuration_client.h"
#include "nutmegarch/protocol/peer_network.h"

namespace nutmegarch::node {

/// What a node knows of rules and hosts: reads and watches of the configuration service, exchanges with
/// peers.
class control_path final : public std::enable_shared_from_this<control_path> {
 public:
  /// `published` is null where the node reads the product's own configuration service.
  control_path(node_state& state, boost::asio::io_context& workers, protocol::peer_network& peers,
               std::shared_ptr<published_path> published);

  /// Reads what is needed to begin with.
  void start();
  /// Lets time pass: exchanges with peers, reads after a long silence.
  void on_time();
  /// Compares with a peer; the result goes back to it. Called on the network's thread.
  protocol::peer_exchange on_exchange(const protocol::peer_exchange& offer);
  /// Tells all peers that this node leaves.
  void announce_leaving();
  /// Asks peers and the configuration service anew, after a pause.
  void revalidate();
  /// Tells peers of something new, as a crashed target.
  void spread_news();

 private:
  void read(const std::string& key);
  void read_after(const std::string& key, duration delay);
  void watch(const std::string& key);
  void on_value(const std::string& key,
                const result<platform::configuration_value, platform::configuration_error>& outcome);
  bool take(const std::string& key, std::uint64_t revision, const std::string& body);
  bool take_rules(std::uint64_t revision, const std::string& body);
  bool take_hosts(const std::string& key, std::uint64_t revision, const std::string& body);
  void update_peers();
  /// Tells peers of what has come up, at most once in every interval for news.
  void tell_due_news();
  /// Compares digests with a peer; `documents` are those that it is known to lack.
  void exchange_with(const std::string& address, std::vector<membership::document> documents);
  void on_reply(const std::string& address, const protocol::peer_exchange& reply, bool had_documents);
  protocol::peer_exchange make_offer() const;
  bool merge(const protocol::peer_exchange& from);

  node_state& state_;
  boost::asio::io_context& workers_;
  protocol::peer_network& peers_;
  platform::configuration_client configuration_;
  std::shared_ptr<published_path> published_;

  /// Guarded by the state's lock.
  std::set<std::string> watched_;
  /// This node watches the configuration service for its service.
  bool is_reader_ = false;
  time_point next_greeting_{};
};

/// Key of the rule file in the configuration service.
constexpr const char* rules_key = "rules";

/// Key of the host list of a service.
std::string hosts_key(const std::string& service);

}  // namespace nutmegarch::node
