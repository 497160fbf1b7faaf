#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "nutmegarch/core/message.h"
#include "nutmegarch/core/time.h"
#include "nutmegarch/policy/buffer_budget.h"

namespace nutmegarch::http {

/// Handles the requests of a server. Its functions are called on any worker thread, also concurrently.
class request_handler {
 public:
  /// Sends the answer to one request. Must be called at most once; any thread may call it, also after
  /// on_disconnect().
  using answer_callback = std::function<void(answer_message)>;

  request_handler() = default;
  request_handler(const request_handler&) = delete;
  request_handler& operator=(const request_handler&) = delete;
  virtual ~request_handler() = default;

  /// Called when a request has been read completely. `exchange_id` is unique in the process and identifies
  /// the request in on_disconnect().
  virtual void on_request(std::uint64_t exchange_id, request_message request, answer_callback answer) = 0;
  /// Called with an exchange id when the caller closed its connection before the request was answered.
  virtual void on_disconnect(std::uint64_t) {}
  /// Called with the answer's status and the parse error when a request could not be parsed.
  virtual void on_bad_request(int, const std::string&) {}
};

/// Settings of `server`.
struct server_settings {
  /// Maximum size of a request's body, in bytes.
  std::size_t max_body_bytes = 1U << 20U;
  /// Maximum size of a request's head, in bytes.
  std::size_t max_head_bytes = 16U << 10U;
  /// Connections without a request are closed after this time.
  duration idle_timeout = std::chrono::seconds(60);
  /// Idle timeout after server::disable_keep_alive(). Until then, a caller with an idle connection can still
  /// send a request on it.
  duration stopping_idle_timeout = std::chrono::seconds(60);
  /// Maximum number of requests of one connection that are read before the first of them is answered.
  std::size_t max_pipelined_requests = 64;
  /// No further request of a connection is read while its pending requests and the bodies of its unwritten
  /// answers have this many bytes or more.
  std::size_t max_pipelined_bytes = 1U << 20U;
  /// Maximum number of open connections. For a further one, the connection is closed that has waited longest
  /// for a complete request; without such a one, the further one.
  int max_connections = 1024;
  /// Byte budget of all callers together: requests that are being read or run, answers that are not written.
  /// Beyond it, the largest unfinished request is refused, or the connection with the largest answer closed.
  policy::buffer_budget_settings held = {64U << 20U, 16U << 10U};
};

/// Bytes of bodies that a server holds for its callers.
struct server_buffers {
  /// Requests that are being read.
  std::size_t unfinished_request_bytes = 0;
  /// Answers that have not been written completely.
  std::size_t unwritten_answer_bytes = 0;
  /// Number of requests refused and connections closed so far to stay within the budget or the number of
  /// connections; a count, not bytes.
  std::size_t evictions = 0;
};

/// HTTP/1.1 server on one address, with keep-alive and pipelining.
class server {
 public:
  /// `workers` runs all I/O. Both `workers` and `handler` must outlive the server and its connections.
  server(boost::asio::io_context& workers, const server_settings& settings, request_handler& handler);
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  ~server();

  /// Listens on `address`, "IP:PORT". Returns false if the address is invalid or can't be bound.
  bool start(const std::string& address);
  /// Changes limits while the server runs. Sizes are in bytes. Thread-safe.
  void set_limits(std::size_t max_head_bytes, std::size_t max_body_bytes, duration idle_timeout);
  /// Closes each connection after the answer to its last pending request, so that callers connect elsewhere.
  /// Thread-safe.
  void disable_keep_alive();
  /// Calls disable_keep_alive(), accepts the connections in the listen backlog and then closes the listening
  /// socket. Thread-safe.
  void stop();
  /// True if no answer is being written and no caller has yet to close after its connection's last answer.
  /// Thread-safe.
  bool has_no_pending_writes() const;
  /// Bytes held for callers now. Thread-safe.
  server_buffers buffers() const;
  /// The port that the server listens on; only after a successful start().
  int port() const;

 private:
  class listener;

  std::shared_ptr<listener> listener_;
};

}  // namespace nutmegarch::http
