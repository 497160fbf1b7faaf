#include "nutmegarch/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegarch::http {

namespace {

/// Time without traffic before the first keep-alive probe.
constexpr int keep_alive_idle_seconds = 2;
/// Time between two keep-alive probes.
constexpr int keep_alive_interval_seconds = 1;
/// Number of unacknowledged probes after which the connection is broken.
constexpr int max_keep_alive_probes = 3;
/// The connection is broken when sent data stays unacknowledged for this long.
constexpr unsigned user_timeout_ms = 5000;

}  // namespace

void set_connection_options(boost::asio::ip::tcp::socket& socket) {
  // Errors are ignored: without the options the connection still works, only its loss is detected later.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_seconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_seconds, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &max_keep_alive_probes, sizeof(int));
  setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(unsigned));
}

}  // namespace nutmegarch::http
