#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

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
/// is given up, one whose length is not known before one whose length is, so that messages without end don't
/// take the room of whole ones. No I/O; not thread-safe.
class held_bytes {
 public:
  explicit held_bytes(const held_bytes_settings& settings) : settings_(settings) {}

  /// The holder's message counts for `bytes` now; `has_length`: it has told how long it is. Returns the
  /// holder that is to be given up; it counts no longer.
  std::optional<std::uint64_t> hold(std::uint64_t holder, std::size_t bytes, bool has_length) {
    release(holder);
    const place taken{!has_length, bytes, holder};
    by_holder_[holder] = taken;
    places_.insert(taken);
    total_ += bytes;
    if (total_ <= settings_.most_bytes) {
      return std::nullopt;
    }
    // The largest without a length, unless that is not enough; then the largest of the others.
    auto largest = std::prev(places_.end());
    if (std::get<0>(*largest) && std::get<1>(*largest) < total_ - settings_.most_bytes) {
      largest = std::prev(places_.lower_bound({true, 0, 0}));
    }
    const std::uint64_t given_up = std::get<2>(*largest);
    release(given_up);
    return given_up;
  }

  /// The holder's message is whole or was dropped.
  void release(std::uint64_t holder) {
    auto found = by_holder_.find(holder);
    if (found == by_holder_.end()) {
      return;
    }
    total_ -= std::get<1>(found->second);
    places_.erase(found->second);
    by_holder_.erase(found);
  }

  /// Bytes that count now.
  std::size_t total() const { return total_; }

 private:
  /// Whether the length is unknown, the bytes and the holder: the last one is given up first.
  using place = std::tuple<bool, std::size_t, std::uint64_t>;

  held_bytes_settings settings_;
  std::unordered_map<std::uint64_t, place> by_holder_;
  std::set<place> places_;
  std::size_t total_ = 0;
};

}  // namespace nutmegarch::policy
