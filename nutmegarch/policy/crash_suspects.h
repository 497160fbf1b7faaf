#pragma once

#include <cstdint>
#include <vector>

#include "nutmegarch/core/time.h"

namespace nutmegarch::policy {

/// Distinguishes calls that were running when the target crashed from calls that only lost their connection,
/// since a target may drop connections and keep running. A lost call is a suspect until a check, which opens
/// a new connection, shows whether the target is reachable. A successful check clears the calls that were
/// lost before it began; a failed one confirms all suspects. No I/O; not thread-safe.
class crash_suspects {
 public:
  /// `capacity`: maximum number of suspects; calls that are lost beyond it are ignored.
  explicit crash_suspects(std::size_t capacity) : capacity_(capacity) {}

  /// Records that the connection of a running call closed before the answer arrived.
  void on_connection_lost(std::uint64_t fingerprint, time_point now);

  /// Returns true when the caller must start a check now; no other one begins until on_check_done().
  bool begin_check(time_point now);

  /// Takes the result of the check: whether the target accepts connections. Returns the fingerprints of the
  /// calls that were running when the target crashed; none when it is reachable. A check must be running.
  std::vector<std::uint64_t> on_check_done(bool is_reachable);

 private:
  struct suspect {
    std::uint64_t fingerprint = 0;
    time_point lost_at{};
  };

  std::size_t capacity_;
  /// By the time of loss, the oldest first.
  std::vector<suspect> suspects_;
  bool is_checking_ = false;
  time_point check_start_{};
};

}  // namespace nutmegarch::policy
