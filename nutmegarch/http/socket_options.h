#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace nutmegarch::http {

/// Disables Nagle's algorithm, and enables TCP keep-alive and a user timeout: the system breaks the
/// connection about five seconds after the peer has stopped acknowledging, whether data is outstanding or
/// not. Errors are ignored.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

}  // namespace nutmegarch::http
