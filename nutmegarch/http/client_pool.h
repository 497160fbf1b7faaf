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
#include "nutmegarch/policy/answer_limit_checker.h"
#include "nutmegarch/policy/buffer_budget.h"

namespace nutmegarch::http {

/// Errors of the HTTP client.
enum class client_error : std::uint8_t {
  /// No connection came about: nothing was written.
  unreachable,
  /// The connection ended before the whole answer, after bytes may have been written.
  lost,
  /// The answer did not come in time.
  timed_out,
  /// The answer is larger than allowed.
  too_large,
  /// The answer is no HTTP, does not come to an end, or its end can't be told from a broken connection.
  malformed,
  /// All unfinished answers held too many bytes together, and this one held most.
  over_budget
};

/// The error as it is written in logs and metrics.
const char* name_of(client_error error);

/// Settings of client_pool.
struct client_settings {
  /// Most connections at once; further requests fail as unreachable.
  int most_connections = 900;
  /// Idle connections that are kept.
  int most_idle = 256;
  duration connect_timeout = std::chrono::seconds(1);
  /// Largest body of an answer, in bytes.
  std::size_t most_body_bytes = 1U << 20U;
  /// What else bounds an answer, and what may come before it.
  policy::answer_limits answer;
  /// What the unfinished answers of all connections may hold together.
  policy::buffer_budget_settings unfinished;
  /// Idle connections are closed after this time; sooner when an answer names a shorter one (Keep-Alive).
  duration idle_timeout = std::chrono::seconds(60);
  /// Name of a field that answers repeat from their request; empty when there is none. An answer with another
  /// value belongs to an earlier request: it is dropped, and its connection is not used again.
  std::string echoed_field;
  /// An answer without a length ends with its connection; else such an answer is malformed.
  bool accepts_unframed = false;
};

/// Pooled HTTP/1.1 connections to one address. A request is written once, to one connection; a connection
/// whose request was cancelled, timed out or answered in part is closed and never used again. An answer that
/// can no longer become one is given up at once, and its connection is closed.
class client_pool {
 public:
  using callback = std::function<void(result<answer_message, client_error>)>;

  client_pool(boost::asio::io_context& workers, const boost::asio::ip::tcp::endpoint& address,
              const client_settings& settings);
  client_pool(const client_pool&) = delete;
  client_pool& operator=(const client_pool&) = delete;
  ~client_pool();

  /// Sends a request. The callback runs once on a worker, unless the request is cancelled before.
  /// Returns a number for cancel().
  std::uint64_t send(const request_message& request, duration timeout, callback done);

  /// Nobody waits for the answer: closes the connection.
  void cancel(std::uint64_t number);

  /// Opens a connection and keeps it for the next request. `done` runs once on a worker and tells whether it
  /// came about.
  void connect_ahead(std::function<void(bool)> done);

  /// Closes the idle connections, since they may be dead.
  void drop_idle();

  /// Closes idle connections that have ended, have expired or carry bytes that nobody asked for. Its owner
  /// calls it now and then.
  void sweep_idle();

  /// Bytes of unfinished answers that count against `unfinished`.
  std::size_t unfinished_bytes() const;

 private:
  class impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace nutmegarch::http
