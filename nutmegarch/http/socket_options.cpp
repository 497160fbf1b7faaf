#include "nutmegarch/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegarch::http {

namespace {

/// A connection on which nothing was heard is probed after this many seconds, ...
constexpr int keep_alive_idle_seconds = 2;
/// ... again after this many seconds without an answer, ...
constexpr int keep_alive_interval_seconds = 1;
/// ... and is given up after this many probes.
constexpr int keep_alive_probes = 3;
/// Data that is not acknowledged for this many milliseconds breaks a connection.
constexpr unsigned user_timeout_ms = 5000;

}  // namespace

void set_connection_options(boost::asio::ip::tcp::socket& socket) {
  // A connection on which an option can't be set works as well, only its loss shows later.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_seconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_seconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(unsigned));
}

}  // namespace nutmegarch::http
