#include "nutmegarch/protocol/asio_stream.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <kj/debug.h>

#include "nutmegarch/http/socket_options.h"

namespace nutmegarch::protocol {

namespace {

using tcp = boost::asio::ip::tcp;

/// Larger messages are written from where they are.
constexpr std::size_t max_joined_bytes = 64U << 10U;

bool is_would_block(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace

asio_stream::asio_stream(tcp::socket socket, unfinished_messages& unfinished)
    : socket_(std::move(socket)),
      unfinished_(unfinished),
      unfinished_id_(unfinished.add([this]() { close(); })),
      disconnected_(nullptr) {
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  disconnect_fulfiller_ = kj::mv(pair.fulfiller);
  disconnected_ = pair.promise.fork();
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  http::set_connection_options(socket_);
}

asio_stream::~asio_stream() noexcept { unfinished_.remove(unfinished_id_); }

kj::Promise<std::size_t> asio_stream::tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) {
  return read_more(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<void> asio_stream::write(const void* buffer, std::size_t size) {
  const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte*>(buffer), size);
  return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> asio_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  std::size_t size = 0;
  for (const kj::ArrayPtr<const kj::byte>& piece : pieces) {
    size += piece.size();
  }
  if (size > max_joined_bytes) {
    return write_pieces(pieces, 0).then([this, pieces]() { release(pieces); });
  }
  // The pieces are copied into one buffer, so that one system call sends the whole message.
  kj::Array<kj::byte> content = kj::heapArray<kj::byte>(size);
  kj::byte* to = content.begin();
  for (const kj::ArrayPtr<const kj::byte>& piece : pieces) {
    to = std::copy(piece.begin(), piece.end(), to);
  }
  return write_remaining(kj::mv(content), 0);
}

kj::Promise<void> asio_stream::whenWriteDisconnected() { return disconnected_.addBranch(); }

void asio_stream::release(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  for (const kj::ArrayPtr<const kj::byte>& piece : pieces) {
    auto found = referenced_.find(piece.begin());
    if (found != referenced_.end()) {
      referenced_.erase(found);
    }
  }
}

void asio_stream::close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void asio_stream::shutdownWrite() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

kj::Promise<void> asio_stream::wait_until_ready(tcp::socket::wait_type event) {
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  // The handler uses no member, so the stream may be destroyed while the handler is pending.
  socket_.async_wait(event, [fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code&) mutable {
    fulfiller->fulfill();
  });
  return kj::mv(pair.promise);
}

kj::Promise<std::size_t> asio_stream::read_more(kj::byte* buffer, std::size_t min_bytes,
                                                std::size_t max_bytes, std::size_t bytes_read) {
  while (bytes_read < min_bytes) {
    boost::system::error_code error;
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(buffer + bytes_read, max_bytes - bytes_read), error);
    bytes_read += size;
    has_progressed_ = has_progressed_ || size > 0;
    // The segments of a message are read as one piece.
    unfinished_.update(unfinished_id_, bytes_read < min_bytes ? bytes_read : 0);
    if (is_would_block(error)) {
      return wait_until_ready(tcp::socket::wait_read)
          .then([this, buffer, min_bytes, max_bytes, bytes_read]() {
            return read_more(buffer, min_bytes, max_bytes, bytes_read);
          });
    }
    if (error) {
      // An error is reported like the end of the stream: nothing more can be read.
      disconnect_fulfiller_->fulfill();
      return bytes_read;
    }
  }
  return bytes_read;
}

kj::Promise<void> asio_stream::write_remaining(kj::Array<kj::byte> content, std::size_t bytes_written) {
  while (bytes_written < content.size()) {
    boost::system::error_code error;
    bytes_written += socket_.write_some(
        boost::asio::buffer(content.begin() + bytes_written, content.size() - bytes_written), error);
    if (is_would_block(error)) {
      return wait_until_ready(tcp::socket::wait_write)
          .then([this, content = kj::mv(content), bytes_written]() mutable {
            // The peer has acknowledged what filled the buffers.
            has_progressed_ = true;
            return write_remaining(kj::mv(content), bytes_written);
          });
    }
    if (error) {
      disconnect_fulfiller_->fulfill();
      return KJ_EXCEPTION(DISCONNECTED, "writing to the connection of a peer failed");
    }
  }
  return kj::READY_NOW;
}

kj::Promise<void> asio_stream::write_pieces(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces,
                                            std::size_t bytes_written) {
  // The caller keeps the pieces until the promise is fulfilled.
  for (; pieces.size() > 0; pieces = pieces.slice(1, pieces.size()), bytes_written = 0) {
    const kj::ArrayPtr<const kj::byte>& piece = pieces.front();
    while (bytes_written < piece.size()) {
      boost::system::error_code error;
      bytes_written += socket_.write_some(
          boost::asio::buffer(piece.begin() + bytes_written, piece.size() - bytes_written), error);
      if (is_would_block(error)) {
        return wait_until_ready(tcp::socket::wait_write).then([this, pieces, bytes_written]() {
          has_progressed_ = true;
          return write_pieces(pieces, bytes_written);
        });
      }
      if (error) {
        disconnect_fulfiller_->fulfill();
        return KJ_EXCEPTION(DISCONNECTED, "writing to the connection of a peer failed");
      }
    }
  }
  return kj::READY_NOW;
}

}  // namespace nutmegarch::protocol
