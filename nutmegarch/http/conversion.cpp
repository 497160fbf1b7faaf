#include "nutmegarch/http/conversion.h"

#include <algorithm>
#include <array>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>

namespace nutmegarch::http {

namespace {

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

template <typename Fields>
headers read_fields(const Fields& message) {
  headers fields;
  for (const auto& field : message) {  // Boost.Beast gives the field type no public name.
    if (!is_hop_by_hop(field.name()) && field.name() != beast_http::field::host) {
      fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
  }
  return fields;
}

}  // namespace

request_message from_beast(beast_request&& message) {
  request_message request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.authority = std::string(message[beast_http::field::host]);
  request.fields = read_fields(message);
  request.body = std::move(message.body());
  return request;
}

answer_message from_beast(beast_response&& message) {
  answer_message answer;
  answer.status = static_cast<int>(message.result_int());
  answer.fields = read_fields(message);
  answer.closes_connection = !message.keep_alive();
  answer.body = std::move(message.body());
  return answer;
}

beast_request to_beast(request_message&& message, const std::string& default_host) {
  beast_request request;
  request.version(11);
  request.method_string(message.method);
  request.target(message.target);
  request.set(beast_http::field::host, message.authority.empty() ? default_host : message.authority);
  for (const header& field : message.fields) {
    request.insert(field.name, field.value);
  }
  request.body() = std::move(message.body);
  request.keep_alive(true);
  request.prepare_payload();
  return request;
}

beast_response to_beast(answer_message&& message, bool keep_alive) {
  beast_response response;
  response.version(11);
  response.result(static_cast<unsigned>(message.status));
  for (const header& field : message.fields) {
    response.insert(field.name, field.value);
  }
  response.body() = std::move(message.body);
  response.keep_alive(keep_alive);
  response.prepare_payload();
  return response;
}

}  // namespace nutmegarch::http
