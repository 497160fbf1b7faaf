#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "nutmegarch/policy/memory_account.h"

namespace nutmegarch::policy {

/// Settings of buffer_budget.
struct buffer_budget_settings {
  /// Limit for all unfinished messages together, in bytes.
  std::size_t max_bytes = 24U << 20U;
  /// Messages up to this size are not counted; larger ones are rounded up to a multiple of it.
  std::size_t charge_step_bytes = 16U << 10U;
  /// Counts the bytes together with those of other budgets; null for none.
  std::shared_ptr<memory_account> account = nullptr;

  /// Bytes that a message of `size` bytes counts for. A holder calls buffer_budget::update() only when this
  /// value has grown.
  std::size_t charged_bytes(std::size_t size) const {
    return size <= charge_step_bytes ? 0
                                     : (size + charge_step_bytes - 1) / charge_step_bytes * charge_step_bytes;
  }
};

/// Limits the memory that unfinished messages take together. When the limit is exceeded, the largest message
/// is evicted, preferably one of unknown length, so that endless messages don't displace finite ones; among
/// equals the one that began first. No I/O; not thread-safe.
class buffer_budget {
 public:
  explicit buffer_budget(const buffer_budget_settings& settings) : settings_(settings) {}
  buffer_budget(const buffer_budget&) = delete;
  buffer_budget& operator=(const buffer_budget&) = delete;
  ~buffer_budget() {
    if (settings_.account) {
      settings_.account->remove(total());
    }
  }

  /// Sets the bytes that the holder's message counts for; `has_length`: the message declares its length.
  /// Returns the holder whose message the caller must drop, if any; it is released already.
  std::optional<std::uint64_t> update(std::uint64_t holder, std::size_t bytes, bool has_length) {
    release(holder);
    if (bytes == 0) {
      return std::nullopt;
    }
    const entry added{!has_length, bytes, ~holder};
    by_holder_[holder] = added;
    entries_.insert(added);
    total_ += bytes;
    if (settings_.account) {
      settings_.account->add(bytes);
    }
    const std::size_t limit = settings_.account
                                  ? std::min(settings_.max_bytes, settings_.account->room_for(total()))
                                  : settings_.max_bytes;
    const std::size_t room = limit - std::min(limit, pinned_);
    if (total_ <= room) {
      return std::nullopt;
    }
    // Evicts the largest message of unknown length. If that frees too little, the largest of known length.
    auto largest = std::prev(entries_.end());
    const auto first_unknown = entries_.lower_bound({true, 0, 0});
    if (std::get<0>(*largest) && std::get<1>(*largest) < total_ - room && first_unknown != entries_.begin()) {
      largest = std::prev(first_unknown);
    }
    const std::uint64_t evicted = ~std::get<2>(*largest);
    release(evicted);
    return evicted;
  }

  /// Changes the bytes that are held beside the messages and can't be dropped. They take part of the limit.
  void add_pinned(std::ptrdiff_t bytes) {
    // Unsigned arithmetic wraps, so the change may be negative.
    pinned_ += static_cast<std::size_t>(bytes);
    if (settings_.account) {
      settings_.account->add(static_cast<std::size_t>(bytes));
    }
  }

  /// Removes the holder when its message is complete or was dropped. Ignores unknown holders.
  void release(std::uint64_t holder) {
    auto found = by_holder_.find(holder);
    if (found == by_holder_.end()) {
      return;
    }
    total_ -= std::get<1>(found->second);
    if (settings_.account) {
      settings_.account->remove(std::get<1>(found->second));
    }
    entries_.erase(found->second);
    by_holder_.erase(found);
  }

  /// Bytes counted for all holders, and those that are pinned.
  std::size_t total() const { return total_ + pinned_; }

 private:
  /// Whether the length is unknown, the bytes, and the complement of the holder, so that the one with the
  /// lowest number comes last among equals. The last entry of the set is evicted first.
  using entry = std::tuple<bool, std::size_t, std::uint64_t>;

  buffer_budget_settings settings_;
  std::unordered_map<std::uint64_t, entry> by_holder_;
  std::set<entry> entries_;
  std::size_t total_ = 0;
  std::size_t pinned_ = 0;
};

}  // namespace nutmegarch::policy
