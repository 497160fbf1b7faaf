#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace nutmegarch::http {

/// Sends small messages at once, and lets the system find out when a connection carries nothing any more:
/// it is reset some seconds after its other end has stopped acknowledging, whether data is due or not.
void set_connection_options(boost::asio::ip::tcp::socket& socket);

}  // namespace nutmegarch::http
