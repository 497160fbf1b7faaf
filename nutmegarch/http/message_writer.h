#pragma once

#include <cstddef>
#include <limits>
#include <string>

#include <boost/system/error_code.hpp>

#include "nutmegarch/core/message.h"

namespace nutmegarch::http {

/// Completion condition of asynchronous writes that pass on all that is left at once, not in pieces of 64
/// KiB.
inline std::size_t whole_writes(const boost::system::error_code& error, std::size_t) {
  return error ? 0 : std::numeric_limits<std::size_t>::max();
}

/// Formats the head of a request, with its framing fields and the empty line, for a connection that is kept
/// open. The message must have neither a Host field nor hop-by-hop fields. `default_host` is the Host field
/// of a request whose authority is empty. Unlike with the containers of Boost.Beast, no part of the head has
/// a maximum size.
std::string format_head(const request_message& message, const std::string& default_host);

/// False if an answer with this status ends with its head, whatever its fields say (RFC 9112, 6.3).
bool may_have_body(int status);

/// Formats the head of an answer in the same way. `keep_alive` tells whether the connection stays open after
/// the answer.
std::string format_head(const answer_message& message, bool keep_alive);

}  // namespace nutmegarch::http
