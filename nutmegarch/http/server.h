#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "nutmegarch/core/message.h"
#include "nutmegarch/core/time.h"

namespace nutmegarch::http {

/// What answers the requests of a server. Called on any worker.
class request_handler {
 public:
  /// Sends the answer; may be called once, on any thread, also after the caller has gone.
  using reply = std::function<void(answer_message)>;

  request_handler() = default;
  request_handler(const request_handler&) = delete;
  request_handler& operator=(const request_handler&) = delete;
  virtual ~request_handler() = default;

  /// A whole request has arrived. `exchange` names it in on_disconnect().
  virtual void on_request(std::uint64_t exchange, request_message request, reply answer) = 0;
  /// The caller closed its connection before the answer.
  virtual void on_disconnect(std::uint64_t) {}
  /// A request could not be read; it was answered with `status`.
  virtual void on_bad_request(int, const std::string&) {}
};

/// Settings of server.
struct server_settings {
  /// Largest body of a request, in bytes.
  std::size_t most_body_bytes = 1U << 20U;
  /// Largest head of a request, in bytes.
  std::size_t most_head_bytes = 16U << 10U;
  /// A connection on which nothing is asked is closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
  /// The same once the server refuses to keep connections, so that callers with an open one are served on.
  duration stopping_idle_timeout = std::chrono::seconds(60);
  /// Requests of one connection that are read before the first of them is answered.
  std::size_t most_pipelined = 64;
  /// Bytes of bodies, of those requests and of the answers that wait to be written, from which on no further
  /// request of the connection is read.
  std::size_t most_pipelined_bytes = 1U << 20U;
  /// Most connections at once; further ones are closed at once.
  int most_connections = 1024;
};

/// An HTTP/1.1 server on one address. Callers may send further requests before the first is answered.
class server {
 public:
  server(boost::asio::io_context& workers, const server_settings& settings, request_handler& handler);
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  /// Listens on "IP:PORT". False when the address can't be had.
  bool start(const std::string& address);
  /// Changes the bounds of settings while the server runs. Any thread may call it.
  void set_limits(std::size_t most_head_bytes, std::size_t most_body_bytes, duration idle_timeout);
  /// Closes each connection after its next answer, so that callers move on.
  void refuse_keep_alive();
  /// Takes the connections that wait, and then accepts no more.
  void stop();
  /// No answer is being written, and no caller is still taking the last one of its connection.
  bool has_written_all() const;
  /// The port that it listens on.
  int port() const;

 private:
  class listener;

  std::shared_ptr<listener> listener_;
};

}  // namespace nutmegarch::http
