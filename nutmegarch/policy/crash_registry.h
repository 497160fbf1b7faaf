#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Settings of crash_registry.
struct crash_settings {
  /// Targets that may crash before a fingerprint is refused.
  int most_crashes = 2;
  /// How long a fingerprint is remembered after its last crash.
  duration lifetime = std::chrono::minutes(10);
  /// Most fingerprints that are remembered; the oldest goes first.
  std::size_t capacity = 1024;
  /// A request that ran to its end this recently did not crash the target, though it ran when the target
  /// crashed.
  duration success_lifetime = std::chrono::seconds(30);
  /// Most fingerprints whose success is remembered.
  std::size_t success_capacity = 4096;
  /// Peers are told of a crash for this long: by then all have heard of it.
  duration news_lifetime = std::chrono::seconds(3);
  /// Most lost calls of one target that wait for the check whether it has crashed.
  std::size_t suspect_capacity = 256;
  /// Most marks in one message to a peer.
  std::size_t most_news = 64;
};

/// One fingerprint with its crashes, as peers tell each other.
struct crash_mark {
  std::uint64_t fingerprint = 0;
  int crashes = 0;
};

/// Requests that were running when a target crashed. No I/O; not thread-safe.
class crash_registry {
 public:
  explicit crash_registry(const crash_settings& settings) : settings_(settings) {}

  /// A target crashed while it ran the request.
  void on_crash(std::uint64_t fingerprint, time_point now);

  /// A target ran the request to its end: it is not what crashes targets.
  void on_success(std::uint64_t fingerprint, time_point now);

  /// Takes over what a peer or a call's context tells; the larger count stands. True when that was news.
  bool merge(const crash_mark& mark, time_point now);

  /// Crashes known for the request.
  int crashes(std::uint64_t fingerprint, time_point now) const;

  /// True when the request must not run any more.
  bool refused(std::uint64_t fingerprint, time_point now) const {
    return crashes(fingerprint, now) >= settings_.most_crashes;
  }

  /// What peers are to be told: recent crashes, and requests that must not run any more, the newest first.
  std::vector<crash_mark> news(time_point now) const;

 private:
  struct entry {
    int crashes = 0;
    time_point expires{};
    std::list<std::uint64_t>::iterator place;
  };

  /// The request ran to its end a short while ago.
  bool has_succeeded(std::uint64_t fingerprint, time_point now) const;
  void set(std::uint64_t fingerprint, int crashes, time_point now);
  void erase(std::uint64_t fingerprint);

  crash_settings settings_;
  std::unordered_map<std::uint64_t, entry> entries_;
  /// Fingerprints, the one with the oldest crash first.
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, time_point> succeeded_;
};

}  // namespace nutmegarch::policy
