#pragma once

#include <algorithm>
#include <cstdint>

#include "nutmegarch/core/time.h"

namespace nutmegarch::membership {

/// Settings of version_lag.
struct version_lag_settings {
  /// How long a peer may have a newer configuration before this node asks its peers for it. The store usually
  /// brings it sooner, and configurations are large.
  duration patience = std::chrono::milliseconds(1500);
};

/// Decides when to ask peers for a configuration that is newer than the one in force: the store that has come
/// back from a copy may not have it any more. No I/O; not thread-safe.
class version_lag {
 public:
  explicit version_lag(const version_lag_settings& settings) : settings_(settings) {}

  /// A peer has a configuration of this version in force; this node has one of `own` version, 0 for none.
  void on_peer_version(std::uint64_t version, std::uint64_t own, time_point now) {
    if (newest_version_ <= own && version > own) {
      behind_since_ = now;
    }
    newest_version_ = std::max(newest_version_, version);
  }

  /// True if a peer has a newer configuration than `own`.
  bool is_behind(std::uint64_t own) const { return newest_version_ > own; }

  /// True if a peer has had a newer configuration than `own` for so long that the store may not bring it.
  bool is_lasting(std::uint64_t own, time_point now) const {
    return newest_version_ > own && now - behind_since_ >= settings_.patience;
  }

 private:
  version_lag_settings settings_;
  std::uint64_t newest_version_ = 0;
  /// Since when a peer has had a newer version.
  time_point behind_since_{};
};

}  // namespace nutmegarch::membership
