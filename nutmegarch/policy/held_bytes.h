#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace nutmegarch::policy {

/// Settings of held_bytes.
struct held_bytes_settings {
  /// Most bytes that unfinished messages hold together.
  std::size_t most_bytes = 24U << 20U;
  /// Bytes that each message may hold uncounted; larger holdings count in steps of this size.
  std::size_t step_bytes = 16U << 10U;

  /// Bytes that a message of this size counts for. A holder calls held_bytes::hold() only when this has
  /// grown.
  std::size_t counted(std::size_t size) const {
    return size <= step_bytes ? 0 : (size + step_bytes - 1) / step_bytes * step_bytes;
  }
};

/// Bounds the bytes that unfinished messages hold together. When they hold too many, the one that holds most
/// is given up, so that messages without end don't take the room of whole ones. No I/O; not thread-safe.
class held_bytes {
 public:
  explicit held_bytes(const held_bytes_settings& settings) : settings_(settings) {}

  /// The holder's message counts for `bytes` now. Returns the holder that is to be given up; it counts no
  /// longer.
  std::optional<std::uint64_t> hold(std::uint64_t holder, std::size_t bytes) {
    release(holder);
    by_holder_[holder] = bytes;
    by_size_.insert({bytes, holder});
    total_ += bytes;
    if (total_ <= settings_.most_bytes) {
      return std::nullopt;
    }
    const std::uint64_t largest = by_size_.rbegin()->second;
    release(largest);
    return largest;
  }

  /// The holder's message is whole or was dropped.
  void release(std::uint64_t holder) {
    auto found = by_holder_.find(holder);
    if (found == by_holder_.end()) {
      return;
    }
    total_ -= found->second;
    by_size_.erase({found->second, holder});
    by_holder_.erase(found);
  }

  /// Bytes that count now.
  std::size_t total() const { return total_; }

 private:
  held_bytes_settings settings_;
  std::unordered_map<std::uint64_t, std::size_t> by_holder_;
  /// Sizes and holders.
  std::set<std::pair<std::size_t, std::uint64_t>> by_size_;
  std::size_t total_ = 0;
};

}  // namespace nutmegarch::policy
