#include "nutmegarch/http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegarch::http {

namespace {

void set_tcp_option(boost::asio::ip::tcp::socket& socket, int name, int value) {
  setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof(value));
}

}  // namespace

void set_connection_options(boost::asio::ip::tcp::socket& socket, const liveness_settings& liveness) {
  // Errors are ignored: without the options the connection still works, only its loss is detected later.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  set_tcp_option(socket, TCP_KEEPIDLE, static_cast<int>(liveness.probe_after.count()));
  set_tcp_option(socket, TCP_KEEPINTVL, static_cast<int>(liveness.probe_interval.count()));
  set_tcp_option(socket, TCP_KEEPCNT, liveness.max_probes);
  set_tcp_option(socket, TCP_USER_TIMEOUT, static_cast<int>(liveness.user_timeout.count()));
}

}  // namespace nutmegarch::http
