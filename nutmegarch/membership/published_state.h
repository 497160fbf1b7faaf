#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// One entry of the platform's store, or its removal.
struct published_item {
  std::string key;
  std::string value;
  /// Revision of the store at which it was written or removed.
  std::uint64_t revision = 0;
  bool is_removed = false;
};

/// Settings of published_state.
struct published_state_settings {
  /// Entries that expired while the store could not be reached count for this long after its return: live
  /// hosts are back by then.
  duration lapse_grace = std::chrono::seconds(2);
};

/// What this node holds of the platform's store: the newest entry of each key. Entries never step back.
/// No I/O; not thread-safe.
class published_state {
 public:
  explicit published_state(const published_state_settings& settings) : settings_(settings) {}

  /// @name Changes
  /// Each returns true when an entry has changed.
  /// @{

  /// A complete listing that was true at some moment from `revision` on: what it lacks is gone.
  bool replace(const std::vector<published_item>& listing, std::uint64_t revision, time_point now);
  /// Changes in the order of their revisions; all up to `revision` are contained.
  bool apply(const std::vector<published_item>& changes, std::uint64_t revision, time_point now);
  /// A peer's listing; taken when it is newer than what is held.
  bool merge(const std::vector<published_item>& listing, std::uint64_t revision, time_point now);
  /// Drops entries whose grace is over.
  bool on_time(time_point now);
  /// @}

  /// The store answers again after it could not be reached.
  void on_return(time_point now) { grace_until_ = now + settings_.lapse_grace; }

  /// Entries by key, those in their grace included.
  const std::map<std::string, published_item>& items() const { return items_; }
  /// All changes up to this revision of the store are contained; 0 before the first listing.
  std::uint64_t revision() const { return revision_; }

 private:
  bool put(const published_item& item);
  bool remove(const std::string& key, std::uint64_t revision, time_point now);

  published_state_settings settings_;
  std::map<std::string, published_item> items_;
  /// Keys of entries that are removed and still in their grace, with the revision of the removal.
  std::map<std::string, std::uint64_t> lapsed_;
  std::uint64_t revision_ = 0;
  time_point grace_until_{};
};

}  // namespace nutmegarch::membership
