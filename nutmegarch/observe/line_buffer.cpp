#include "nutmegarch/observe/line_buffer.h"

#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace nutmegarch::observe {

namespace {

/// A pipe that is ready takes this many bytes without waiting.
constexpr std::size_t most_write = PIPE_BUF;

bool is_ready(int descriptor, int patience_ms) {
  pollfd polled{descriptor, POLLOUT, 0};
  return poll(&polled, 1, patience_ms) == 1 && (polled.revents & POLLOUT) != 0;
}

}  // namespace

void line_buffer::add(std::string line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (bytes_ + line.size() > most_bytes_) {
    ++dropped_;
    return;
  }
  bytes_ += line.size();
  lines_.push_back(std::move(line));
}

void line_buffer::flush(int patience_ms) {
  const std::lock_guard<std::mutex> lock(mutex_);
  while (!lines_.empty()) {
    // Join lines, so that many leave in one system call.
    std::string piece = lines_.front().substr(written_, most_write);
    for (std::size_t i = 1; i < lines_.size() && piece.size() + lines_.at(i).size() <= most_write; ++i) {
      piece += lines_.at(i);
    }
    if (!is_ready(descriptor_, patience_ms)) {
      return;
    }
    const ssize_t count = write(descriptor_, piece.data(), piece.size());
    if (count <= 0) {
      return;
    }
    std::size_t left = static_cast<std::size_t>(count);
    while (left > 0) {
      const std::size_t rest = lines_.front().size() - written_;
      if (left < rest) {
        written_ += left;
        break;
      }
      left -= rest;
      bytes_ -= lines_.front().size();
      lines_.pop_front();
      written_ = 0;
    }
  }
}

std::size_t line_buffer::size_in_bytes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return bytes_;
}

std::uint64_t line_buffer::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

}  // namespace nutmegarch::observe
