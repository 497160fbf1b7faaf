#include "nutmegarch/http/address.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace nutmegarch::http {

std::optional<boost::asio::ip::tcp::endpoint> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  unsigned port = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  boost::system::error_code error;
  const boost::asio::ip::address address = boost::asio::ip::make_address(host, error);
  if (error || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || port > 65'535) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port));
}

}  // namespace nutmegarch::http
