#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of gossip_schedule.
struct gossip_settings {
  /// Mean time between two exchanges with a random peer.
  duration interval = std::chrono::milliseconds(500);
  /// Number of random peers that an update is sent to.
  int fan_out = 3;
  /// Shortest time between two rounds of updates. Changes in between are sent with the next round, so that a
  /// burst of changes does not cause a burst of messages.
  duration update_interval = std::chrono::milliseconds(100);
  /// Number of rounds in which an urgent update is sent, so that hardly any peer misses it.
  int urgent_rounds = 3;
  /// The node reads the configuration service when it has received no update from a peer or from the service
  /// for this long.
  duration silence = std::chrono::seconds(15);
  /// Shortest time between two reads that are caused by `silence`.
  duration min_read_interval = std::chrono::seconds(10);
  /// Number of new peers that are greeted at the same time.
  std::size_t max_greetings = 8;
  /// Time between two greetings of peers that have not answered yet, and between two exchanges with peers
  /// whose incarnation is not known yet.
  duration greeting_interval = std::chrono::milliseconds(40);
  /// Addresses of the peers to use before the first host list is read.
  std::vector<std::string> seeds;
};

/// Decides when a node exchanges documents with which peers, and when it reads the configuration service
/// itself. No I/O; not thread-safe.
class gossip_schedule {
 public:
  gossip_schedule(const gossip_settings& settings, random_source& random)
      : settings_(settings), random_(random) {}

  /// Replaces the list of peer addresses. Peers that were not in the previous list become due for a greeting.
  void set_peers(std::vector<std::string> peers);
  const std::vector<std::string>& peers() const { return peers_; }

  /// Peers to exchange with now; empty when the next exchange is not due yet.
  std::vector<std::string> due(time_point now);

  /// New peers to exchange with now, at most `max_greetings`, so that all peers soon learn of this node. A
  /// peer that did not answer is returned again after the greeting interval.
  std::vector<std::string> due_for_greeting(time_point now);

  /// Call when an exchange with a peer has ended. `has_answered`: the peer has answered.
  void on_exchanged(const std::string& address, bool has_answered);

  /// Call when this node has an update for its peers.
  void on_local_update() { due_rounds_ = std::max(due_rounds_, 1); }
  /// Call when this node has an update that all peers must have soon.
  void on_urgent_update() { due_rounds_ = settings_.urgent_rounds; }

  /// Peers to send the update to now: `fan_out` random ones; empty when there is no update or when
  /// `update_interval` since the last round has not passed.
  std::vector<std::string> due_for_update(time_point now);

  /// Returns `fan_out` random peers, or all when there are fewer.
  std::vector<std::string> pick_peers();

  /// Call when a recent update was received from a peer or from the configuration service.
  void on_update_received(time_point now) { last_received_ = now; }

  /// True when the node should read the configuration service now. Reads are jittered and at least
  /// `min_read_interval` apart.
  bool should_read(time_point now);

 private:
  gossip_settings settings_;
  random_source& random_;
  std::vector<std::string> peers_;
  /// The addresses in `peers_`, sorted.
  std::set<std::string> peer_set_;
  /// Peers to greet next.
  std::vector<std::string> ungreeted_;
  /// Peers whose greeting is in progress.
  std::set<std::string> pending_greetings_;
  /// Peers that did not answer their greeting.
  std::vector<std::string> unreached_;
  time_point next_regreeting_{};
  time_point next_exchange_{};
  time_point next_update_{};
  /// Rounds in which updates are still to be sent.
  int due_rounds_ = 0;
  time_point last_received_{};
  time_point next_read_{};
};

}  // namespace nutmegarch::membership
