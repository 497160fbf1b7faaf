#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "nutmegarch/core/time.h"
#include "nutmegarch/organisations/organisation.h"

namespace nutmegarch::organisations {

/// Settings of allowance_ledger.
struct allowance_ledger_settings {
  /// The allowance holds over any window of this length: its rate times the window, and the burst.
  duration window = std::chrono::seconds(5);
  /// What all keepers together may grant in a window beyond that, as a share of it and as a number of
  /// requests. Both must stay below the users' tolerance: the rest is for changes of the keeper.
  double extra_share = 0;
  double extra_requests = 0;
  /// Part of the rate by which accounts fill faster, so that requests at the rate that come unevenly don't
  /// run into an empty account. It is taken from the extra.
  double extra_rate_share = 0.05;
  /// How long a granted request may be kept before it is made.
  duration lease = std::chrono::milliseconds(500);
  /// What a node that begins to keep an allowance may grant at once, as a share of the extra. Each change of
  /// the keeper costs this much of the tolerance.
  double first_credit_share = 0.25;
  /// Longest time between two ticks of a node that runs: after it, the other nodes have left the keeper.
  duration max_tick_gap = std::chrono::milliseconds(250);
  /// Shortest and longest time after which a node is told to ask again.
  duration min_retry = std::chrono::milliseconds(100);
  duration max_retry = std::chrono::seconds(1);
};

/// What a keeper grants.
struct allowance_grant {
  /// Number of requests that may be made.
  int granted = 0;
  /// Time after which it makes sense to ask again, if fewer were granted than asked for.
  duration retry_after{};
  /// Number of requests that could be granted now if there were more questions, and how many at most.
  int available = 0;
  int capacity = 0;
};

/// In which place a node keeps an allowance.
struct keeper_place {
  /// Another node is the first keeper, and does not grant now.
  bool is_stand_in = false;
  /// Since when no other node grants, as far as this one knows.
  time_point alone_since{};
};

/// The allowances that this node keeps for the whole fleet. Each has an account that fills at the rate of the
/// allowance and is spent by grants (token bucket). The account of a new keeper begins almost empty, so that
/// all keepers together never grant more than the rate allows since any moment and one full account, however
/// often the keeper changes and whatever is lost with it. The load it answers: an organisation that sends a
/// multiple of what it may, at all nodes at once, while keepers are stopped, killed or paused. No I/O; not
/// thread-safe.
class allowance_ledger {
 public:
  explicit allowance_ledger(const allowance_ledger_settings& settings) : settings_(settings) {}

  /// Must be called periodically. Accounts grow only while it is, since another node grants in the place of
  /// one that stands still.
  void on_tick(time_point now);
  /// True if this node stands still, or has stood still a short time ago: questions that have waited for it
  /// meanwhile have been given up, and what is granted to them is lost.
  bool has_stood_still(time_point now) const { return now < resumes_ || is_in_gap(now); }
  /// This node may be cut off: another one may grant in its place. All accounts start anew afterwards.
  void on_lost_touch() { accounts_.clear(); }
  /// Grants up to `wanted` requests within the organisation's limit, which has a rate above 0.
  allowance_grant spend(const std::string& organisation, const allowance& limit, const keeper_place& place,
                        int wanted, time_point now);
  /// Number of requests that may be granted at once from a full account.
  double capacity_of(const allowance& limit) const;

 private:
  /// What may be granted of one allowance.
  struct account {
    double available = 0;
    /// When `available` was computed, on the clock of running_time().
    duration updated{};
    time_point last_used{};
    /// When it was last opened with a credit.
    time_point credited{};
    bool is_stand_in = false;
    bool is_open = false;
  };

  /// Requests a second by which the account fills.
  double fill_rate_of(const allowance& limit) const { return limit.rate * (1 + settings_.extra_rate_share); }
  /// What may be granted in a window beyond the allowance.
  double extra_of(const allowance& limit) const;
  account& find_or_add(const std::string& organisation, time_point now);
  /// Opens an account of which other keepers may have granted a part until `place.alone_since`.
  void open(account& opened, const allowance& limit, const keeper_place& place, time_point now);
  /// True if the last tick is too long ago.
  bool is_in_gap(time_point now) const {
    return last_tick_ != time_point{} && now - last_tick_ > settings_.max_tick_gap;
  }
  /// Time for which this node has been running, without the time for which has_stood_still() holds.
  duration running_time(time_point now) const;

  allowance_ledger_settings settings_;
  std::unordered_map<std::string, account> accounts_;
  duration running_{};
  time_point last_tick_{};
  /// End of the time in which has_stood_still() holds after a gap.
  time_point resumes_{};
};

}  // namespace nutmegarch::organisations
