#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "nutmegarch/core/time.h"

namespace nutmegarch::organisations {

/// Settings of allowance_cache.
struct allowance_cache_settings {
  /// How long a granted request may be kept before it is made, from when it was asked for. What is granted in
  /// one window may be used in the next one, so this is bought with the slack of the allowance.
  duration lease = std::chrono::milliseconds(500);
  /// Share of the requests that are expected within a lease that is asked for at once.
  double ahead_share = 0.8;
  /// Weight of the newest interval in the expected rate.
  double rate_weight = 0.5;
};

/// What to do with a request of an organisation that has an allowance.
enum class allowance_verdict : std::uint8_t {
  /// It may be made: a part of the allowance was spent on it.
  granted,
  /// It has to wait until the keeper has been asked.
  waiting,
  /// The allowance is used up.
  refused
};

/// The parts of allowances that a node has been granted and not used yet. A few requests are asked for ahead
/// of an organisation that makes many of them; one that makes few is asked for as they come. No I/O; not
/// thread-safe.
class allowance_cache {
 public:
  explicit allowance_cache(const allowance_cache_settings& settings) : settings_(settings) {}

  /// A request of the organisation has arrived.
  allowance_verdict on_request(const std::string& organisation, time_point now);
  /// Number of requests to ask the keeper for now, while `waiting` of them wait; 0 if none, or if a question
  /// is open already. Otherwise a question counts as open until one of the next three functions.
  int next_question(const std::string& organisation, int waiting, time_point now);
  /// The keeper, asked at `asked`, has granted `granted` requests. If those were fewer than wait, the
  /// allowance counts as used up for `retry_after`; if they were fewer than asked for, none are asked for
  /// ahead for that time.
  void on_answer(const std::string& organisation, int granted, duration retry_after, time_point asked,
                 time_point now);
  /// The keeper could not be asked.
  void on_no_answer(const std::string& organisation);
  /// Takes one granted request for one that has waited; false if there is none.
  bool take(const std::string& organisation, time_point now);
  /// A request that was granted has not run. `granted_until` is what expiry() was then.
  void give_back(const std::string& organisation, time_point granted_until, time_point now);
  /// When the part that was last taken or granted by on_request() expires.
  time_point expiry(const std::string& organisation) const;

 private:
  /// Requests that were granted together and not made yet.
  struct batch {
    int count = 0;
    time_point expiry{};
  };

  struct entry {
    /// The next to expire comes first.
    std::deque<batch> granted;
    time_point taken_expiry{};
    bool is_question_open = false;
    /// Number of requests that waited when the question was asked.
    int waiting = 0;
    /// Until then the allowance is used up.
    time_point refused_until{};
    /// Until then no requests are asked for ahead.
    time_point no_ahead_until{};
    /// Requests since `counted_from`, and their expected number per second.
    int arrivals = 0;
    time_point counted_from{};
    double rate = 0;
  };

  void count_arrival(entry& counted, time_point now) const;
  /// Number of granted requests, after dropping those that have expired.
  static int count_held(entry& counted, time_point now);
  static void add(entry& to, const batch& added);
  /// Drops entries that have not been used for long.
  void prune(time_point now);

  allowance_cache_settings settings_;
  std::unordered_map<std::string, entry> entries_;
};

}  // namespace nutmegarch::organisations
