#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace nutmegarch::policy {

/// Counts the bytes that all edges of a process hold for others, so that their budgets do not exceed its
/// memory together: callers' requests and answers, peers' messages, and requests and answers of the target.
/// Thread-safe.
class memory_account {
 public:
  /// `max_bytes`: what may be held in total.
  explicit memory_account(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  void add(std::size_t bytes) { held_ += bytes; }
  void remove(std::size_t bytes) { held_ -= bytes; }
  /// What is held now, in bytes.
  std::size_t held() const { return held_; }
  /// Bytes that an edge may hold which holds `own` of them now.
  std::size_t room_for(std::size_t own) const {
    const std::size_t others = held_ - std::min(held_.load(), own);
    return max_bytes_ - std::min(max_bytes_, others);
  }

 private:
  const std::size_t max_bytes_;
  std::atomic<std::size_t> held_{0};
};

}  // namespace nutmegarch::policy
