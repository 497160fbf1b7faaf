#pragma once

#include <array>
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
  /// What may be granted beyond that, as a share of it and as a number of requests. Both must stay below the
  /// users' tolerance: the rest is for grants that are used in the next window, and for a change of the
  /// keeper.
  double extra_share = 0;
  double extra_requests = 0;
  /// How long a granted request may be kept before it is made. Grants are counted for this long beyond the
  /// window.
  duration lease = std::chrono::milliseconds(500);
  /// For one window after the nodes of the fleet have changed, or after a stand-in was first asked, an
  /// allowance that is new here grows from nothing at this share of its rate: its former keeper may just have
  /// granted all of it.
  double takeover_share = 0.8;
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
  /// Number of requests that were granted within the window, and how many may be.
  int total = 0;
  int allowed = 0;
};

/// The allowances that this node keeps for the whole fleet: it counts what it has granted to each
/// organisation within the last window. The load it answers: an organisation that sends a multiple of what it
/// may, at all nodes at once. No I/O; not thread-safe.
class allowance_ledger {
 public:
  explicit allowance_ledger(const allowance_ledger_settings& settings) : settings_(settings) {}

  /// The nodes of the fleet have changed, so that this node may keep other allowances.
  void on_nodes_changed(time_point now) { nodes_changed_ = now; }
  /// This node may be cut off: another one may grant in its place. All allowances start anew afterwards.
  void on_lost_touch(time_point now) {
    accounts_.clear();
    nodes_changed_ = now;
  }
  /// Grants up to `wanted` requests within the organisation's limit, which has a rate above 0. `is_stand_in`:
  /// another node keeps the allowance, and may have granted all of it until now.
  allowance_grant spend(const std::string& organisation, const allowance& limit, bool is_stand_in, int wanted,
                        time_point now);

 private:
  /// Number of parts of the counted time. A part leaves the count as a whole, when its end has left it.
  static constexpr std::size_t part_count = 12;

  /// What was granted to one organisation.
  struct account {
    std::array<int, part_count> granted{};
    /// Number of the part that `granted.at(last_part % part_count)` counts.
    std::int64_t last_part = 0;
    int total = 0;
    /// Since when the account grows, after a change of the keeper.
    time_point grows_since{};
  };

  account& find_or_add(const std::string& organisation, bool is_stand_in, time_point now);
  duration part_length() const;
  /// Drops the parts that have left the counted time.
  void advance(account& counted, time_point now) const;

  allowance_ledger_settings settings_;
  std::unordered_map<std::string, account> accounts_;
  time_point nodes_changed_{};
};

}  // namespace nutmegarch::organisations
