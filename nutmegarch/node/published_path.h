#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "nutmegarch/membership/published_source.h"
#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// What a node takes from the platform's store, by itself or through its peers: the operator's routes and the
/// targets of all services. Runs the requests that published_reader decides on.
class published_path final : public std::enable_shared_from_this<published_path> {
 public:
  published_path(node_state& state, std::unique_ptr<membership::published_source> source);

  /// Sets what is told when routes or targets have changed. Before the first tick.
  void set_listener(std::function<void()> listener) { listener_ = std::move(listener); }

  /// Asks the store what is due, and drops entries whose grace is over.
  void on_time();
  /// The process stood still: connections may be dead, and the view is old.
  void on_pause();
  /// The store can't be read now, or has not been read yet. Holds the state's lock.
  bool needs_peers() const { return reader_.failures() > 0 || held_.revision() == 0 || !state_.routes; }
  /// Takes a document that a peer passed on. True when it was news. Holds the state's lock.
  bool take(const membership::document& offered);

  /// Keys of the documents that peers pass on.
  static const std::vector<std::string>& document_keys();

 private:
  void on_answer(const membership::store_request& asked,
                 const result<membership::store_answer, membership::store_error>& outcome);
  /// Takes a configuration; holds the state's lock. True when it is newer than the one in force.
  bool take_configuration(const std::string& value, std::uint64_t revision, const std::string& from);
  void log_changed_routes(const routes::route_configuration& next) const;
  /// Takes the configuration out of the items, if it is among them. Holds the state's lock.
  bool take_configuration_of(std::vector<membership::published_item>& items);
  /// Passes the entries that are held on to the parts that use them. Holds the state's lock.
  void apply_hosts(const std::string& from);
  std::vector<membership::published_host> read_hosts();
  void apply_own_target(const std::vector<membership::published_host>& hosts);
  /// Sets this node's part of the retries that the fleet may make.
  void share_retry_budget(std::size_t nodes);
  /// Sets this node's part of the link between regions.
  void share_link(std::size_t nodes);
  void export_hosts();

  node_state& state_;
  std::unique_ptr<membership::published_source> source_;
  std::function<void()> listener_;

  /// Guarded by the state's lock.
  membership::published_state held_;
  membership::published_reader reader_;
  std::set<std::string> services_;
  /// The newest entry of each target process that could be read, by its name.
  std::map<std::string, membership::published_host> newest_;
  /// Entries that could not be read, by key, so that each is logged once.
  std::map<std::string, std::uint64_t> unreadable_;
  std::map<std::string, bool> leaving_by_instance_;
  bool was_reachable_ = true;
  std::string peers_port_;
};

}  // namespace nutmegarch::node
