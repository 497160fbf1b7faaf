#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Settings of crash_registry.
struct crash_settings {
  /// Number of crashes after which a request is quarantined.
  int max_crashes = 2;
  /// How long a fingerprint is stored after its last crash.
  duration lifetime = std::chrono::minutes(10);
  /// Maximum number of stored fingerprints; the one whose last crash is oldest is evicted first.
  std::size_t capacity = 1024;
  /// A request that completed within this time is not blamed for a crash, even if it was running when the
  /// target crashed.
  duration success_lifetime = std::chrono::seconds(30);
  /// Maximum number of fingerprints whose last success is stored.
  std::size_t success_capacity = 4096;
  /// How long a crash is sent to peers; long enough for gossip to reach all of them.
  duration gossip_lifetime = std::chrono::seconds(3);
  /// Maximum number of lost calls that wait for the check whether the target has crashed.
  std::size_t suspect_capacity = 256;
  /// Maximum number of marks in one message to a peer.
  std::size_t max_gossip_marks = 64;
};

/// Number of crashes known for a fingerprint, as exchanged between peers.
struct crash_mark {
  std::uint64_t fingerprint = 0;
  int crashes = 0;
};

/// Counts target crashes per request fingerprint and quarantines requests that were running in too many of
/// them. No I/O; not thread-safe.
class crash_registry {
 public:
  explicit crash_registry(const crash_settings& settings) : settings_(settings) {}

  /// Records that a target crashed while it ran the request. Ignored when the request completed recently.
  void on_crash(std::uint64_t fingerprint, time_point now);

  /// Records that a target completed the request, and removes the crashes counted for it.
  void on_success(std::uint64_t fingerprint, time_point now);

  /// Merges the count reported by a peer or in a call's context: the larger count wins. Ignored when the
  /// request completed recently. Returns true when the stored count has changed.
  bool merge(const crash_mark& mark, time_point now);

  /// Number of crashes known for the request.
  int crashes(std::uint64_t fingerprint, time_point now) const;

  /// True when the request must not be run because of its crashes.
  bool is_quarantined(std::uint64_t fingerprint, time_point now) const {
    return crashes(fingerprint, now) >= settings_.max_crashes;
  }

  /// Marks to send to peers: recent crashes and quarantined requests, the most recent first.
  std::vector<crash_mark> gossip_marks(time_point now) const;

 private:
  struct entry {
    int crashes = 0;
    time_point expires{};
    std::list<std::uint64_t>::iterator position;
  };

  /// True when the request completed within `success_lifetime`.
  bool has_succeeded(std::uint64_t fingerprint, time_point now) const;
  void set_crashes(std::uint64_t fingerprint, int crashes, time_point now);
  void erase(std::uint64_t fingerprint);

  crash_settings settings_;
  std::unordered_map<std::uint64_t, entry> entries_;
  /// Fingerprints by the time of their last crash, the oldest first.
  std::list<std::uint64_t> by_crash_time_;
  /// Time of the last success per fingerprint.
  std::unordered_map<std::uint64_t, time_point> last_success_;
};

}  // namespace nutmegarch::policy
