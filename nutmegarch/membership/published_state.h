#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"
#include "nutmegarch/membership/store_position.h"

namespace nutmegarch::membership {

/// An entry of the platform's store, or the removal of one.
struct published_item {
  std::string key;
  std::string value;
  /// Position of the store that wrote or removed the entry.
  store_position position;
  bool is_removed = false;
};

/// Settings of published_state.
struct published_state_settings {
  /// Entries that expired while the store was unreachable stay valid for this long after it is reachable
  /// again. Live hosts publish themselves again within this time.
  duration lapse_grace = std::chrono::seconds(2);
  /// An entry that is in the copy from which the store came back, but was removed before, is not used for
  /// this long, unless it is written again. By then the store has removed the entry if its host is gone: it
  /// takes three of the hosts' 1.5 s intervals for that.
  duration proof_time = std::chrono::seconds(5);
};

/// Local copy of the platform's store: the newest entry of each key. An entry is never replaced by an older
/// one. When a new era of the store begins, entries that are missing in it stay valid for the grace period,
/// since their hosts may be writing them again. No I/O; not thread-safe.
class published_state {
 public:
  explicit published_state(const published_state_settings& settings) : settings_(settings) {}

  /// @name Changes
  /// Each function returns true when an entry has changed.
  /// @{

  /// Applies a complete listing that was read at `position` or later in its era. Entries that are not in it
  /// are removed. A listing that is older than the copy is ignored.
  bool replace(const std::vector<published_item>& listing, const store_position& position, time_point now);
  /// Applies changes, in the order of their revisions. They must include all changes of the era up to
  /// `position`.
  bool apply(const std::vector<published_item>& changes, const store_position& position, time_point now);
  /// Applies the listing of a peer when it is newer than the copy.
  bool merge(const std::vector<published_item>& listing, const store_position& position, time_point now);
  /// Removes expired entries whose grace period has ended, and admits those that are still listed after
  /// published_state_settings::proof_time.
  bool on_tick(time_point now);
  /// @}

  /// Call when the store answers again after it was unreachable. Starts the grace period.
  void on_store_recovered(time_point now) { grace_end_ = now + settings_.lapse_grace; }

  /// Entries by key, including expired entries in their grace period.
  const std::map<std::string, published_item>& items() const { return items_; }
  /// The copy includes all changes of the era up to this position; not known before the first listing.
  const store_position& position() const { return position_; }
  /// Number of entries that are listed and not used yet.
  std::size_t unproven() const { return unproven_.size(); }

 private:
  /// An entry that was removed before the store came back from a copy that has it.
  struct unproven_item {
    published_item item;
    time_point proof_end;
  };

  bool put(const published_item& item);
  bool remove(const std::string& key, const store_position& position, time_point now);

  published_state_settings settings_;
  std::map<std::string, published_item> items_;
  /// Keys of removed entries that are in their grace period, with the position of the removal.
  std::map<std::string, store_position> expired_;
  std::map<std::string, unproven_item> unproven_;
  store_position position_;
  time_point grace_end_{};
};

}  // namespace nutmegarch::membership
