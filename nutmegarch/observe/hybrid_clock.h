#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace nutmegarch::observe {

/// Hybrid logical clock: 48 bits of milliseconds since 1970 and 16 bits that count within one. A stamp that
/// was merged in is always before the next stamp, so that cause comes before effect over all nodes. Only for
/// the time line; no decision depends on it. Any thread may call it.
class hybrid_clock {
 public:
  /// The next stamp.
  std::uint64_t next() { return advance(0); }

  /// A stamp of another node was seen.
  void merge(std::uint64_t stamp) { advance(stamp); }

  /// The time that a stamp shows.
  static std::chrono::system_clock::time_point time_of(std::uint64_t stamp) {
    return std::chrono::system_clock::time_point(std::chrono::milliseconds(stamp >> counter_bits));
  }

 private:
  static constexpr unsigned counter_bits = 16;
  /// A stamp that is further ahead than this comes from a wrong clock and is not followed.
  static constexpr std::uint64_t most_ahead_ms = 60'000;

  std::uint64_t advance(std::uint64_t seen) {
    const std::chrono::milliseconds wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::uint64_t wall_stamp = static_cast<std::uint64_t>(wall.count()) << counter_bits;
    if (seen > wall_stamp + (most_ahead_ms << counter_bits)) {
      seen = 0;
    }
    std::uint64_t last = last_.load();
    std::uint64_t next = 0;
    do {
      next = last + 1;
      next = next > wall_stamp ? next : wall_stamp;
      next = next > seen ? next : seen + 1;
    } while (!last_.compare_exchange_weak(last, next));
    return next;
  }

  std::atomic<std::uint64_t> last_{0};
};

}  // namespace nutmegarch::observe
