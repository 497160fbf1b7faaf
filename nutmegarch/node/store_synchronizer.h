#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "nutmegarch/membership/published_source.h"
#include "nutmegarch/node/allowance_path.h"
#include "nutmegarch/node/configuration_confirmer.h"
#include "nutmegarch/node/node_state.h"
#include "nutmegarch/observe/log.h"

namespace nutmegarch::node {

/// Keeps the operator's routes and the targets of all services up to date with the platform's store, which
/// the node reads directly or through its peers. Sends the requests that published_reader decides on.
class store_synchronizer final : public std::enable_shared_from_this<store_synchronizer> {
 public:
  /// Requests to confirm the configuration use `confirming_source`, so that they wait for no other one.
  store_synchronizer(node_state& state, std::unique_ptr<membership::published_source> source,
                     std::unique_ptr<membership::published_source> confirming_source,
                     std::shared_ptr<allowance_path> allowances);

  /// Sets the function to call after the store or a peer has changed routes or targets. Call before the
  /// first tick. The listener runs on a worker thread without the state's lock.
  void set_listener(std::function<void()> listener) {
    listener_ = std::move(listener);
    confirmer_->set_listener(listener_);
  }

  /// Calls the listener. Call without the state's lock, on a worker thread, after accept_document() has
  /// applied a document.
  void notify_listener() const;
  /// Call periodically: sends the request that is due, and drops entries whose grace period has ended.
  /// Returns the address of the peer to exchange with, to learn the age of the configuration; empty for none.
  std::string on_tick();
  /// Call after the process was suspended: connections may be dead, and the local copy may be stale.
  void on_pause();
  /// What this node lacks that peers may have. Requires the state's lock.
  membership::document_need need() const;
  /// How long ago a reader of configurations was answered by the store, as far as this node knows. Requires
  /// the state's lock.
  std::optional<duration> reader_age() const;
  /// A peer has sent its reader_age(). Requires the state's lock.
  void on_peer_reader(std::optional<duration> age) {
    state_.configuration_readers.on_peer(age, state_.clock.now());
  }
  /// Position of the newest change of an entry that the store has told this node of; not known when the store
  /// does not confirm the view now. Requires the state's lock.
  membership::store_position confirmed() const {
    return state_.view.is_confirmed() ? newest_change_ : membership::store_position();
  }
  /// A peer has learned from the store of a change at this position. Requires the state's lock.
  void on_peer_change(const membership::store_position& position) {
    reader_.on_peer_change(position, state_.clock.now());
  }
  /// Position of the change that peers must be told of at once; not known if there is none. Requires the
  /// state's lock.
  membership::store_position notice() const { return reader_.notice(state_.clock.now()); }
  /// A peer has sent its notice(). Requires the state's lock.
  void on_peer_notice(const membership::store_position& position);
  /// The peer on a host has a configuration of this version in force. Requires the state's lock.
  void on_peer_version(const std::string& host, std::uint64_t version) {
    state_.configuration_lag.on_peer_version(version, state_.configuration_version(), state_.clock.now());
    state_.document_requests.on_peer_version(host, version);
  }
  /// A peer has sent all documents that this node lacks. `position` is its confirmed(). Requires the state's
  /// lock.
  void on_peer_view(const membership::store_position& position);
  /// Applies a document from a peer when it is newer than the local one; returns true when it was applied.
  /// Requires the state's lock.
  bool accept_document(const membership::document& offered);

  /// Keys of the documents that nodes exchange.
  static const std::vector<std::string>& document_keys();

 private:
  void on_answer(const membership::store_request& sent_request,
                 const result<membership::store_answer, membership::store_error>& outcome);
  /// Applies a configuration when it is newer than the one in force; returns true when it was applied.
  /// Requires the state's lock.
  bool accept_configuration(const std::string& value, const membership::store_position& position,
                            const std::string& from);
  /// Applies an answer of the era that is being read; returns true when routes or targets have changed.
  /// Requires the state's lock.
  bool apply_answer(const membership::store_request& sent_request, const membership::store_answer& answer,
                    time_point now);
  /// Drops an answer of an ended era, or of none. Requires the state's lock.
  void refuse_outdated_answer(const membership::store_position& position, time_point now);
  /// Logs the first answer of each era. Requires the state's lock.
  void log_era(std::uint64_t era);
  /// Where the local copy stands, for the log.
  observe::log_fields position_fields() const;
  /// Takes up or gives up reading configurations; true when the watch in progress was abandoned for it.
  /// Requires the state's lock.
  bool choose_reading(time_point now);
  /// Sets the peers to ask for documents, and who reads configurations.
  void set_document_peers(const std::vector<membership::published_host>& hosts);
  /// Ends the watch in progress when it is silent or overdue; true when it was. Requires the state's lock.
  bool abandon_silent_watch(time_point now);
  /// Requires the state's lock.
  void log_failed_call(const membership::store_request& request, membership::store_error error,
                       time_point now) const;
  /// Logs when the view becomes confirmed or ceases to be. Requires the state's lock.
  void log_confirmation(const char* source);
  void log_changed_routes(const routes::route_configuration& next) const;
  /// Logs and counts what of the configuration just put in force was not taken over.
  void log_problems(const routes::route_configuration& configuration);
  /// Sets the services that a new configuration names, and applies the entries again if they have changed.
  void set_named_services(const routes::route_configuration& configuration, const std::string& from);
  /// Removes the configuration from the items and applies it, when it is among them. Returns true when it was
  /// applied. Requires the state's lock.
  bool extract_configuration(std::vector<membership::published_item>& items);
  /// Applies the entries of the local copy to sender, receiver and gossip. `from` says in the log where the
  /// change came from. Requires the state's lock.
  void apply_hosts(const std::string& from);
  /// Parses the entries of the local copy.
  std::vector<membership::published_host> read_hosts();
  /// Sets `leaving` of the hosts whose target process is leaving by any sign. `from` says in the log where
  /// the change came from.
  void apply_departures(std::vector<membership::published_host>& hosts, const std::string& from,
                        time_point now);
  /// Applies the slots of the target beside this node.
  void apply_local_target(const std::vector<membership::published_host>& hosts);
  /// True if the host is the target beside this node.
  bool is_local(const membership::published_host& host) const;
  /// Sets the nodes that keep the allowances of organisations.
  void set_keepers(const std::vector<membership::published_host>& hosts);
  /// Sets this node's share of the fleet's retry budget. `nodes`: the size of the fleet.
  void set_retry_budget_share(std::size_t nodes);
  /// Sets this node's share of the bandwidth of the link between regions. `nodes`: the size of the fleet.
  void set_link_budget_share(std::size_t nodes);
  /// Updates the document with which peers receive the local copy.
  void update_hosts_document();
  /// The store has answered a question asked at `asked`, and this node has all changes up to then. Requires
  /// the state's lock.
  void confirm_configuration(time_point asked);

  node_state& state_;
  std::unique_ptr<membership::published_source> source_;
  std::shared_ptr<configuration_confirmer> confirmer_;
  std::shared_ptr<allowance_path> allowances_;
  std::function<void()> listener_;

  /// All following members are guarded by the state's lock.
  membership::published_state store_copy_;
  membership::published_reader reader_;
  /// Services that the configuration in force names; empty before the first one.
  std::set<std::string> named_services_;
  /// All services that have had a target.
  std::set<std::string> services_;
  /// The newest valid entry of each target process, by the instance name.
  std::map<std::string, membership::published_host> newest_hosts_;
  /// Positions of unreadable entries, by key, so that each is logged once.
  std::map<std::string, membership::store_position> unreadable_entries_;
  /// What the published entries of the last listing say about leaving.
  std::map<std::string, bool> leaving_by_instance_;
  bool is_store_reachable_ = true;
  /// False while the store's configuration can't be read.
  bool is_configuration_read_ = true;
  /// When the first page of the listing in progress was asked for.
  time_point listing_asked_{};
  /// What was logged last.
  bool was_confirmed_ = false;
  membership::store_position newest_change_;
  /// Position of the configuration in force; not known if there is none.
  membership::store_position configuration_position_;
  /// Newest era of an answer.
  std::uint64_t logged_era_ = 0;
  std::string peer_port_;
};

}  // namespace nutmegarch::node
