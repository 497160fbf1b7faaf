#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

namespace nutmegarch::protocol {

/// A connected socket as KJ's stream, for use on the thread of an asio_event_port.
class asio_stream final : public kj::AsyncIoStream {
 public:
  explicit asio_stream(boost::asio::ip::tcp::socket socket);

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t least, std::size_t most) override;
  kj::Promise<void> write(const void* buffer, std::size_t size) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

 private:
  kj::Promise<void> wait_for(boost::asio::ip::tcp::socket::wait_type what);
  kj::Promise<std::size_t> read_more(kj::byte* buffer, std::size_t least, std::size_t most, std::size_t done);
  kj::Promise<void> write_rest(kj::Array<kj::byte> content, std::size_t done);

  boost::asio::ip::tcp::socket socket_;
  kj::ForkedPromise<void> disconnected_;
  kj::Own<kj::PromiseFulfiller<void>> disconnect_;
};

}  // namespace nutmegarch::protocol
