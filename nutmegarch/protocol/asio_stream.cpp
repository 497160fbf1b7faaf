#include "nutmegarch/protocol/asio_stream.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <kj/debug.h>

#include "nutmegarch/http/socket_options.h"

namespace nutmegarch::protocol {

namespace {

using tcp = boost::asio::ip::tcp;

bool is_not_ready(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

}  // namespace

asio_stream::asio_stream(tcp::socket socket) : socket_(std::move(socket)), disconnected_(nullptr) {
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  disconnect_ = kj::mv(pair.fulfiller);
  disconnected_ = pair.promise.fork();
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  http::set_connection_options(socket_);
}

kj::Promise<std::size_t> asio_stream::tryRead(void* buffer, std::size_t least, std::size_t most) {
  return read_more(static_cast<kj::byte*>(buffer), least, most, 0);
}

kj::Promise<void> asio_stream::write(const void* buffer, std::size_t size) {
  const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte*>(buffer), size);
  return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> asio_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  // One copy joins the pieces, so that a message leaves in one system call.
  std::size_t size = 0;
  for (const kj::ArrayPtr<const kj::byte>& piece : pieces) {
    size += piece.size();
  }
  kj::Array<kj::byte> content = kj::heapArray<kj::byte>(size);
  kj::byte* to = content.begin();
  for (const kj::ArrayPtr<const kj::byte>& piece : pieces) {
    to = std::copy(piece.begin(), piece.end(), to);
  }
  return write_rest(kj::mv(content), 0);
}

kj::Promise<void> asio_stream::whenWriteDisconnected() { return disconnected_.addBranch(); }

void asio_stream::shutdownWrite() {
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

kj::Promise<void> asio_stream::wait_for(tcp::socket::wait_type what) {
  kj::PromiseFulfillerPair<void> pair = kj::newPromiseAndFulfiller<void>();
  // The handler touches no member, so the stream may go while it waits.
  socket_.async_wait(what, [fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code&) mutable {
    fulfiller->fulfill();
  });
  return kj::mv(pair.promise);
}

kj::Promise<std::size_t> asio_stream::read_more(kj::byte* buffer, std::size_t least, std::size_t most,
                                                std::size_t done) {
  while (done < least) {
    boost::system::error_code error;
    done += socket_.read_some(boost::asio::buffer(buffer + done, most - done), error);
    if (is_not_ready(error)) {
      return wait_for(tcp::socket::wait_read).then([this, buffer, least, most, done]() {
        return read_more(buffer, least, most, done);
      });
    }
    if (error) {
      // The end of the stream and a broken one are both the end of what can be read.
      disconnect_->fulfill();
      return done;
    }
  }
  return done;
}

kj::Promise<void> asio_stream::write_rest(kj::Array<kj::byte> content, std::size_t done) {
  while (done < content.size()) {
    boost::system::error_code error;
    done += socket_.write_some(boost::asio::buffer(content.begin() + done, content.size() - done), error);
    if (is_not_ready(error)) {
      return wait_for(tcp::socket::wait_write).then([this, content = kj::mv(content), done]() mutable {
        return write_rest(kj::mv(content), done);
      });
    }
    if (error) {
      disconnect_->fulfill();
      return KJ_EXCEPTION(DISCONNECTED, "the peer has closed the connection");
    }
  }
  return kj::READY_NOW;
}

}  // namespace nutmegarch::protocol
