#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "nutmegarch/core/message.h"

namespace nutmegarch::http {

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Turn messages into those of the library and back. Hop-by-hop fields are left out both ways.
request_message from_beast(beast_request&& from);
answer_message from_beast(beast_response&& from);
/// `host` is the Host field of a request that has no authority of its own.
beast_request to_beast(const request_message& from, const std::string& host);
beast_response to_beast(answer_message&& from, bool keep_alive);

}  // namespace nutmegarch::http
