#pragma once

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace nutmegarch::http {

/// Reads "IP:PORT" or "[IP]:PORT"; nothing when it is none. Names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(const std::string& text);

}  // namespace nutmegarch::http
