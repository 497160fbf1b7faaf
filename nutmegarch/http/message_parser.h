#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "nutmegarch/core/message.h"

namespace nutmegarch::http {

/// Parses one message into the types of core/message.h, which hold fields of any size; the containers of
/// Boost.Beast throw for a name or a value of 64 KiB. Leaves out hop-by-hop fields (RFC 9110, 7.6.1).
template <bool is_request>
class message_parser : public boost::beast::http::basic_parser<is_request> {
 public:
  using error_code = boost::beast::error_code;
  using string_view = boost::beast::string_view;

  message_parser(const message_parser&) = delete;
  message_parser& operator=(const message_parser&) = delete;
  ~message_parser() override = default;

  /// Sets the maximum size of the head in bytes. The default is that of the library.
  void max_head_bytes(std::size_t bytes);
  /// Size of the body so far, in bytes.
  std::size_t body_size() const { return body_.size(); }
  /// Memory that the head uses so far, in bytes.
  std::size_t head_bytes() const { return head_bytes_; }
  /// Whether the message says that its sender closes the connection after it.
  bool closes_connection() const { return version_ == version_1_1 ? names_close_ : !names_keep_alive_; }
  /// Value of the first field with this name, ignoring case; empty if there is none.
  std::string find_field(const std::string& name) const { return find_header(fields_, name); }
  /// Value of the last Keep-Alive field; empty if there is none.
  const std::string& keep_alive_parameters() const { return keep_alive_parameters_; }

 protected:
  message_parser() = default;

  void on_start_line(std::size_t bytes, int version) {
    head_bytes_ += bytes;
    version_ = version;
  }
  headers take_fields() { return std::move(fields_); }
  std::string take_host() { return std::move(host_); }
  std::string take_body() { return std::move(body_); }

 private:
  static constexpr int version_1_1 = 11;

  void on_field_impl(boost::beast::http::field name, string_view name_text, string_view value,
                     error_code&) final;
  void on_header_impl(error_code&) final {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) final;
  std::size_t on_body_impl(string_view data, error_code&) final;
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) final {}
  std::size_t on_chunk_body_impl(std::uint64_t, string_view data, error_code& error) final;
  void on_finish_impl(error_code&) final {}

  std::size_t head_bytes_ = 0;
  int version_ = version_1_1;
  bool has_host_ = false;
  bool names_close_ = false;
  bool names_keep_alive_ = false;
  std::string keep_alive_parameters_;
  std::string host_;
  headers fields_;
  std::string body_;
};

extern template class message_parser<true>;
extern template class message_parser<false>;

/// Parses a request.
class request_parser final : public message_parser<true> {
 public:
  /// Transfers ownership of the message. Only after is_done().
  request_message release();

 private:
  void on_request_impl(boost::beast::http::verb, string_view method, string_view target, int version,
                       error_code&) override;
  void on_response_impl(int, string_view, int, error_code&) override {}

  std::string method_;
  std::string target_;
};

/// Parses an answer.
class answer_parser final : public message_parser<false> {
 public:
  /// Status of the answer; 0 until its first line is complete.
  unsigned status() const { return status_; }
  /// Transfers ownership of the message. Only after is_done().
  answer_message release();

 private:
  void on_request_impl(boost::beast::http::verb, string_view, string_view, int, error_code&) override {}
  void on_response_impl(int status, string_view reason, int version, error_code&) override;

  unsigned status_ = 0;
};

}  // namespace nutmegarch::http
