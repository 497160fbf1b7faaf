#pragma once

#include <set>
#include <string>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of gossip_schedule.
struct gossip_settings {
  /// Time between two exchanges with a random peer.
  duration interval = std::chrono::milliseconds(500);
  /// Peers that are told of news at once.
  int fan_out = 3;
  /// Shortest time between two rounds of news. What comes up meanwhile is told with the next one, so that a
  /// burst of news costs no burst of messages.
  duration news_interval = std::chrono::milliseconds(100);
  /// Nothing heard of peers or the configuration service for this long: read it.
  duration silence = std::chrono::seconds(15);
  /// Shortest time between two reads that nobody asked for.
  duration least_read_interval = std::chrono::seconds(10);
  /// Peers that are new in the list and are greeted at once.
  std::size_t most_greetings = 8;
  /// Time between two exchanges with peers whose incarnation is not known yet.
  duration greeting_interval = std::chrono::milliseconds(40);
  /// Addresses of peers that are known before any host list is read.
  std::vector<std::string> seeds;
};

/// Decides when a node exchanges with which peers, and when it reads the configuration by itself.
/// No I/O; not thread-safe.
class gossip_schedule {
 public:
  gossip_schedule(const gossip_settings& settings, random_source& random)
      : settings_(settings), random_(random) {}

  /// Replaces the peers, by address.
  void set_peers(std::vector<std::string> peers);
  const std::vector<std::string>& peers() const { return peers_; }

  /// Peers to exchange with now; empty when it is not yet time.
  std::vector<std::string> due(time_point now);

  /// Peers that have not been in the list before, to exchange with now: all of them learn soon that this node
  /// is there. A few at a time; one that was not reached is named again after the greeting interval.
  std::vector<std::string> due_for_greeting(time_point now);

  /// An exchange with the peer has ended; `is_reached`: it has answered.
  void on_exchanged(const std::string& address, bool is_reached);

  /// There is something to tell peers.
  void on_news() { has_news_ = true; }

  /// Peers to tell of the news now: `fan_out` random ones; empty without news, and soon after the last.
  std::vector<std::string> due_for_news(time_point now);

  /// `fan_out` random peers.
  std::vector<std::string> pick_peers();

  /// Something new enough was heard from a peer or from the configuration service.
  void on_heard(time_point now) { heard_ = now; }

  /// True when the node is to read the configuration by itself now. Jittered, and rate-capped by itself.
  bool should_read(time_point now);

 private:
  gossip_settings settings_;
  random_source& random_;
  std::vector<std::string> peers_;
  /// The peers again, and those of them that are to be greeted.
  std::set<std::string> known_;
  std::vector<std::string> unmet_;
  /// Peers whose greeting is under way, and those that were not reached.
  std::set<std::string> greeted_;
  std::vector<std::string> missed_;
  time_point next_repeat_{};
  time_point next_exchange_{};
  time_point next_news_{};
  bool has_news_ = false;
  time_point heard_{};
  time_point next_read_{};
};

}  // namespace nutmegarch::membership
