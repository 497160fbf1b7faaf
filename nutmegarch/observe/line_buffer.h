#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace nutmegarch::observe {

/// Lines on their way to a file descriptor. Adding never waits for the reader of the descriptor: what does
/// not fit is dropped and counted. Any thread may call it.
class line_buffer {
 public:
  /// Holds at most `most_bytes`.
  line_buffer(int descriptor, std::size_t most_bytes) : descriptor_(descriptor), most_bytes_(most_bytes) {}

  /// Adds one line, which ends with a line feed.
  void add(std::string line);

  /// Writes as much as the descriptor takes at once. Waits at most `patience_ms` for its reader.
  void flush(int patience_ms = 0);

  /// Bytes of the lines that wait.
  std::size_t size_in_bytes() const;

  /// Lines dropped so far.
  std::uint64_t dropped() const;

 private:
  const int descriptor_;
  const std::size_t most_bytes_;
  /// Guards what follows; no other lock is taken while it is held.
  mutable std::mutex mutex_;
  std::deque<std::string> lines_;
  std::size_t bytes_ = 0;
  /// Bytes of the first line that are written already.
  std::size_t written_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace nutmegarch::observe
