#pragma once

#include <map>
#include <memory>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

#include "nutmegarch/protocol/unfinished_messages.h"

namespace nutmegarch::protocol {

/// Adapts a connected socket to KJ's stream interface. Must be used on the thread of an asio_event_port.
class asio_stream final : public kj::AsyncIoStream {
 public:
  /// `unfinished` must outlive the stream.
  asio_stream(boost::asio::ip::tcp::socket socket, unfinished_messages& unfinished);
  asio_stream(const asio_stream&) = delete;
  asio_stream& operator=(const asio_stream&) = delete;
  ~asio_stream() noexcept;

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /// Keeps `owner` until a message that refers to its memory at `begin` is written, or the stream is
  /// destroyed.
  void keep_until_written(const kj::byte* begin, std::shared_ptr<const void> owner) {
    referenced_.emplace(begin, std::move(owner));
  }
  /// Closes the connection. Pending and later reads and writes fail.
  void close();

  /// True if bytes were received, or taken by a peer that had taken none for a while, since the last call.
  bool take_progress() { return std::exchange(has_progressed_, false); }

 private:
  kj::Promise<void> wait_until_ready(boost::asio::ip::tcp::socket::wait_type event);
  kj::Promise<std::size_t> read_more(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                     std::size_t bytes_read);
  /// Writes the pieces, the first one from `bytes_written` on.
  kj::Promise<void> write_pieces(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces,
                                 std::size_t bytes_written);
  kj::Promise<void> write_remaining(kj::Array<kj::byte> content, std::size_t bytes_written);

  /// Lets go of the memory that the pieces refer to.
  void release(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces);

  boost::asio::ip::tcp::socket socket_;
  bool has_progressed_ = false;
  std::multimap<const kj::byte*, std::shared_ptr<const void>> referenced_;
  unfinished_messages& unfinished_;
  /// Id of this stream there.
  std::uint64_t unfinished_id_;
  kj::ForkedPromise<void> disconnected_;
  kj::Own<kj::PromiseFulfiller<void>> disconnect_fulfiller_;
};

}  // namespace nutmegarch::protocol
