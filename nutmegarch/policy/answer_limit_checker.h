#pragma once

#include <algorithm>
#include <cstddef>

namespace nutmegarch::policy {

/// Settings of answer_limit_checker.
struct answer_limits {
  /// Largest head of an answer, in bytes; also the limit for a chunk extension and for the trailer.
  std::size_t max_head_bytes = 16U << 10U;
  /// Maximum bytes of framing per byte of a chunked body, beyond the head and the trailer.
  std::size_t max_framing_per_body_byte = 8;
  /// Maximum bytes of framing of a chunked body once they outweigh its data. Each chunk, however small, costs
  /// the reader processor time.
  std::size_t max_excess_framing_bytes = 1U << 20U;
  /// Maximum number of interim answers (1xx) before the final one.
  int max_interim_answers = 8;
  /// Maximum number of answers to earlier requests before the expected one.
  int max_stale_answers = 4;
};

/// Checks the answer to one request against the limits while it is read, so that a server can't keep a
/// connection busy without ever completing the answer. No I/O; not thread-safe.
class answer_limit_checker {
 public:
  explicit answer_limit_checker(const answer_limits& limits) : limits_(limits) {}

  /// Counts `size` further bytes; `body` is the size in bytes of the answer's body so far. Returns false when
  /// the share of framing exceeds the limits.
  bool on_read(std::size_t size, std::size_t body) {
    read_bytes_ += size;
    const std::size_t max_framing =
        std::min(body * limits_.max_framing_per_body_byte, std::max(body, limits_.max_excess_framing_bytes));
    return read_bytes_ <= 2 * limits_.max_head_bytes + body + max_framing;
  }

  /// Counts an interim answer, after which another answer follows. Returns false when there are too many.
  bool on_interim_answer() {
    read_bytes_ = 0;
    return ++interim_answers_ <= limits_.max_interim_answers;
  }

  /// Counts an answer to an earlier request, after which another answer follows. Returns false when there are
  /// too many.
  bool on_stale_answer() {
    read_bytes_ = 0;
    return ++stale_answers_ <= limits_.max_stale_answers;
  }

 private:
  answer_limits limits_;
  /// Bytes read of the current answer.
  std::size_t read_bytes_ = 0;
  int interim_answers_ = 0;
  int stale_answers_ = 0;
};

}  // namespace nutmegarch::policy
