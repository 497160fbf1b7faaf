#pragma once

#include <cstdint>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Tells calls that crashed the target from calls whose connection alone was lost. A lost call is a suspect
/// until a check, which opens a new connection, finds the target there or gone. One check answers for all
/// calls that were lost before it began. Answers the load of targets that lose some answers and go on
/// running. No I/O; not thread-safe.
class crash_suspects {
 public:
  /// Most suspects that are held; further lost calls are not blamed.
  explicit crash_suspects(std::size_t capacity) : capacity_(capacity) {}

  /// The connection of a running call ended without an answer.
  void on_lost(std::uint64_t fingerprint, time_point now);

  /// True when a check is to begin now; it counts as begun.
  bool begin_check(time_point now);

  /// The check has found out whether the target accepts connections. Returns the fingerprints of calls that
  /// were running when it crashed.
  std::vector<std::uint64_t> on_checked(bool is_reachable);

 private:
  struct suspect {
    std::uint64_t fingerprint = 0;
    time_point lost{};
  };

  std::size_t capacity_;
  /// In the order of their loss.
  std::vector<suspect> suspects_;
  bool is_checking_ = false;
  time_point check_began_{};
};

}  // namespace nutmegarch::policy
