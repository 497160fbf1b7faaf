#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of document_requests.
struct document_requests_settings {
  /// Another peer is asked when one has not answered for this long.
  duration answer_patience = std::chrono::seconds(2);
  /// Pause after a request to a peer that has a newer configuration. It doubles with each one in a row that
  /// did not bring it, up to `longest_pause`.
  duration pause = std::chrono::milliseconds(200);
  duration longest_pause = std::chrono::seconds(4);
  /// Time between two requests while the store does not answer this node and no peer is known to have
  /// anything newer.
  duration interval = std::chrono::milliseconds(500);
  /// Longest additional wait, drawn at random, before a peer of another region is asked for a configuration:
  /// the first node that has it can serve its whole region.
  duration crossing_jitter = std::chrono::milliseconds(500);
  /// One of so many requests without a known holder goes to another region.
  int far_share = 4;
};

/// A peer that can be asked for documents.
struct document_peer {
  std::string host;
  /// IP and port for peers.
  std::string address;
  /// In the same region.
  bool is_near = false;
};

/// What a node lacks.
struct document_need {
  /// Version of the configuration in force; 0 for none.
  std::uint64_t own_version = 0;
  /// Peers have had a newer one for so long that another region may be asked.
  bool is_lag_lasting = false;
  /// The store does not answer, so that peers may have any document that this node lacks.
  bool is_store_away = false;
};

/// Decides which peer to ask for documents, and when. The load it answers: all nodes of a region that lack
/// the same large document, on a path that is full. One request is in progress at a time, to a peer of the
/// own region if one of them may have the document. No I/O; not thread-safe.
class document_requests {
 public:
  document_requests(const document_requests_settings& settings, random_source& random)
      : settings_(settings), random_(random) {}

  /// Replaces the peers.
  void set_peers(const std::vector<document_peer>& peers);
  /// The peer on this host has a configuration of this version in force.
  void on_peer_version(const std::string& host, std::uint64_t version);

  /// Address of the peer to ask now; empty for none. The request is in progress until on_ended().
  std::string next(const document_need& need, time_point now);
  /// The request to this address has ended, with or without an answer.
  void on_ended(const std::string& address, time_point now);

 private:
  struct known_peer {
    std::string address;
    bool is_near = false;
    std::uint64_t version = 0;
  };

  /// A random peer that has at least this version and may be asked now; empty if there is none.
  std::string pick_holder(std::uint64_t version, time_point now);
  /// A random peer, near or not, that has at least this version; empty if there is none.
  std::string pick(bool is_near, std::uint64_t version);

  document_requests_settings settings_;
  random_source& random_;
  std::map<std::string, known_peer> peers_by_host_;
  /// Peer of the request in progress; empty if there is none.
  std::string asked_;
  time_point asked_at_{};
  /// The request went to a peer that is known to have a newer configuration.
  bool has_asked_holder_ = false;
  /// When such a peer may be asked again, and when any peer while the store is away.
  time_point next_request_{};
  time_point next_inquiry_{};
  /// When another region may be asked for a configuration that peers have had for long.
  time_point crossing_{};
  bool is_lag_lasting_ = false;
  /// Version in force, and requests to holders of newer ones since it has changed.
  std::uint64_t own_version_ = 0;
  int vain_requests_ = 0;
};

}  // namespace nutmegarch::membership
