#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "nutmegarch/membership/published_source.h"
#include "nutmegarch/node/node_state.h"

namespace nutmegarch::node {

/// Asks whether the configuration in force is still the newest one, where keys must not be used for long
/// after they were taken away, see membership::configuration_age. A few nodes of each failure domain ask the
/// store, over a connection of their own; the others ask these nodes.
class configuration_confirmer final : public std::enable_shared_from_this<configuration_confirmer> {
 public:
  /// Applies a configuration that the store has returned; returns true if the one in force is not older now.
  /// Runs with the state's lock.
  using item_handler = std::function<bool(const membership::published_item&)>;

  /// `state` must outlive the object.
  configuration_confirmer(node_state& state, std::unique_ptr<membership::published_source> source,
                          item_handler accept);

  /// Sets the function to call, without the state's lock, after a configuration was applied.
  void set_listener(std::function<void()> listener) { listener_ = std::move(listener); }

  /// Chooses the readers among the published targets. Requires the state's lock.
  void set_hosts(const std::vector<membership::published_host>& hosts);
  /// Asks what is due. `read_up_to`: up to there this node has read all changes of the configuration; not
  /// known before the first listing. Returns the address of the peer to exchange with; empty for none. Locks
  /// the state.
  std::string on_tick(const membership::store_position& read_up_to, bool is_store_failing);

 private:
  void ask_store(const membership::store_position& position);
  void on_answer(const membership::store_position& asked_position, time_point asked,
                 const result<membership::store_answer, membership::store_error>& outcome);
  /// Requires the state's lock.
  void apply_answer(const membership::store_position& asked_position, time_point asked,
                    const result<membership::store_answer, membership::store_error>& outcome);
  /// A reader that this node may ask: one of its own failure domain, else any. Requires the state's lock.
  std::string choose_peer();

  node_state& state_;
  std::unique_ptr<membership::published_source> source_;
  item_handler accept_;
  std::function<void()> listener_;
  /// All following members are guarded by the state's lock.
  bool is_asking_store_ = false;
  /// The store had no newer configuration up to here than the one that this node has.
  membership::store_position confirmed_up_to_;
  /// The store does not have the changes since then any more, so that the whole configuration is read.
  bool is_history_lost_ = false;
  std::uint64_t last_request_ = 0;
  /// Addresses of the readers for peers, without this node.
  std::vector<std::string> near_readers_;
  std::vector<std::string> other_readers_;
};

}  // namespace nutmegarch::node
