#include "nutmegarch/http/server.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/conversion.h"
#include "nutmegarch/http/problem.h"
#include "nutmegarch/http/socket_options.h"

namespace nutmegarch::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// A caller that does not take its answer for this long is cut off.
constexpr duration write_timeout = std::chrono::seconds(10);
/// How long a connection takes in what still comes from its caller after the last answer.
constexpr duration linger_timeout = std::chrono::seconds(1);
/// Bytes that are dropped in one step while a connection lingers.
constexpr std::size_t drop_bytes = 4096;
/// Time between two looks for idle connections.
constexpr duration sweep_interval = std::chrono::milliseconds(500);

std::uint64_t next_exchange() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

/// What sessions share with their listener.
struct shared_state {
  explicit shared_state(const server_settings& all)
      : settings(all),
        most_head_bytes(all.most_head_bytes),
        most_body_bytes(all.most_body_bytes),
        idle_timeout(all.idle_timeout.count()) {}

  const server_settings settings;
  /// Bounds that may change while the server runs; the timeout in nanoseconds.
  std::atomic<std::size_t> most_head_bytes;
  std::atomic<std::size_t> most_body_bytes;
  std::atomic<duration::rep> idle_timeout;
  request_handler* handler = nullptr;
  std::atomic<int> connections{0};
  /// Connections on which an answer is being written or the last one is still being taken.
  std::atomic<int> writing{0};
  std::atomic<bool> stopping{false};
};

/// One connection. Requests are read while earlier ones wait for their answers; answers leave in the order of
/// their requests. All its members are used on its strand only.
class session final : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::shared_ptr<shared_state> state)
      : stream_(std::move(socket)), state_(std::move(state)) {
    ++state_->connections;
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session() {
    note_writing(false);
    --state_->connections;
  }

  void start() {
    set_connection_options(stream_.socket());
    last_active_ = std::chrono::steady_clock::now();
    asio::dispatch(stream_.get_executor(), [self = shared_from_this()]() { self->read(); });
  }

  beast::tcp_stream::executor_type executor() { return stream_.get_executor(); }

  /// Closes the connection when nothing is asked on it for too long.
  void close_if_idle(std::chrono::steady_clock::time_point now, bool is_stopping) {
    if (is_lingering_) {
      if (now - last_active_ >= linger_timeout) {
        close();
      }
      return;
    }
    const bool is_quiet = slots_.empty() && !is_writing_;
    const duration allowed =
        is_stopping ? state_->settings.stopping_idle_timeout : duration(state_->idle_timeout.load());
    if (is_quiet && now - last_active_ >= allowed) {
      close();
    }
  }

 private:
  /// A request that is not answered yet, in its place.
  struct slot {
    std::uint64_t exchange = 0;
    bool keep_alive = true;
    std::optional<answer_message> answer;
    /// Of the bodies of the request and its answer.
    std::size_t bytes = 0;
  };

  bool has_read_enough() const {
    return slots_.size() >= state_->settings.most_pipelined ||
           (!slots_.empty() && held_bytes_ >= state_->settings.most_pipelined_bytes);
  }

  void read() {
    if (is_reading_ || is_closed_ || is_lingering_) {
      return;
    }
    if (!reads_on_ || has_read_enough()) {
      watch_for_disconnect();
      return;
    }
    is_reading_ = true;
    parser_.emplace();
    parser_->body_limit(state_->most_body_bytes.load());
    const std::size_t most_head_bytes = state_->most_head_bytes.load();
    parser_->header_limit(static_cast<std::uint32_t>(most_head_bytes));
    // Bounds chunk extensions and trailers, which the limits of the parser don't.
    buffer_.max_size(std::max(most_head_bytes, buffer_.size()));
    stream_.expires_never();
    beast::http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->on_read(error); });
  }

  void on_read(beast::error_code error) {
    is_reading_ = false;
    if (is_lingering_) {
      drop_input(error);
      return;
    }
    last_active_ = std::chrono::steady_clock::now();
    if (is_closed_) {
      return;
    }
    if (error) {
      refuse(error);
      return;
    }
    // No answer follows the last one, so this request is left to the caller's next connection.
    if (is_writing_ && closes_) {
      return;
    }
    beast_request request = parser_->release();
    const std::uint64_t exchange = next_exchange();
    slots_.push_back({exchange, request.keep_alive(), std::nullopt, request.body().size()});
    held_bytes_ += request.body().size();
    reads_on_ = request.keep_alive() && !state_->stopping;
    state_->handler->on_request(exchange, from_beast(std::move(request)),
                                [self = shared_from_this(), exchange](answer_message answer) {
                                  asio::dispatch(self->stream_.get_executor(),
                                                 [self, exchange, answer = std::move(answer)]() mutable {
                                                   self->answer(exchange, std::move(answer));
                                                 });
                                });
    read();
  }

  /// While no further request is read, only this shows that the caller has gone.
  void watch_for_disconnect() {
    if (is_watching_ || slots_.empty()) {
      return;
    }
    is_watching_ = true;
    stream_.socket().async_wait(tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
      self->is_watching_ = false;
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
      leave();
    }
  }

  /// Answers what could not be read, where that is of use to the caller.
  void refuse(beast::error_code error) {
    const bool is_parse_error =
        error.category() == make_error_code(beast::http::error::bad_method).category();
    if (!is_parse_error || error == beast::http::error::end_of_stream ||
        error == beast::http::error::partial_message) {
      leave();
      return;
    }
    const int status = error == beast::http::error::body_limit     ? 413
                       : error == beast::http::error::header_limit ? 431
                                                                   : 400;
    state_->handler->on_bad_request(status, error.message());
    answer_message problem = make_problem(status, phrase_of(status), error.message());
    if (status == 413) {
      problem = make_problem(call_outcome::not_run, call_reason::too_large, "");
    }
    reads_on_ = false;
    slots_.push_back({next_exchange(), false, std::move(problem), 0});
    write();
  }

  /// The caller has gone: nobody waits for the answers that are due.
  void leave() {
    close();
    abandon();
  }

  /// Ends the connection after the last answer. Closing it at once would reset it if the caller sends more,
  /// and what it has not read of the answer would be lost.
  void linger() {
    is_lingering_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (!is_reading_) {
      drop_input({});
    }
    abandon();
  }

  /// Reads on until the caller closes.
  void drop_input(beast::error_code error) {
    if (error) {
      close();
    }
    if (is_closed_) {
      return;
    }
    buffer_.clear();
    stream_.expires_never();
    stream_.async_read_some(
        buffer_.prepare(std::min(drop_bytes, buffer_.max_size())),
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->drop_input(failed); });
  }

  void abandon() {
    std::deque<slot> abandoned;
    abandoned.swap(slots_);
    for (const slot& due : abandoned) {
      if (!due.answer) {
        state_->handler->on_disconnect(due.exchange);
      }
    }
  }

  void answer(std::uint64_t exchange, answer_message content) {
    for (slot& due : slots_) {
      if (due.exchange == exchange && !due.answer) {
        due.bytes += content.body.size();
        held_bytes_ += content.body.size();
        due.answer = std::move(content);
        break;
      }
    }
    write();
  }

  void write() {
    if (is_writing_ || is_closed_ || is_lingering_ || slots_.empty() || !slots_.front().answer) {
      return;
    }
    is_writing_ = true;
    note_writing(true);
    // Only the last answer that is due may announce the end of the connection.
    if (state_->stopping) {
      reads_on_ = false;
    }
    const bool is_last = slots_.size() == 1 && !is_reading_part();
    closes_ = !slots_.front().keep_alive || (is_last && state_->stopping);
    response_ = to_beast(std::move(*slots_.front().answer), !closes_);
    stream_.expires_after(write_timeout);
    beast::http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->on_written(error); });
  }

  void on_written(beast::error_code error) {
    is_writing_ = false;
    note_writing(closes_ && !error);
    last_active_ = std::chrono::steady_clock::now();
    if (is_closed_) {
      return;
    }
    held_bytes_ -= slots_.front().bytes;
    slots_.pop_front();
    if (error) {
      leave();
      return;
    }
    if (closes_) {
      linger();
      return;
    }
    write();
    read();
  }

  /// Some of the next request has arrived.
  bool is_reading_part() const { return is_reading_ && (buffer_.size() > 0 || parser_->got_some()); }

  void close() {
    if (is_closed_) {
      return;
    }
    is_closed_ = true;
    note_writing(false);
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  /// Counts this connection among those that write, once.
  void note_writing(bool writes) {
    if (writes != is_counted_) {
      is_counted_ = writes;
      state_->writing += writes ? 1 : -1;
    }
  }

  beast::tcp_stream stream_;
  std::shared_ptr<shared_state> state_;
  beast::flat_buffer buffer_;
  std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
  beast_response response_;
  std::deque<slot> slots_;
  /// Bytes of all slots.
  std::size_t held_bytes_ = 0;
  std::chrono::steady_clock::time_point last_active_;
  bool is_reading_ = false;
  bool is_writing_ = false;
  bool is_watching_ = false;
  bool is_closed_ = false;
  /// Counted in shared_state::writing.
  bool is_counted_ = false;
  /// The last answer has been written, and the caller has not closed yet.
  bool is_lingering_ = false;
  /// Further requests are read from the connection.
  bool reads_on_ = true;
  /// The answer that is being written is the last one.
  bool closes_ = false;
};

}  // namespace

/// Accepts connections.
class server::listener final : public std::enable_shared_from_this<server::listener> {
 public:
  listener(asio::io_context& workers, const server_settings& settings, request_handler& handler)
      : workers_(workers),
        acceptor_(asio::make_strand(workers)),
        sweep_timer_(acceptor_.get_executor()),
        state_(std::make_shared<shared_state>(settings)) {
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
    sweep();
    return true;
  }

  void set_limits(std::size_t most_head_bytes, std::size_t most_body_bytes, duration idle_timeout) {
    state_->most_head_bytes = most_head_bytes;
    state_->most_body_bytes = most_body_bytes;
    state_->idle_timeout = idle_timeout.count();
  }

  void refuse_keep_alive() { state_->stopping = true; }

  void stop() {
    refuse_keep_alive();
    asio::post(acceptor_.get_executor(), [self = shared_from_this()]() { self->close(); });
  }

  bool has_written_all() const { return state_->writing == 0; }
  int port() const { return acceptor_.local_endpoint().port(); }

 private:
  /// Connections that the system has accepted would be cut off by closing, so they are taken first.
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

  /// Closes idle connections now and then.
  void sweep() {
    sweep_timer_.expires_after(sweep_interval);
    sweep_timer_.async_wait([weak = weak_from_this()](beast::error_code error) {
      const std::shared_ptr<listener> self = weak.lock();
      if (error || !self) {
        return;
      }
      self->close_idle();
      self->sweep();
    });
  }

  void close_idle() {
    std::vector<std::shared_ptr<session>> open;
    {
      const std::lock_guard<std::mutex> lock(sessions_mutex_);
      auto live = sessions_.begin();
      for (const std::weak_ptr<session>& known : sessions_) {
        if (std::shared_ptr<session> held = known.lock()) {
          open.push_back(std::move(held));
          *live++ = known;
        }
      }
      sessions_.erase(live, sessions_.end());
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (const std::shared_ptr<session>& known : open) {
      asio::dispatch(known->executor(), [known, now, is_stopping = state_->stopping.load()]() {
        known->close_if_idle(now, is_stopping);
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
    if (!error && state_->connections < state_->settings.most_connections) {
      open_session(std::move(socket));
    }
    accept();
  }

  asio::io_context& workers_;
  tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  std::shared_ptr<shared_state> state_;
  /// Guards the list; no other lock is taken while it is held.
  std::mutex sessions_mutex_;
  std::vector<std::weak_ptr<session>> sessions_;
};

server::server(asio::io_context& workers, const server_settings& settings, request_handler& handler)
    : listener_(std::make_shared<listener>(workers, settings, handler)) {}

server::~server() = default;

bool server::start(const std::string& address) { return listener_->start(address); }

void server::set_limits(std::size_t most_head_bytes, std::size_t most_body_bytes, duration idle_timeout) {
  listener_->set_limits(most_head_bytes, most_body_bytes, idle_timeout);
}

void server::refuse_keep_alive() { listener_->refuse_keep_alive(); }

void server::stop() { listener_->stop(); }

bool server::has_written_all() const { return listener_->has_written_all(); }

int server::port() const { return listener_->port(); }

}  // namespace nutmegarch::http
