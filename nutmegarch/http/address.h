#pragma once

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace nutmegarch::http {

/// Parses "IP:PORT" or "[IP]:PORT"; empty if the text is neither. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(const std::string& text);

}  // namespace nutmegarch::http
