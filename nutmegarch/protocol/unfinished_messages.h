#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "nutmegarch/policy/buffer_budget.h"

namespace nutmegarch::protocol {

/// Limits the memory that the unfinished messages on all connections between nodes take together. When they
/// exceed the budget, the connection with the largest of them is closed. Not thread-safe.
class unfinished_messages {
 public:
  explicit unfinished_messages(const policy::buffer_budget_settings& settings)
      : settings_(settings), budget_(settings) {}

  /// Adds a connection. `close` is called when its message has to go. Returns the id for the other functions.
  std::uint64_t add(std::function<void()> close);
  /// Removes a connection.
  void remove(std::uint64_t connection);
  /// The unfinished message of the connection now has `bytes` bytes; 0 when it is complete. May close this or
  /// another connection.
  void update(std::uint64_t connection, std::size_t bytes);

  /// Bytes that count against the budget now.
  std::size_t total() const { return budget_.total(); }
  /// Number of connections that were closed.
  std::size_t closed_count() const { return closed_count_; }

 private:
  struct entry {
    std::function<void()> close;
    std::size_t charged_bytes = 0;
  };

  policy::buffer_budget_settings settings_;
  policy::buffer_budget budget_;
  std::unordered_map<std::uint64_t, entry> connections_;
  std::uint64_t last_id_ = 0;
  std::size_t closed_count_ = 0;
};

}  // namespace nutmegarch::protocol
