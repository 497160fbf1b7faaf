#pragma once

#include <boost/asio/io_context.hpp>
#include <kj/async.h>

namespace nutmegarch::protocol {

/// Lets KJ's event loop wait for an io_context, so that both run on one thread: while KJ has nothing to do,
/// the handlers of the io_context run. Only the loop's thread may run the io_context.
class asio_event_port final : public kj::EventPort {
 public:
  explicit asio_event_port(boost::asio::io_context& io) : io_(io) {}

  /// Runs handlers, and waits for the first when none is ready.
  bool wait() override {
    io_.run_one();
    io_.poll();
    return false;
  }

  /// Runs the handlers that are ready.
  bool poll() override {
    io_.poll();
    return false;
  }

 private:
  boost::asio::io_context& io_;
};

}  // namespace nutmegarch::protocol
