#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "nutmegarch/core/message.h"
#include "nutmegarch/core/result.h"
#include "nutmegarch/core/time.h"
#include "nutmegarch/http/socket_options.h"
#include "nutmegarch/policy/answer_limit_checker.h"
#include "nutmegarch/policy/buffer_budget.h"

namespace nutmegarch::http {

/// Why a request got no answer.
enum class client_error : std::uint8_t {
  /// No connection could be established; nothing was written.
  unreachable,
  /// The connection ended before the answer was complete. Parts of the request may have been written.
  lost,
  /// The answer was not complete before the timeout.
  timed_out,
  /// The body of the answer exceeds client_settings::max_body_bytes.
  too_large,
  /// The answer is not valid HTTP, exceeds client_settings::answer_limits, or can't be told from a truncated
  /// one or from one to an earlier request.
  malformed,
  /// The unfinished answers of the pool exceeded their byte budget, and this one was chosen to be aborted.
  over_budget
};

/// The error's name in logs and metrics.
const char* name_of(client_error error);

/// Settings of client_pool.
struct client_settings {
  /// Maximum number of concurrent exchanges; further requests fail as unreachable.
  int max_connections = 900;
  /// Maximum number of idle connections that are kept open.
  int max_idle_connections = 256;
  duration connect_timeout = std::chrono::seconds(1);
  /// An answer that arrives in parts may take this long from its last part on, beyond the timeout of its
  /// request, and `max_progress_time` in total. 0: the timeout covers the whole answer.
  duration progress_time{};
  duration max_progress_time = std::chrono::seconds(30);
  /// When the system breaks a connection that has fallen silent.
  liveness_settings liveness;
  /// Maximum size of an answer's body, in bytes.
  std::size_t max_body_bytes = 1U << 20U;
  /// Limits of an answer's head and framing, and of the interim and stale answers before it.
  policy::answer_limits answer_limits;
  /// Byte budget of the unfinished answers of all connections together.
  policy::buffer_budget_settings unfinished_answers;
  /// Idle connections expire after this time, or after the timeout in the last answer's Keep-Alive field if
  /// that is shorter.
  duration idle_timeout = std::chrono::seconds(60);
  /// Name of a header field that the server copies from a request into its answer; empty if there is none. An
  /// answer with another value belongs to an earlier request: it is discarded, and its connection is not
  /// reused. A request is not sent over a connection that has carried a failure of a request with its value.
  /// An error without the field is accepted only if it is the first answer on its connection.
  std::string echoed_field;
  /// Accepts answers whose body ends with the connection (RFC 9112, 6.3); otherwise they are malformed.
  bool allow_close_delimited = false;
};

/// HTTP/1.1 client for one address, with a pool of persistent connections. A request is written at most once,
/// to one connection. A connection is closed, not reused, if its request was cancelled or timed out, or if
/// its answer was incomplete. An answer that can no longer become valid fails at once, and its connection is
/// closed. Thread-safe.
class client_pool {
 public:
  using callback = std::function<void(result<answer_message, client_error>)>;

  /// `workers` runs all I/O and callbacks.
  client_pool(boost::asio::io_context& workers, const boost::asio::ip::tcp::endpoint& address,
              const client_settings& settings);
  client_pool(const client_pool&) = delete;
  client_pool& operator=(const client_pool&) = delete;
  /// Closes the idle connections. Exchanges in progress go on, and their callbacks still run.
  ~client_pool();

  /// Sends a request. `timeout` covers connecting, writing and reading, but for
  /// client_settings::progress_time. `done` runs once, on a worker thread, unless the request is cancelled
  /// before. Returns a request id for cancel().
  std::uint64_t send(request_message request, duration timeout, callback done);

  /// Abandons a request: closes its connection and does not call its callback, unless the request has
  /// finished.
  void cancel(std::uint64_t request_id);

  /// Opens a connection and keeps it idle for the next request. `done` runs once, on a worker thread; its
  /// argument is true if the connection was established.
  void preconnect(std::function<void(bool)> done);

  /// Closes all idle connections, for example after a pause that may have broken them unnoticed.
  void close_idle_connections();

  /// Closes idle connections that the server has closed, that have expired, or on which the server has sent
  /// unrequested data. The owner has to call it periodically.
  void prune_idle_connections();

  /// How far the answer to a request in progress has arrived; nothing if it has ended or needs one read only.
  answer_progress progress_of(std::uint64_t request_id) const;

  /// Bytes of unfinished answers that count against client_settings::unfinished_answers.
  std::size_t unfinished_answer_bytes() const;

 private:
  class impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace nutmegarch::http
