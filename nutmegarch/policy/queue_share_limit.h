#pragma once

#include <algorithm>
#include <cstddef>

namespace nutmegarch::policy {

/// Settings of queue_share_limit.
struct queue_share_limit_settings {
  /// Limit for all queues together, in bytes.
  std::size_t max_bytes = 32U << 20U;
};

/// Decides whether a message may join one of several queues that share a byte budget. A queue may hold as
/// much as all queues leave free, so that one full queue takes half of the budget, and there is room for the
/// others. No I/O.
class queue_share_limit {
 public:
  explicit queue_share_limit(const queue_share_limit_settings& settings) : settings_(settings) {}

  /// True when a message of `message_bytes` may join a queue that holds `queue_bytes`; `total_bytes` is what
  /// all queues hold. An empty queue takes any message that fits, and a message larger than the budget passes
  /// while nothing waits.
  bool may_add(std::size_t queue_bytes, std::size_t total_bytes, std::size_t message_bytes) const {
    const std::size_t free_bytes = settings_.max_bytes - std::min(settings_.max_bytes, total_bytes);
    if (total_bytes == 0) {
      return true;
    }
    if (message_bytes > free_bytes) {
      return false;
    }
    const std::size_t free_after = free_bytes - message_bytes;
    return queue_bytes == 0 || (message_bytes <= free_after && queue_bytes <= free_after - message_bytes);
  }

 private:
  queue_share_limit_settings settings_;
};

}  // namespace nutmegarch::policy
