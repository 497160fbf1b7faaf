#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// An entry of the platform's store, or the removal of one.
struct published_item {
  std::string key;
  std::string value;
  /// Revision of the store that wrote or removed the entry.
  std::uint64_t revision = 0;
  bool is_removed = false;
};

/// Settings of published_state.
struct published_state_settings {
  /// Entries that expired while the store was unreachable stay valid for this long after it is reachable
  /// again. Live hosts publish themselves again within this time.
  duration lapse_grace = std::chrono::seconds(2);
};

/// Local copy of the platform's store: the newest entry of each key. An entry is never replaced by an older
/// one. No I/O; not thread-safe.
class published_state {
 public:
  explicit published_state(const published_state_settings& settings) : settings_(settings) {}

  /// @name Changes
  /// Each function returns true when an entry has changed.
  /// @{

  /// Applies a complete listing that was read at `revision` or later. Entries that are not in it are removed.
  /// A listing that is older than the copy is ignored.
  bool replace(const std::vector<published_item>& listing, std::uint64_t revision, time_point now);
  /// Applies changes, in the order of their revisions. They must include all changes up to `revision`.
  bool apply(const std::vector<published_item>& changes, std::uint64_t revision, time_point now);
  /// Applies the listing of a peer when it is newer than the copy.
  bool merge(const std::vector<published_item>& listing, std::uint64_t revision, time_point now);
  /// Removes expired entries whose grace period has ended.
  bool on_tick(time_point now);
  /// @}

  /// Call when the store answers again after it was unreachable. Starts the grace period.
  void on_store_recovered(time_point now) { grace_end_ = now + settings_.lapse_grace; }

  /// Entries by key, including expired entries in their grace period.
  const std::map<std::string, published_item>& items() const { return items_; }
  /// The copy includes all changes up to this revision of the store; 0 before the first listing.
  std::uint64_t revision() const { return revision_; }

 private:
  bool put(const published_item& item);
  bool remove(const std::string& key, std::uint64_t revision, time_point now);

  published_state_settings settings_;
  std::map<std::string, published_item> items_;
  /// Keys of removed entries that are in their grace period, with the revision of the removal.
  std::map<std::string, std::uint64_t> expired_;
  std::uint64_t revision_ = 0;
  time_point grace_end_{};
};

}  // namespace nutmegarch::membership
