#include "nutmegarch/http/message_parser.h"

#include <algorithm>
#include <array>
#include <limits>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace nutmegarch::http {

namespace {

constexpr std::size_t word_bytes = 8;

namespace beast_http = boost::beast::http;

constexpr std::array<beast_http::field, 8> hop_by_hop_fields = {beast_http::field::connection,
                                                                beast_http::field::keep_alive,
                                                                beast_http::field::transfer_encoding,
                                                                beast_http::field::content_length,
                                                                beast_http::field::te,
                                                                beast_http::field::trailer,
                                                                beast_http::field::upgrade,
                                                                beast_http::field::proxy_connection};

bool is_hop_by_hop(beast_http::field name) {
  return std::find(hop_by_hop_fields.begin(), hop_by_hop_fields.end(), name) != hop_by_hop_fields.end();
}

}  // namespace

template <bool is_request>
void message_parser<is_request>::max_head_bytes(std::size_t bytes) {
  // The library's own limit is a 32-bit number.
  this->header_limit(
      static_cast<std::uint32_t>(std::min<std::size_t>(bytes, std::numeric_limits<std::uint32_t>::max())));
}

template <bool is_request>
void message_parser<is_request>::on_field_impl(beast_http::field name, string_view name_text,
                                               string_view value, error_code&) {
  if (name == beast_http::field::connection) {
    beast_http::token_list tokens(value);
    names_close_ = names_close_ || tokens.exists("close");
    names_keep_alive_ = names_keep_alive_ || tokens.exists("keep-alive");
  }
  if (name == beast_http::field::keep_alive) {
    keep_alive_parameters_ = std::string(value);
  }
  if (name == beast_http::field::host && !has_host_) {
    has_host_ = true;
    host_ = std::string(value);
    head_bytes_ += value.size();
  }
  if (name == beast_http::field::host || is_hop_by_hop(name)) {
    return;
  }
  fields_.push_back({std::string(name_text), std::string(value)});
  head_bytes_ += sizeof(header) + name_text.size() + value.size();
}

template <bool is_request>
void message_parser<is_request>::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                                   error_code& error) {
  if (length) {
    if (*length > body_.max_size()) {
      error = beast_http::error::body_limit;
      return;
    }
    // A message to a peer refers to whole words of the body.
    body_.reserve(static_cast<std::size_t>(*length) + word_bytes);
  }
}

template <bool is_request>
std::size_t message_parser<is_request>::on_body_impl(string_view data, error_code&) {
  body_.append(data.data(), data.size());
  return data.size();
}

template <bool is_request>
std::size_t message_parser<is_request>::on_chunk_body_impl(std::uint64_t, string_view data,
                                                           error_code& error) {
  return on_body_impl(data, error);
}

template class message_parser<true>;
template class message_parser<false>;

void request_parser::on_request_impl(beast_http::verb, string_view method, string_view target, int version,
                                     error_code&) {
  method_ = std::string(method);
  target_ = std::string(target);
  on_start_line(method.size() + target.size(), version);
}

request_message request_parser::release() {
  return {std::move(method_), std::move(target_), take_fields(), take_body(), take_host()};
}

void answer_parser::on_response_impl(int status, string_view, int version, error_code&) {
  status_ = static_cast<unsigned>(status);
  on_start_line(0, version);
}

answer_message answer_parser::release() {
  const bool closes = closes_connection();
  return {static_cast<int>(status_), take_fields(), take_body(), closes};
}

}  // namespace nutmegarch::http
