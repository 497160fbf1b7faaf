#pragma once

#include <boost/asio/io_context.hpp>
#include <kj/async.h>

namespace nutmegarch::protocol {

/// Runs an io_context inside KJ's event loop, so that both share one thread: the handlers of the io_context
/// run while KJ has no events. No other thread may run the io_context.
class asio_event_port final : public kj::EventPort {
 public:
  explicit asio_event_port(boost::asio::io_context& io) : io_(io) {}

  /// Runs the ready handlers; waits for the first one when none is ready.
  bool wait() override {
    io_.run_one();
    io_.poll();
    return false;
  }

  /// Runs the ready handlers without waiting.
  bool poll() override {
    io_.poll();
    return false;
  }

 private:
  boost::asio::io_context& io_;
};

}  // namespace nutmegarch::protocol
