#pragma once

#include <cstddef>

namespace nutmegarch::policy {

/// Settings of answer_meter.
struct answer_bounds {
  /// Largest head of an answer, in bytes; also the largest chunk extension and the largest trailer.
  std::size_t most_head_bytes = 16U << 10U;
  /// Most bytes of framing for each byte of a chunked body, beyond the head and the trailer.
  std::size_t most_framing_per_byte = 8;
  /// Most interim answers (1xx) before the final one.
  int most_interim_answers = 8;
  /// Most answers to earlier requests before the one that is due.
  int most_stale_answers = 4;
};

/// Follows the answer to one request while it is read, and tells when it can no longer become one. No I/O;
/// not thread-safe.
class answer_meter {
 public:
  explicit answer_meter(const answer_bounds& bounds) : bounds_(bounds) {}

  /// `size` further bytes were read; the answer's body holds `body` bytes by now. False when what is read is
  /// mostly framing.
  bool on_read(std::size_t size, std::size_t body) {
    read_ += size;
    return read_ <= 2 * bounds_.most_head_bytes + body * (1 + bounds_.most_framing_per_byte);
  }

  /// An interim answer was read, so another answer follows. False when there are too many.
  bool on_interim_answer() {
    read_ = 0;
    return ++interim_answers_ <= bounds_.most_interim_answers;
  }

  /// The answer to an earlier request was read, so another answer follows. False when there are too many.
  bool on_stale_answer() {
    read_ = 0;
    return ++stale_answers_ <= bounds_.most_stale_answers;
  }

 private:
  answer_bounds bounds_;
  /// Bytes of the current answer.
  std::size_t read_ = 0;
  int interim_answers_ = 0;
  int stale_answers_ = 0;
};

}  // namespace nutmegarch::policy
