#include "nutmegarch/http/server.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/message_parser.h"
#include "nutmegarch/http/message_writer.h"
#include "nutmegarch/http/problem.h"
#include "nutmegarch/http/socket_options.h"

namespace nutmegarch::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// A connection is closed when writing one answer to it takes longer than this.
constexpr duration write_timeout = std::chrono::seconds(10);
/// How long a connection reads and discards input after the last answer (lingering close).
constexpr duration linger_timeout = std::chrono::seconds(1);
/// Maximum size of one read, in bytes.
constexpr std::size_t max_read_bytes = 64U << 10U;
/// Maximum size of one read while a connection lingers, in bytes.
constexpr std::size_t discard_read_bytes = 4096;
/// Pause after a connection could not be accepted, for example for lack of descriptors.
constexpr duration accept_pause = std::chrono::milliseconds(50);
/// A string that grows holds up to twice its size.
constexpr std::size_t growth_factor = 2;
/// The part of a head that is not complete is held up to three times: while its buffer grows, and as a field.
constexpr std::size_t unparsed_factor = 3;
/// A connection frees its input buffer after a request if it is larger than this, in bytes.
constexpr std::size_t max_kept_input_bytes = 64U << 10U;
/// When the caller of a request that was refused for memory may come again, in seconds.
constexpr const char* memory_retry_after = "1";
/// Time between two checks for idle connections.
constexpr duration idle_check_interval = std::chrono::milliseconds(500);

std::uint64_t next_exchange_id() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

/// A connection that can be made to hold less.
class evictable_connection {
 public:
  evictable_connection() = default;
  evictable_connection(const evictable_connection&) = delete;
  evictable_connection& operator=(const evictable_connection&) = delete;
  virtual ~evictable_connection() = default;

  /// Refuses the request that is being read, or closes the connection. Thread-safe.
  virtual void evict() = 0;
};

/// State that a listener shares with its sessions.
struct server_state {
  explicit server_state(const server_settings& all)
      : settings(all),
        max_head_bytes(all.max_head_bytes),
        max_body_bytes(all.max_body_bytes),
        idle_timeout(all.idle_timeout.count()),
        held(all.held) {}

  const server_settings settings;
  /// Limits that server::set_limits() may change at any time; the timeout is in ticks of `duration`.
  std::atomic<std::size_t> max_head_bytes;
  std::atomic<std::size_t> max_body_bytes;
  std::atomic<duration::rep> idle_timeout;
  request_handler* handler = nullptr;
  std::atomic<int> connection_count{0};
  /// Number of connections on which an answer is being written, or whose caller has not closed after the last
  /// one.
  std::atomic<int> writing_count{0};
  std::atomic<std::size_t> unfinished_request_bytes{0};
  std::atomic<std::size_t> unwritten_answer_bytes{0};
  std::atomic<std::size_t> evictions{0};
  std::atomic<bool> stopping{false};

  /// Sets what a connection holds: `bytes` that it can be made to drop, and a change of those that it can't.
  /// Evicts another connection, or this one, when that is too much.
  void update_held(std::uint64_t holder, std::size_t bytes, bool has_length, std::ptrdiff_t pinned_change) {
    std::shared_ptr<evictable_connection> evicted;
    {
      const std::lock_guard<std::mutex> lock(held_mutex);
      held.add_pinned(pinned_change);
      const std::optional<std::uint64_t> largest = held.update(holder, bytes, has_length);
      auto found = largest ? connections.find(*largest) : connections.end();
      if (found != connections.end()) {
        evicted = found->second.lock();
      }
    }
    if (evicted) {
      ++evictions;
      evicted->evict();
    }
  }

  /// Guards the members below. No other lock is taken while it is held.
  std::mutex held_mutex;
  policy::buffer_budget held;
  /// Connections that hold bytes, by their number.
  std::unordered_map<std::uint64_t, std::weak_ptr<evictable_connection>> connections;
};

/// One connection. Requests are read while earlier ones wait for their answers (pipelining); answers are
/// written in the order of their requests. Members are accessed only on the stream's strand.
class session final : public evictable_connection, public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::shared_ptr<server_state> state)
      : stream_(std::move(socket)), state_(std::move(state)), number_(next_exchange_id()) {
    ++state_->connection_count;
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session() override {
    set_counted_as_writing(false);
    state_->unfinished_request_bytes -= unfinished_request_bytes_;
    state_->unwritten_answer_bytes -= answer_bytes_;
    --state_->connection_count;
    const std::lock_guard<std::mutex> lock(state_->held_mutex);
    state_->held.release(number_);
    state_->held.add_pinned(-static_cast<std::ptrdiff_t>(pinned_bytes_));
    state_->connections.erase(number_);
  }

  void start() {
    set_connection_options(stream_.socket());
    last_activity_ = std::chrono::steady_clock::now();
    waits_since_ = last_activity_.time_since_epoch().count();
    {
      const std::lock_guard<std::mutex> lock(state_->held_mutex);
      state_->connections[number_] = weak_from_this();
    }
    asio::dispatch(stream_.get_executor(), [self = shared_from_this()]() { self->read_request(); });
  }

  beast::tcp_stream::executor_type executor() { return stream_.get_executor(); }

  void evict() override {
    // Not at once: the connection itself may be in the middle of a change.
    asio::post(stream_.get_executor(), [self = shared_from_this()]() { self->drop_held(); });
  }

  /// Closes the connection if it still waits for a complete request. Thread-safe.
  void close_for_another() {
    // It is not chosen again.
    waits_since_ = 0;
    asio::dispatch(stream_.get_executor(), [self = shared_from_this()]() {
      if (self->pending_requests_.empty() && !self->is_writing_) {
        self->close();
      }
    });
  }

  /// Since when the connection waits for a complete request; nullopt while a request runs or is answered.
  /// Thread-safe.
  std::optional<std::chrono::steady_clock::time_point> waits_since() const {
    const std::chrono::steady_clock::rep since = waits_since_;
    return since == 0 ? std::nullopt
                      : std::optional<std::chrono::steady_clock::time_point>(
                            std::chrono::steady_clock::duration(since));
  }

  /// Closes the connection if it has been idle for the idle timeout, or has lingered for linger_timeout.
  void close_if_idle(std::chrono::steady_clock::time_point now, bool is_stopping) {
    if (is_lingering_) {
      if (now - last_activity_ >= linger_timeout) {
        close();
      }
      return;
    }
    const bool is_idle = pending_requests_.empty() && !is_writing_;
    const duration allowed =
        is_stopping ? state_->settings.stopping_idle_timeout : duration(state_->idle_timeout.load());
    if (is_idle && now - last_activity_ >= allowed) {
      close();
    }
  }

 private:
  /// A request whose answer has not been written.
  struct pending_request {
    std::uint64_t exchange_id = 0;
    bool keep_alive = true;
    std::optional<answer_message> answer;
    /// Bytes of the answer's body; kept while it is being written.
    std::size_t answer_bytes = 0;
    /// Bytes of the bodies of the request and its answer.
    std::size_t body_bytes = 0;
    /// Memory that the heads of the request and its answer use.
    std::size_t request_head_bytes = 0;
    std::size_t answer_head_bytes = 0;
  };

  bool is_pipeline_full() const {
    return pending_requests_.size() >= state_->settings.max_pipelined_requests ||
           (!pending_requests_.empty() &&
            pending_bytes_ + request_head_bytes_ >= state_->settings.max_pipelined_bytes);
  }

  void read_request() {
    if (is_reading_ || is_closed_ || is_lingering_) {
      return;
    }
    if (!is_accepting_requests_ || is_pipeline_full()) {
      watch_for_disconnect();
      return;
    }
    is_reading_ = true;
    parser_.emplace();
    parser_->body_limit(state_->max_body_bytes.load());
    const std::size_t max_head_bytes = state_->max_head_bytes.load();
    parser_->max_head_bytes(max_head_bytes);
    // Bounds chunk extensions and trailers, which the parser's own limits do not cover.
    buffer_.max_size(std::max(max_head_bytes, buffer_.size()));
    parser_->eager(true);
    stream_.expires_never();
    if (buffer_.size() == 0) {
      read_some();
      return;
    }
    // Not at once: the requests of a pipeline would be handled in each other's calls.
    asio::post(stream_.get_executor(), [self = shared_from_this()]() { self->on_read_some({}, 0); });
  }

  /// Reads once. Not with the library's function, which goes on until a whole field has come.
  void read_some() {
    const std::size_t size = beast::read_size(buffer_, max_read_bytes);
    if (size == 0) {
      finish_reading(beast::http::error::buffer_overflow);
      return;
    }
    stream_.async_read_some(buffer_.prepare(size),
                            [self = shared_from_this()](beast::error_code error, std::size_t received) {
                              self->on_read_some(error, received);
                            });
  }

  void on_read_some(beast::error_code error, std::size_t received) {
    buffer_.commit(received);
    if (is_refused_ && !is_closed_) {
      refuse_for_memory();
      return;
    }
    while (!error && !is_closed_ && !is_lingering_ && !parser_->is_done() && buffer_.size() > 0) {
      buffer_.consume(parser_->put(buffer_.data(), error));
    }
    if (error == beast::http::error::need_more) {
      error = {};
    }
    if (error == asio::error::eof) {
      error = beast::http::error::end_of_stream;
    }
    if (error || is_closed_ || is_lingering_ || parser_->is_done()) {
      finish_reading(error);
      return;
    }
    unfinished_head_bytes_ = parser_->head_bytes() + unparsed_factor * buffer_.size();
    set_unfinished_request_bytes(parser_->body_size());
    read_some();
  }

  void finish_reading(beast::error_code error) {
    unfinished_head_bytes_ = 0;
    set_unfinished_request_bytes(0);
    on_read(error);
  }

  void on_read(beast::error_code error) {
    is_reading_ = false;
    if (is_lingering_) {
      discard_input(error);
      return;
    }
    last_activity_ = std::chrono::steady_clock::now();
    if (is_closed_) {
      return;
    }
    if (error) {
      reject(error);
      return;
    }
    // The last answer of this connection is being written, so the caller has to repeat this request on
    // another one.
    if (is_writing_ && is_last_answer_) {
      return;
    }
    const std::uint64_t exchange_id = next_exchange_id();
    const bool keep_alive = parser_->keep_alive();
    const std::size_t body_bytes = parser_->body_size();
    const std::size_t head_bytes = parser_->head_bytes();
    request_message request = parser_->release();
    if (buffer_.size() == 0 && buffer_.capacity() > max_kept_input_bytes) {
      buffer_.shrink_to_fit();
    }
    pending_requests_.push_back({exchange_id, keep_alive, std::nullopt, 0, body_bytes, head_bytes});
    pending_bytes_ += body_bytes;
    request_head_bytes_ += head_bytes;
    update_held();
    is_accepting_requests_ = keep_alive && !state_->stopping;
    state_->handler->on_request(exchange_id, std::move(request),
                                [self = shared_from_this(), exchange_id](answer_message answer) {
                                  asio::dispatch(self->stream_.get_executor(),
                                                 [self, exchange_id, answer = std::move(answer)]() mutable {
                                                   self->store_answer(exchange_id, std::move(answer));
                                                 });
                                });
    read_request();
  }

  /// Makes this connection hold less: refuses the request that is being read if nothing else is going on,
  /// else closes the connection.
  void drop_held() {
    if (is_closed_ || is_lingering_ || is_refused_) {
      return;
    }
    if (is_reading_ && !is_writing_ && pending_requests_.empty()) {
      is_refused_ = true;
      stream_.cancel();
    } else {
      disconnect();
    }
  }

  /// Answers that the request that was being read has not run, and forgets it.
  void refuse_for_memory() {
    is_reading_ = false;
    is_accepting_requests_ = false;
    parser_.reset();
    buffer_ = beast::flat_buffer(buffer_.max_size());
    unfinished_head_bytes_ = 0;
    set_unfinished_request_bytes(0);
    answer_message problem = make_problem(call_outcome::not_run, call_reason::queue_full, "");
    set_header(problem.fields, "Retry-After", memory_retry_after);
    pending_requests_.push_back({next_exchange_id(), false, std::move(problem), 0, 0});
    write_answer();
  }

  /// Waits until the socket is readable, to notice a disconnect while no further request is being read.
  void watch_for_disconnect() {
    if (is_watching_for_disconnect_ || pending_requests_.empty()) {
      return;
    }
    is_watching_for_disconnect_ = true;
    stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
      self->is_watching_for_disconnect_ = false;
      self->on_readable(error);
    });
  }

  void on_readable(beast::error_code error) {
    if (error || is_closed_ || is_lingering_ || is_reading_) {
      return;
    }
    char byte = 0;
    beast::error_code peek_error;
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
    if (peek_error && peek_error != asio::error::would_block) {
      disconnect();
    }
  }

  /// Answers a request that could not be parsed with an error status, or disconnects if the connection has
  /// failed.
  void reject(beast::error_code error) {
    const bool is_parse_error =
        error.category() == make_error_code(beast::http::error::bad_method).category();
    if (!is_parse_error || error == beast::http::error::end_of_stream ||
        error == beast::http::error::partial_message) {
      disconnect();
      return;
    }
    const int status = error == beast::http::error::body_limit     ? 413
                       : error == beast::http::error::header_limit ? 431
                                                                   : 400;
    state_->handler->on_bad_request(status, error.message());
    answer_message problem = make_problem(status, reason_phrase_of(status), error.message());
    if (status == 413) {
      problem = make_problem(call_outcome::not_run, call_reason::too_large, "");
    }
    is_accepting_requests_ = false;
    pending_requests_.push_back({next_exchange_id(), false, std::move(problem), 0, 0});
    write_answer();
  }

  /// Closes the connection and reports the pending requests as abandoned.
  void disconnect() {
    close();
    abandon_pending_requests();
  }

  /// Shuts down the sending side after the last answer and discards input until the caller closes. Closing at
  /// once would reset the connection if the caller sends more, and the caller would lose the unread part of
  /// the answer.
  void linger() {
    is_lingering_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (!is_reading_) {
      discard_input({});
    }
    abandon_pending_requests();
  }

  /// Reads and discards input until the caller closes the connection.
  void discard_input(beast::error_code error) {
    if (error) {
      close();
    }
    if (is_closed_) {
      return;
    }
    buffer_.clear();
    stream_.expires_never();
    stream_.async_read_some(
        buffer_.prepare(std::min(discard_read_bytes, buffer_.max_size())),
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->discard_input(failed); });
  }

  void abandon_pending_requests() {
    std::deque<pending_request> abandoned;
    abandoned.swap(pending_requests_);
    for (const pending_request& pending : abandoned) {
      release(pending);
      if (!pending.answer) {
        state_->handler->on_disconnect(pending.exchange_id);
      }
    }
  }

  void store_answer(std::uint64_t exchange_id, answer_message content) {
    for (pending_request& pending : pending_requests_) {
      if (pending.exchange_id == exchange_id && !pending.answer) {
        pending.body_bytes += content.body.size();
        pending.answer_bytes = content.body.size();
        pending.answer_head_bytes = size_in_bytes(content) - content.body.size();
        answer_head_bytes_ += pending.answer_head_bytes;
        pending_bytes_ += content.body.size();
        add_answer_bytes(content.body.size());
        pending.answer = std::move(content);
        break;
      }
    }
    write_answer();
  }

  void write_answer() {
    if (is_writing_ || is_closed_ || is_lingering_ || pending_requests_.empty() ||
        !pending_requests_.front().answer) {
      return;
    }
    is_writing_ = true;
    set_counted_as_writing(true);
    // Only the answer to the last request that was read may carry "Connection: close".
    if (state_->stopping) {
      is_accepting_requests_ = false;
    }
    const bool is_last_pending = pending_requests_.size() == 1 && !has_partial_request();
    is_last_answer_ = !pending_requests_.front().keep_alive || (is_last_pending && state_->stopping);
    answer_message answer = std::move(*pending_requests_.front().answer);
    written_head_ = format_head(answer, !is_last_answer_);
    written_body_ = may_have_body(answer.status) ? std::move(answer.body) : std::string();
    stream_.expires_after(write_timeout);
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(written_head_),
                                                     asio::buffer(written_body_)};
    asio::async_write(
        stream_, parts, whole_writes,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->on_written(error); });
  }

  void on_written(beast::error_code error) {
    is_writing_ = false;
    set_counted_as_writing(is_last_answer_ && !error);
    last_activity_ = std::chrono::steady_clock::now();
    if (is_closed_) {
      return;
    }
    written_head_ = std::string();
    written_body_ = std::string();
    const pending_request written = std::move(pending_requests_.front());
    pending_requests_.pop_front();
    release(written);
    if (error) {
      disconnect();
      return;
    }
    if (is_last_answer_) {
      linger();
      return;
    }
    write_answer();
    read_request();
  }

  /// True if a part of the next request has been read.
  bool has_partial_request() const { return is_reading_ && (buffer_.size() > 0 || parser_->got_some()); }

  void close() {
    if (is_closed_) {
      return;
    }
    is_closed_ = true;
    set_counted_as_writing(false);
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  /// Sets this connection's part of server_state::unfinished_request_bytes.
  void set_unfinished_request_bytes(std::size_t bytes) {
    // Unsigned arithmetic wraps, so the difference may be negative.
    state_->unfinished_request_bytes += bytes - unfinished_request_bytes_;
    unfinished_request_bytes_ = bytes;
    update_held();
  }

  /// Tells the server what this connection holds, if that has changed noticeably.
  void update_held() {
    const bool has_length = !parser_ || !parser_->chunked();
    const std::size_t unfinished =
        unfinished_head_bytes_ + unfinished_request_bytes_ * (has_length ? 1 : growth_factor);
    const std::size_t answers = answer_head_bytes_ + answer_bytes_;
    const std::size_t bytes = state_->settings.held.charged_bytes(unfinished + answers);
    const std::size_t pinned =
        state_->settings.held.charged_bytes(request_head_bytes_ + pending_bytes_ - answer_bytes_);
    waits_since_ = pending_requests_.empty() && !is_writing_ ? last_activity_.time_since_epoch().count() : 0;
    if (bytes == held_bytes_ && pinned == pinned_bytes_) {
      return;
    }
    const std::ptrdiff_t pinned_change =
        static_cast<std::ptrdiff_t>(pinned) - static_cast<std::ptrdiff_t>(pinned_bytes_);
    held_bytes_ = bytes;
    pinned_bytes_ = pinned;
    state_->update_held(number_, bytes, has_length, pinned_change);
  }

  void add_answer_bytes(std::size_t bytes) {
    answer_bytes_ += bytes;
    state_->unwritten_answer_bytes += bytes;
    update_held();
  }

  /// The request was answered or abandoned.
  void release(const pending_request& ended) {
    pending_bytes_ -= ended.body_bytes;
    request_head_bytes_ -= ended.request_head_bytes;
    answer_head_bytes_ -= ended.answer_head_bytes;
    answer_bytes_ -= ended.answer_bytes;
    state_->unwritten_answer_bytes -= ended.answer_bytes;
    update_held();
  }

  /// Adds this connection to server_state::writing_count or removes it; does nothing if that is done already.
  void set_counted_as_writing(bool is_writing) {
    if (is_writing != is_counted_as_writing_) {
      is_counted_as_writing_ = is_writing;
      state_->writing_count += is_writing ? 1 : -1;
    }
  }

  beast::tcp_stream stream_;
  std::shared_ptr<server_state> state_;
  beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  /// The answer that is being written.
  std::string written_head_;
  std::string written_body_;
  std::deque<pending_request> pending_requests_;
  /// Sum of pending_request::body_bytes.
  std::size_t pending_bytes_ = 0;
  /// Sum of pending_request::answer_bytes.
  std::size_t answer_bytes_ = 0;
  /// Bytes of the body of the request that is being read, and memory that its head uses.
  std::size_t unfinished_request_bytes_ = 0;
  std::size_t unfinished_head_bytes_ = 0;
  /// Sums of pending_request::request_head_bytes and pending_request::answer_head_bytes.
  std::size_t request_head_bytes_ = 0;
  std::size_t answer_head_bytes_ = 0;
  /// Number of the connection in server_state.
  std::uint64_t number_;
  /// What server_state was told of this connection.
  std::size_t held_bytes_ = 0;
  std::size_t pinned_bytes_ = 0;
  /// Value of waits_since() in ticks of the clock; 0 for none.
  std::atomic<std::chrono::steady_clock::rep> waits_since_{0};
  std::chrono::steady_clock::time_point last_activity_;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_watching_for_disconnect_ = false;
  bool is_closed_ = false;
  /// True once the request that is being read was refused for memory.
  bool is_refused_ = false;
  /// True while this connection is counted in server_state::writing_count.
  bool is_counted_as_writing_ = false;
  /// True after the last answer has been written, until the caller closes.
  bool is_lingering_ = false;
  /// True while further requests are read from the connection.
  bool is_accepting_requests_ = true;
  /// True if the answer that is being written is the connection's last one.
  bool is_last_answer_ = false;
};

}  // namespace

/// Accepts connections and owns the list of their sessions.
class server::listener final : public std::enable_shared_from_this<server::listener> {
 public:
  listener(asio::io_context& workers, const server_settings& settings, request_handler& handler)
      : workers_(workers),
        acceptor_(asio::make_strand(workers)),
        idle_check_timer_(acceptor_.get_executor()),
        accept_timer_(acceptor_.get_executor()),
        state_(std::make_shared<server_state>(settings)) {
    state_->handler = &handler;
  }

  bool start(const std::string& address) {
    const std::optional<tcp::endpoint> endpoint = parse_address(address);
    if (!endpoint) {
      return false;
    }
    beast::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(*endpoint, error);
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return false;
    }
    accept();
    schedule_idle_check();
    return true;
  }

  void set_limits(std::size_t max_head_bytes, std::size_t max_body_bytes, duration idle_timeout) {
    state_->max_head_bytes = max_head_bytes;
    state_->max_body_bytes = max_body_bytes;
    state_->idle_timeout = idle_timeout.count();
  }

  void disable_keep_alive() { state_->stopping = true; }

  void stop() {
    disable_keep_alive();
    asio::post(acceptor_.get_executor(), [self = shared_from_this()]() { self->close(); });
  }

  bool has_no_pending_writes() const { return state_->writing_count == 0; }
  server_buffers buffers() const {
    return {state_->unfinished_request_bytes, state_->unwritten_answer_bytes, state_->evictions};
  }
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  /// Accepts the connections in the listen backlog before closing the acceptor, which would reset them.
  void close() {
    beast::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(asio::make_strand(workers_));
      acceptor_.accept(socket, error);
      if (!error) {
        open_session(std::move(socket));
      }
    }
    acceptor_.close(error);
  }

  void open_session(tcp::socket socket) {
    const std::shared_ptr<session> opened = std::make_shared<session>(std::move(socket), state_);
    {
      const std::lock_guard<std::mutex> lock(sessions_mutex_);
      sessions_.push_back(opened);
    }
    opened->start();
  }

  /// Closes idle connections every idle_check_interval, until the listener is destroyed.
  void schedule_idle_check() {
    idle_check_timer_.expires_after(idle_check_interval);
    idle_check_timer_.async_wait([weak = weak_from_this()](beast::error_code error) {
      const std::shared_ptr<listener> self = weak.lock();
      if (error || !self) {
        return;
      }
      self->close_idle_sessions();
      self->schedule_idle_check();
    });
  }

  void close_idle_sessions() {
    std::vector<std::shared_ptr<session>> open_sessions;
    {
      const std::lock_guard<std::mutex> lock(sessions_mutex_);
      auto live = sessions_.begin();
      for (const std::weak_ptr<session>& entry : sessions_) {
        if (std::shared_ptr<session> locked = entry.lock()) {
          open_sessions.push_back(std::move(locked));
          *live++ = entry;
        }
      }
      sessions_.erase(live, sessions_.end());
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (const std::shared_ptr<session>& opened : open_sessions) {
      asio::dispatch(opened->executor(), [opened, now, is_stopping = state_->stopping.load()]() {
        opened->close_if_idle(now, is_stopping);
      });
    }
  }

  void accept() {
    acceptor_.async_accept(asio::make_strand(workers_),
                           [self = shared_from_this()](beast::error_code error, tcp::socket socket) {
                             self->on_accept(error, std::move(socket));
                           });
  }

  void on_accept(beast::error_code error, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      // Without a pause the next attempt would fail at once, for as long as there are no descriptors.
      accept_timer_.expires_after(accept_pause);
      accept_timer_.async_wait([self = shared_from_this()](beast::error_code) { self->accept(); });
      return;
    }
    if (state_->connection_count < state_->settings.max_connections || evict_longest_waiting()) {
      open_session(std::move(socket));
    }
    accept();
  }

  /// Closes the connection that has waited longest for a complete request; false if there is none.
  bool evict_longest_waiting() {
    std::shared_ptr<session> longest;
    {
      const std::lock_guard<std::mutex> lock(sessions_mutex_);
      std::chrono::steady_clock::time_point earliest = std::chrono::steady_clock::time_point::max();
      for (const std::weak_ptr<session>& entry : sessions_) {
        const std::shared_ptr<session> candidate = entry.lock();
        const std::optional<std::chrono::steady_clock::time_point> since =
            candidate ? candidate->waits_since() : std::nullopt;
        if (since && *since < earliest) {
          earliest = *since;
          longest = candidate;
        }
      }
    }
    if (!longest) {
      return false;
    }
    ++state_->evictions;
    longest->close_for_another();
    return true;
  }

  asio::io_context& workers_;
  tcp::acceptor acceptor_;
  asio::steady_timer idle_check_timer_;
  asio::steady_timer accept_timer_;
  std::shared_ptr<server_state> state_;
  /// Guards sessions_. Innermost lock: no other one is taken while it is held.
  std::mutex sessions_mutex_;
  std::vector<std::weak_ptr<session>> sessions_;
};

server::server(asio::io_context& workers, const server_settings& settings, request_handler& handler)
    : listener_(std::make_shared<listener>(workers, settings, handler)) {}

server::~server() = default;

bool server::start(const std::string& address) { return listener_->start(address); }

void server::set_limits(std::size_t max_head_bytes, std::size_t max_body_bytes, duration idle_timeout) {
  listener_->set_limits(max_head_bytes, max_body_bytes, idle_timeout);
}

void server::disable_keep_alive() { listener_->disable_keep_alive(); }

void server::stop() { listener_->stop(); }

bool server::has_no_pending_writes() const { return listener_->has_no_pending_writes(); }

server_buffers server::buffers() const { return listener_->buffers(); }

int server::port() const { return listener_->port(); }

}  // namespace nutmegarch::http
