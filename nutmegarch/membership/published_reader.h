#pragma once

#include <string>
#include <vector>

#include "nutmegarch/core/random.h"
#include "nutmegarch/membership/published_state.h"

namespace nutmegarch::membership {

/// What a reader asks of the platform's store next.
struct store_request {
  enum class kind : std::uint8_t {
    /// Nothing for now.
    none,
    /// One page of the listing, from the key after `after_key` on.
    read_page,
    /// Changes after `revision`; the store answers when there is one, or after `wait`.
    watch
  };

  kind what = kind::none;
  /// Tells the requests of one reader apart; the answer to a given-up request must not be taken for
  /// another's.
  std::uint64_t number = 0;
  std::string after_key;
  std::uint64_t revision = 0;
  duration wait{};
  /// The page may be some seconds old. It costs the store less.
  bool may_be_stale = false;
};

/// Settings of published_reader.
struct published_reader_settings {
  /// How long a watch waits for changes.
  duration watch = std::chrono::seconds(30);
  /// Pause between the end of a watch with changes and the next one, so that changes that come together are
  /// fetched together. It holds for a fleet of `gather_nodes`, and grows with the square root of the fleet's
  /// size, so that the calls of all grow more slowly than the fleet; at most `longest_gather`, since changes
  /// are to be in force within 2.5 s.
  duration gather = std::chrono::milliseconds(250);
  int gather_nodes = 16;
  duration longest_gather = std::chrono::seconds(1);
  /// Pause after a failure; doubled with each further one, and jittered.
  duration first_pause = std::chrono::milliseconds(500);
  duration longest_pause = std::chrono::seconds(4);
};

/// Decides what to ask of the platform's store, and when: a listing page by page, then one watch after the
/// other, a new listing when the history is lost. At most one request is open. No I/O; not thread-safe.
class published_reader {
 public:
  published_reader(const published_reader_settings& settings, published_state& state, random_source& random)
      : settings_(settings), state_(state), random_(random) {}

  /// Nodes that read the store by themselves, this one included.
  void set_fleet_size(std::size_t nodes) { fleet_size_ = nodes; }

  /// What to ask now. The request counts as open until one of the events below.
  store_request next(time_point now);

  /// @name Events
  /// The first two return true when an entry has changed.
  /// @{
  /// `next_key` is where the next page begins; empty after the last page.
  bool on_page(const std::vector<published_item>& items, const std::string& next_key, std::uint64_t revision,
               time_point now);
  bool on_changes(const std::vector<published_item>& changes, std::uint64_t revision, time_point now);
  /// The store no longer has the changes after the revision that was asked for.
  void on_history_lost(time_point now);
  /// No answer came, or the store refused.
  void on_failure(time_point now);
  /// The process stood still: the open request is given up, and the next one goes out at once.
  void on_pause();
  /// @}

  /// The request is the one that is open.
  bool is_open(const store_request& request) const { return is_open_ && request.number == last_number_; }
  /// Failures in a row.
  int failures() const { return failures_; }

 private:
  void on_answer(time_point now);
  duration gather() const;
  void restart(bool may_be_stale);

  published_reader_settings settings_;
  published_state& state_;
  random_source& random_;
  bool is_open_ = false;
  std::uint64_t last_number_ = 0;
  bool is_listing_ = true;
  bool may_be_stale_ = true;
  /// Pages that have come so far, and the least revision at which one of them was read.
  std::vector<published_item> listing_;
  std::uint64_t listing_revision_ = 0;
  std::string after_key_;
  /// Changes are watched from here on.
  std::uint64_t watched_revision_ = 0;
  time_point not_before_{};
  std::size_t fleet_size_ = 1;
  int failures_ = 0;
};

}  // namespace nutmegarch::membership
