#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "nutmegarch/core/message.h"

namespace nutmegarch::http {

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Convert messages to and from the types of Boost.Beast. from_beast() leaves out hop-by-hop fields (RFC
/// 9110, 7.6.1) and the Host field, which becomes the authority of a request; to_beast() sets the Connection
/// and framing fields itself.
request_message from_beast(beast_request&& message);
answer_message from_beast(beast_response&& message);
/// `default_host` is the Host field of a request whose authority is empty.
beast_request to_beast(request_message&& message, const std::string& default_host);
/// `keep_alive` tells whether the connection stays open after the answer.
beast_response to_beast(answer_message&& message, bool keep_alive);

}  // namespace nutmegarch::http
