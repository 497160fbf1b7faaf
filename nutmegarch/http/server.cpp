#include "nutmegarch/http/server.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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

namespace nutmegarch::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

/// A caller that does not take its answer for this long is cut off.
constexpr duration write_timeout = std::chrono::seconds(10);

std::uint64_t next_exchange() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

/// What sessions share with their listener.
struct shared_state {
  server_settings settings;
  request_handler* handler = nullptr;
  std::atomic<int> connections{0};
  std::atomic<bool> stopping{false};
};

/// One connection. All its members are used on its strand only.
class session final : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::shared_ptr<shared_state> state)
      : stream_(std::move(socket)), state_(std::move(state)) {
    ++state_->connections;
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session() { --state_->connections; }

  void start() {
    beast::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    asio::dispatch(stream_.get_executor(), [self = shared_from_this()]() { self->read(); });
  }

 private:
  void read() {
    parser_.emplace();
    parser_->body_limit(state_->settings.most_body_bytes);
    parser_->header_limit(static_cast<std::uint32_t>(state_->settings.most_head_bytes));
    stream_.expires_after(state_->settings.idle_timeout);
    beast::http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) { self->on_read(error); });
  }

  void on_read(beast::error_code error) {
    if (error) {
      refuse(error);
      return;
    }
    beast_request request = parser_->release();
    keep_alive_ = request.keep_alive();
    exchange_ = next_exchange();
    is_waiting_ = true;
    stream_.expires_never();
    watch_for_disconnect();
    state_->handler->on_request(exchange_, from_beast(std::move(request)),
                                [self = shared_from_this(), exchange = exchange_](answer_message answer) {
                                  asio::post(self->stream_.get_executor(),
                                             [self, exchange, answer = std::move(answer)]() mutable {
                                               self->answer(exchange, std::move(answer));
                                             });
                                });
  }

  /// Answers what could not be read, where that is of use to the caller.
  void refuse(beast::error_code error) {
    const bool is_parse_error =
        error.category() == make_error_code(beast::http::error::bad_method).category();
    if (!is_parse_error || error == beast::http::error::end_of_stream ||
        error == beast::http::error::partial_message) {
      close();
      return;
    }
    const int status = error == beast::http::error::body_limit     ? 413
                       : error == beast::http::error::header_limit ? 431
                                                                   : 400;
    state_->handler->on_bad_request(status, error.message());
    keep_alive_ = false;
    answer_message problem = make_problem(status, phrase_of(status), error.message());
    if (status == 413) {
      problem = make_problem(call_outcome::not_run, call_reason::too_large, "");
    }
    write(std::move(problem));
  }

  /// While the answer is awaited, readability means the end of the connection or the next request.
  void watch_for_disconnect() {
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = shared_from_this(), exchange = exchange_](beast::error_code error) {
                                  self->on_readable(exchange, error);
                                });
  }

  void on_readable(std::uint64_t exchange, beast::error_code error) {
    if (error || !is_waiting_ || exchange != exchange_) {
      return;
    }
    char byte = 0;
    beast::error_code peek_error;
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
    if (!peek_error) {
      return;
    }
    is_waiting_ = false;
    state_->handler->on_disconnect(exchange);
    close();
  }

  void answer(std::uint64_t exchange, answer_message content) {
    if (!is_waiting_ || exchange != exchange_) {
      return;
    }
    is_waiting_ = false;
    // Ends the wait for a disconnect.
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
    write(std::move(content));
  }

  void write(answer_message content) {
    const bool keep_alive = keep_alive_ && !state_->stopping;
    response_ = to_beast(std::move(content), keep_alive);
    stream_.expires_after(write_timeout);
    beast::http::async_write(stream_, response_,
                             [self = shared_from_this(), keep_alive](beast::error_code error, std::size_t) {
                               if (error || !keep_alive) {
                                 self->close();
                                 return;
                               }
                               self->read();
                             });
  }

  void close() {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  beast::tcp_stream stream_;
  std::shared_ptr<shared_state> state_;
  beast::flat_buffer buffer_;
  std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
  beast_response response_;
  std::uint64_t exchange_ = 0;
  bool is_waiting_ = false;
  bool keep_alive_ = true;
};

}  // namespace

/// Accepts connections.
class server::listener final : public std::enable_shared_from_this<server::listener> {
 public:
  listener(asio::io_context& workers, const server_settings& settings, request_handler& handler)
      : workers_(workers), acceptor_(asio::make_strand(workers)), state_(std::make_shared<shared_state>()) {
    state_->settings = settings;
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
    return true;
  }

  void refuse_keep_alive() { state_->stopping = true; }

  void stop() {
    refuse_keep_alive();
    asio::post(acceptor_.get_executor(), [self = shared_from_this()]() { self->close(); });
  }

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
        std::make_shared<session>(std::move(socket), state_)->start();
      }
    }
    acceptor_.close(error);
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
      std::make_shared<session>(std::move(socket), state_)->start();
    }
    accept();
  }

  asio::io_context& workers_;
  tcp::acceptor acceptor_;
  std::shared_ptr<shared_state> state_;
};

server::server(asio::io_context& workers, const server_settings& settings, request_handler& handler)
    : listener_(std::make_shared<listener>(workers, settings, handler)) {}

server::~server() = default;

bool server::start(const std::string& address) { return listener_->start(address); }

void server::refuse_keep_alive() { listener_->refuse_keep_alive(); }

void server::stop() { listener_->stop(); }

int server::port() const { return listener_->port(); }

}  // namespace nutmegarch::http
