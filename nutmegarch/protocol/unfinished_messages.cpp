#include "nutmegarch/protocol/unfinished_messages.h"

#include <optional>
#include <utility>

namespace nutmegarch::protocol {

std::uint64_t unfinished_messages::add(std::function<void()> close) {
  connections_[++last_id_].close = std::move(close);
  return last_id_;
}

void unfinished_messages::remove(std::uint64_t connection) {
  budget_.release(connection);
  connections_.erase(connection);
}

void unfinished_messages::update(std::uint64_t connection, std::size_t bytes) {
  entry& updated = connections_.at(connection);
  const std::size_t charged_bytes = settings_.charged_bytes(bytes);
  if (charged_bytes == updated.charged_bytes) {
    return;
  }
  updated.charged_bytes = charged_bytes;
  if (charged_bytes == 0) {
    budget_.release(connection);
    return;
  }
  // The length that a message announces says nothing of how much of it will come.
  const std::optional<std::uint64_t> evicted = budget_.update(connection, charged_bytes, false);
  if (evicted) {
    ++closed_count_;
    entry& closed = connections_.at(*evicted);
    closed.charged_bytes = 0;
    closed.close();
  }
}

}  // namespace nutmegarch::protocol
