#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/membership/published_state.h"

namespace nutmegarch::membership {

/// A request of a reader to the platform's store.
struct store_request {
  enum class kind : std::uint8_t {
    /// No request is due.
    none,
    /// Reads one page of the listing, starting with the first key after `after_key`.
    read_page,
    /// Waits for changes after `position`. The store answers when there is one, or after `wait`.
    watch
  };
  /// Which entries to read.
  enum class subject : std::uint8_t { all, targets, configuration };

  kind what = kind::none;
  subject about = subject::all;
  /// Unique among the requests of a reader, so that the answer to an abandoned request is not taken for the
  /// answer to another one.
  std::uint64_t request_id = 0;
  std::string after_key;
  store_position position;
  duration wait{};
  /// Allows the store to return a page that is some seconds old, which costs it less.
  bool may_be_stale = false;
};

/// Settings of published_reader.
struct published_reader_settings {
  /// Longest time that the store waits for changes before it answers a watch.
  duration watch = std::chrono::seconds(30);
  /// Time between two ends of watches in a fleet without changes. When the store's answers to all nodes are
  /// lost, the node whose watch ends next notices it, and its peers learn of changes from it. A watch takes
  /// this times the number of nodes, at most `watch`; the first one after a change ends at the node's place
  /// in the fleet.
  duration watch_per_node = std::chrono::milliseconds(500);
  /// A watch that has no answer this long after its end is abandoned. A store under faults, about 50 times
  /// slower than usual, still answers within this time.
  duration answer_patience = std::chrono::milliseconds(500);
  /// The same for a watch that confirms a listing that may be stale, or that tells whether the store is
  /// reachable again.
  duration confirming_watch = std::chrono::milliseconds(100);
  /// Pause between the end of a watch with changes and the next watch, so that one answer returns all changes
  /// of a burst. It applies to a fleet of `gather_fleet_size` nodes and grows with the square root of the
  /// fleet's size, so that the calls of all nodes grow more slowly than the fleet. It is at most
  /// `max_gather`, because changes must be in force within 2.5 s.
  duration gather = std::chrono::milliseconds(250);
  int gather_fleet_size = 16;
  duration max_gather = std::chrono::seconds(1);
  /// Pause after the first failure. It doubles with each further one up to `longest_pause`, and is jittered.
  duration first_pause = std::chrono::milliseconds(500);
  duration longest_pause = std::chrono::seconds(4);
  /// Entries of targets that live can expire while the store is away for this long: the entry of one that was
  /// about to write expires two of its 1.5 s intervals later. A shorter absence starts no grace period.
  duration shortest_lapse = std::chrono::seconds(3);
  /// A watch that has not returned a change which a peer has learned from the store is abandoned after this
  /// time. It is longer than a slow store takes for an answer, and leaves room for the exchange with the peer
  /// within the 2.5 s after which changes must be in force.
  duration silence_patience = std::chrono::milliseconds(600);
  /// How long a node tells its peers of each change after it has found its connection to the store dead:
  /// those of its peers may be dead as well.
  duration suspicion = std::chrono::seconds(10);
  /// How long a peer's notice of a change is passed on.
  duration notice_lifetime = std::chrono::seconds(3);
};

/// Decides which request to send to the platform's store, and when. It reads a listing page by page, then
/// watches for changes, and reads a new listing when the store has lost the history of changes. A first
/// listing that failed is read again as one that may be stale, and confirmed by a short watch. At most one
/// request is in progress at a time. No I/O; not thread-safe.
class published_reader {
 public:
  published_reader(const published_reader_settings& settings, published_state& state, random_source& random)
      : settings_(settings), state_(state), random_(random) {}

  /// Sets the number of nodes that read the store directly, including this one. This node's place among them
  /// is then drawn anew for each watch.
  void set_fleet_size(std::size_t nodes) { set_fleet(nodes, std::nullopt); }
  /// The same with this node's place in an order of the nodes that all of them know, counted from 0.
  void set_fleet(std::size_t nodes, std::optional<std::size_t> place) {
    fleet_size_ = std::max<std::size_t>(1, nodes);
    place_ = place;
  }

  /// Whether this node reads configurations itself, or only the entries of targets. `configuration`: position
  /// of the newest configuration that it has, from where it begins to read them. Returns true if the request
  /// in progress was abandoned for it.
  bool set_reads_configuration(bool reads, const store_position& configuration);
  bool reads_configuration() const { return reads_configuration_; }

  /// The request to send now. It is in progress until one of the events below.
  store_request next(time_point now);

  /// @name Events
  /// on_page() and on_changes() return true when an entry has changed.
  /// @{
  /// A page of the listing was received, which neither starts_era() nor is_outdated(). The next page begins
  /// after `next_key`, which is empty after the last page.
  bool on_page(const std::vector<published_item>& items, const std::string& next_key,
               const store_position& position, time_point now);
  /// A watch has ended, with or without changes that neither start an era nor are outdated, at `position` of
  /// the store.
  bool on_changes(const std::vector<published_item>& changes, const store_position& position, time_point now);
  /// The store no longer has the changes after the requested position, or the answer starts_era(): the
  /// listing is read anew.
  void on_history_lost(time_point now);
  /// The store did not answer or refused the request.
  void on_failure(time_point now);
  /// The connection of the request in progress ended before an answer. It may have been dead for some time,
  /// so the request is repeated almost at once, unless the one before it was abandoned as well.
  void on_connection_lost(time_point now);
  /// A peer has learned from the store of a change at this position. A reader that pauses after failures asks
  /// the store soon, since a peer can read it again.
  void on_peer_change(const store_position& position, time_point now);
  /// A peer has sent a notice() of this position. Returns true if it has to be passed on: each node does so
  /// once, and not for a change that it has or that the store has denied.
  bool on_notice(const store_position& position, time_point now);
  /// The request in progress is abandoned because is_silent() or is_overdue() is true. The next one is due at
  /// once.
  void on_silence(time_point now);
  /// A part of the answer to the request in progress has arrived at `last`, which is no silence.
  void on_progress(time_point last) { last_progress_ = std::max(last_progress_, last); }
  /// The process was suspended. The request in progress is abandoned, and the next one is due at once.
  void on_pause();
  /// @}

  /// True if an answer read at this position belongs to a newer era than the listing in progress or the
  /// watch. It must not be joined with what was read before: call on_history_lost().
  bool starts_era(const store_position& position) const;
  /// True if an answer read at this position belongs to an older era than an earlier one or than the copy,
  /// which peers may have told of it, or names none: it is late or stale, and counts as a failure.
  bool is_outdated(const store_position& position) const {
    return position.era < std::max(newest_era_, state_.position().era);
  }
  /// True when the store's last answer was not stale and no failure, loss of history or pause came after it.
  bool is_current() const { return is_current_; }
  /// True when the request is the one in progress.
  bool is_open(const store_request& request) const {
    return is_open_ && request.request_id == last_request_id_;
  }
  /// True when the watch in progress should have returned a change that a peer knows. Its connection is dead
  /// then, and must not be used again. The watch after an abandoned one is never silent: the store may be
  /// slow, and a late answer is better than none.
  bool is_silent(time_point now) const;
  /// True when the watch in progress should have ended by itself. The same holds for its connection and for
  /// the watch after it.
  bool is_overdue(time_point now) const;
  /// Position of the newest change that a peer has learned from the store.
  const store_position& peer_position() const { return peer_position_; }
  /// Position of the newest change that peers must be told of at once, since they may wait for it on dead
  /// connections; not known if there is none. For some time after this node has found its own connection
  /// dead, or the store unreachable, that is the newest change that the store has told it of; else a notice
  /// of a peer.
  store_position notice(time_point now) const {
    return now < notice_end_ ? notice_position_ : store_position();
  }
  /// When the request in progress was sent.
  time_point sent() const { return sent_; }
  /// This node has read all changes up to this position itself; not known before the first listing.
  const store_position& watched_position() const { return watched_position_; }
  /// Number of consecutive failures.
  int failures() const { return failures_; }

 private:
  void on_answer(time_point now);
  /// Keeps a notice of the change, until `end`. Returns true if it is newer than the notice before.
  bool set_notice(const store_position& position, time_point end);
  duration gather() const;
  /// Random pause before a request that all nodes of the fleet may repeat at the same moment.
  duration repeat_pause();
  /// How long the next watch waits.
  duration choose_watch();
  void restart_listing(bool may_be_stale);

  published_reader_settings settings_;
  published_state& state_;
  random_source& random_;
  bool is_open_ = false;
  std::uint64_t last_request_id_ = 0;
  bool is_listing_ = true;
  /// The first listing is stale only if the store did not answer another one: its age is not known, and a
  /// node that has just started must not act on an old one.
  bool may_be_stale_ = false;
  bool has_listed_ = false;
  bool is_current_ = false;
  /// Items of the pages received so far, and the lowest and highest positions at which a page was read.
  std::vector<published_item> listing_;
  store_position listing_position_;
  store_position newest_page_position_;
  std::string after_key_;
  /// Position after which the next watch returns changes.
  store_position watched_position_;
  time_point next_request_time_{};
  time_point sent_{};
  time_point last_progress_{};
  bool reads_configuration_ = true;
  /// Newest era of an answer.
  std::uint64_t newest_era_ = 0;
  store_position peer_position_;
  /// Since when a peer has known a change that this node has not.
  time_point behind_since_{};
  /// Newest position that a peer has named and that the store did not have.
  store_position denied_position_;
  store_position notice_position_;
  time_point notice_end_{};
  /// Until when this node tells its peers of all changes.
  time_point suspicion_end_{};
  /// True when the request before was abandoned as silent, or its connection was lost.
  bool was_silent_ = false;
  std::size_t fleet_size_ = 1;
  std::optional<std::size_t> place_;
  /// How long the store waits before it answers the watch in progress without changes.
  duration watch_length_{};
  /// True when the last watch ended by itself. The next one then takes as long as all nodes together need.
  bool has_watch_ended_ = false;
  int failures_ = 0;
  /// When the first of the consecutive failed requests was sent.
  time_point failing_since_{};
};

}  // namespace nutmegarch::membership
