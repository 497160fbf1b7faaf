#include "nutmegarch/http/client_pool.h"

#include <algorithm>
#include <charconv>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "nutmegarch/http/conversion.h"
#include "nutmegarch/http/socket_options.h"

namespace nutmegarch::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Answers below this status announce another one.
constexpr unsigned first_final_status = 200;
constexpr unsigned first_error_status = 400;
/// A connection is given up this much before the other end would close it.
constexpr duration idle_margin = std::chrono::milliseconds(500);

/// Largest read before the head of an answer is complete, in bytes.
constexpr std::size_t first_read_bytes = 2U << 10U;

/// A connection that waits for its next request.
struct idle_connection {
  stream_ptr stream;
  /// The other end may close it from here on.
  std::chrono::steady_clock::time_point expires;
};

/// True when the other end has neither closed the connection nor written what nobody asked for.
bool is_clean(tcp::socket& socket) {
  char byte = 0;
  beast::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

/// True when the next request may go over the connection.
bool is_usable(const idle_connection& idle, std::chrono::steady_clock::time_point now) {
  return now < idle.expires && is_clean(idle.stream->socket());
}

/// The idle time that an answer's Keep-Alive field allows; nothing when it names none.
std::optional<duration> keep_alive_of(const beast_response& answer) {
  constexpr std::string_view name = "timeout=";
  const std::string field(answer[beast::http::field::keep_alive]);
  const std::size_t begin = field.find(name);
  unsigned value = 0;
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const char* const digits = field.data() + begin + name.size();
  const std::from_chars_result parsed = std::from_chars(digits, field.data() + field.size(), value);
  return parsed.ec == std::errc() ? std::optional<duration>(std::chrono::seconds(value)) : std::nullopt;
}

/// Told how much the unfinished answer of an exchange holds.
class held_listener {
 public:
  held_listener() = default;
  held_listener(const held_listener&) = delete;
  held_listener& operator=(const held_listener&) = delete;
  virtual ~held_listener() = default;

  /// The answer counts for `bytes` now; `has_length`: its head tells how long it is. May give up this
  /// exchange or another one.
  virtual void on_held(std::uint64_t number, std::size_t bytes, bool has_length) = 0;
};

/// One request over one connection. All its members are used on its strand only.
class exchange final : public std::enable_shared_from_this<exchange> {
 public:
  using finished = std::function<void(exchange&, result<answer_message, client_error>, bool reusable)>;

  exchange(std::uint64_t number, stream_ptr stream, beast_request request, const client_settings& settings,
           std::shared_ptr<held_listener> listener, finished done)
      : number_(number),
        stream_(std::move(stream)),
        executor_(stream_->get_executor()),
        request_(std::move(request)),
        settings_(settings),
        listener_(std::move(listener)),
        done_(std::move(done)),
        buffer_(settings.answer.max_head_bytes),
        meter_(settings.answer),
        idle_timeout_(settings.idle_timeout) {}

  /// Connects first, unless the stream is connected.
  void start(const tcp::endpoint& address, duration timeout, bool is_connected) {
    deadline_ = std::chrono::steady_clock::now() + timeout;
    asio::dispatch(executor_, [self = shared_from_this(), address, is_connected]() {
      if (is_connected) {
        self->begin();
        return;
      }
      self->stream_->expires_at(
          std::min(self->deadline_, std::chrono::steady_clock::now() + self->settings_.connect_timeout));
      self->stream_->async_connect(address, [self](beast::error_code error) { self->on_connect(error); });
    });
  }

  void cancel() {
    asio::dispatch(executor_, [self = shared_from_this()]() {
      self->done_ = nullptr;
      if (self->stream_) {
        self->stream_->close();
      }
    });
  }

  /// Ends the exchange, since all unfinished answers hold too many bytes together.
  void give_up() {
    asio::dispatch(executor_,
                   [self = shared_from_this()]() { self->finish(client_error::over_budget, false); });
  }

  /// Hands the stream over; only for the callback.
  stream_ptr take_stream() { return std::move(stream_); }
  /// How long the other end keeps the connection open without a request.
  duration idle_timeout() const { return idle_timeout_; }

 private:
  void on_connect(beast::error_code error) {
    if (!done_) {
      return;
    }
    if (error) {
      finish(client_error::unreachable, false);
      return;
    }
    set_connection_options(stream_->socket());
    begin();
  }

  /// Writes and reads at once: an answer may come before the whole request was taken.
  void begin() {
    if (!done_) {
      return;
    }
    stream_->expires_at(deadline_);
    beast::http::async_write(*stream_, request_,
                             [self = shared_from_this()](beast::error_code error, std::size_t) {
                               // A failure shows at the reading side, unless an answer is there already.
                               self->is_written_ = !error;
                             });
    read();
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(settings_.most_body_bytes);
    parser_->header_limit(static_cast<std::uint32_t>(settings_.answer.max_head_bytes));
    parser_->eager(true);
    if (request_.method() == beast::http::verb::head) {
      parser_->skip(true);
    }
    parse();
  }

  /// Reads on. Small answers come with one read; the pieces of a body are as large as the buffer allows.
  void read_some() {
    const std::size_t room = buffer_.max_size() - buffer_.size();
    if (room == 0) {
      finish(client_error::malformed, false);
      return;
    }
    const std::size_t wanted = parser_->is_header_done() ? room : std::min(room, first_read_bytes);
    stream_->async_read_some(buffer_.prepare(wanted),
                             [self = shared_from_this()](beast::error_code error, std::size_t size) {
                               self->on_read_some(error, size);
                             });
  }

  void on_read_some(beast::error_code error, std::size_t size) {
    if (!done_) {
      return;
    }
    buffer_.commit(size);
    if (error == asio::error::eof && parser_->got_some()) {
      // Ends a body without length; whatever else is unfinished is cut off.
      error = {};
      parser_->put_eof(error);
    }
    if (error) {
      finish(error_of(error), false);
      return;
    }
    parse();
  }

  void parse() {
    beast::error_code error;
    while (!parser_->is_done() && buffer_.size() > 0 && !error) {
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      if (error && error != beast::http::error::need_more) {
        finish(error_of(error), false);
        return;
      }
      if (!meter_.on_read(used, parser_->get().body().size())) {
        finish(client_error::malformed, false);
        return;
      }
    }
    if (parser_->is_done()) {
      on_answer();
      return;
    }
    if (is_in_vain()) {
      finish(client_error::malformed, false);
      return;
    }
    count_held_bytes();
    if (done_) {
      read_some();
    }
  }

  void count_held_bytes() {
    const std::size_t counted = settings_.unfinished.charged_bytes(parser_->get().body().size());
    if (counted > counted_) {
      counted_ = counted;
      listener_->on_held(number_, counted, parser_->content_length().has_value());
    }
  }

  /// The rest of the answer can't make it one that is passed on: it has no length, and no answer can follow
  /// it.
  bool is_in_vain() const {
    if (!parser_->is_header_done() || !parser_->need_eof()) {
      return false;
    }
    const beast_response& answer = parser_->get();
    return !is_for_this_request(answer) || (!settings_.accepts_unframed && !answer.body().empty());
  }

  void on_answer() {
    const beast_response& answer = parser_->get();
    if (answer.result_int() < first_final_status) {
      read_next(meter_.on_interim_answer());
      return;
    }
    if (!is_for_this_request(answer)) {
      is_out_of_step_ = true;
      read_next(meter_.on_stale_answer());
      return;
    }
    // Without a length, only an orderly end of the connection shows that an answer is whole.
    const bool has_end = parser_->chunked() || parser_->content_length() || answer.body().empty();
    if (!has_end && !settings_.accepts_unframed) {
      finish(client_error::malformed, false);
      return;
    }
    const bool reusable =
        has_end && parser_->keep_alive() && buffer_.size() == 0 && is_written_ && !is_out_of_step_;
    idle_timeout_ = std::min(idle_timeout_, keep_alive_of(answer).value_or(idle_timeout_));
    finish(from_beast(parser_->release()), reusable);
  }

  void read_next(bool is_within_bounds) {
    if (is_within_bounds) {
      read();
    } else {
      finish(client_error::malformed, false);
    }
  }

  /// A refusal may lack the field, since the other end need not have read the request.
  bool is_for_this_request(const beast_response& answer) const {
    if (settings_.echoed_field.empty()) {
      return true;
    }
    const beast::string_view sent = request_[settings_.echoed_field];
    const beast::string_view echoed = answer[settings_.echoed_field];
    return sent == echoed || (echoed.empty() && answer.result_int() >= first_error_status);
  }

  static client_error error_of(beast::error_code error) {
    if (error == beast::error::timeout) {
      return client_error::timed_out;
    }
    if (error == beast::http::error::body_limit) {
      return client_error::too_large;
    }
    const bool is_parse_error =
        error.category() == make_error_code(beast::http::error::bad_method).category();
    const bool is_cut_off =
        error == beast::http::error::end_of_stream || error == beast::http::error::partial_message;
    return is_parse_error && !is_cut_off ? client_error::malformed : client_error::lost;
  }

  void finish(result<answer_message, client_error> outcome, bool reusable) {
    if (!done_) {
      return;
    }
    const finished done = std::move(done_);
    done_ = nullptr;
    done(*this, std::move(outcome), reusable);
  }

  std::uint64_t number_;
  /// Null once the exchange has ended.
  stream_ptr stream_;
  /// Outlives the stream, for those who cancel.
  beast::tcp_stream::executor_type executor_;
  beast_request request_;
  client_settings settings_;
  std::shared_ptr<held_listener> listener_;
  finished done_;
  std::chrono::steady_clock::time_point deadline_;
  beast::flat_buffer buffer_;
  std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
  policy::answer_limit_checker meter_;
  /// Bytes that the answer counted for when the listener was last told.
  std::size_t counted_ = 0;
  duration idle_timeout_;
  bool is_written_ = false;
  /// An answer to an earlier request has come over the connection.
  bool is_out_of_step_ = false;
};

}  // namespace

const char* name_of(client_error error) {
  switch (error) {
    case client_error::unreachable:
      return "unreachable";
    case client_error::lost:
      return "lost";
    case client_error::timed_out:
      return "timed_out";
    case client_error::too_large:
      return "too_large";
    case client_error::malformed:
      return "malformed";
    case client_error::over_budget:
      return "over_budget";
  }
  return "";
}

class client_pool::impl final : public held_listener, public std::enable_shared_from_this<client_pool::impl> {
 public:
  impl(asio::io_context& workers, const tcp::endpoint& address, const client_settings& settings)
      : workers_(workers), address_(address), settings_(settings), held_(settings.unfinished) {
    host_ = address.address().to_string() + ':' + std::to_string(address.port());
  }

  std::uint64_t send(const request_message& request, duration timeout, callback done) {
    stream_ptr stream;
    std::uint64_t number = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      number = ++last_number_;
      if (static_cast<int>(open_.size()) >= settings_.most_connections) {
        asio::post(workers_, [done = std::move(done)]() { done(client_error::unreachable); });
        return number;
      }
      stream = take_idle();
    }
    const bool is_connected = stream != nullptr;
    if (!is_connected) {
      stream = std::make_unique<beast::tcp_stream>(asio::make_strand(workers_));
    }
    const std::shared_ptr<exchange> made = std::make_shared<exchange>(
        number, std::move(stream), to_beast(request, host_), settings_, shared_from_this(),
        [self = shared_from_this(), number, done = std::move(done)](
            exchange& ended, result<answer_message, client_error> outcome, bool reusable) {
          self->release(number, ended, reusable);
          done(std::move(outcome));
        });
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_[number] = made;
    }
    made->start(address_, timeout, is_connected);
    return number;
  }

  void cancel(std::uint64_t number) {
    std::shared_ptr<exchange> cancelled;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      auto found = open_.find(number);
      if (found == open_.end()) {
        return;
      }
      cancelled = std::move(found->second);
      open_.erase(found);
      held_.release(number);
    }
    cancelled->cancel();
  }

  void connect_ahead(std::function<void(bool)> done) {
    const std::shared_ptr<beast::tcp_stream> stream =
        std::make_shared<beast::tcp_stream>(asio::make_strand(workers_));
    stream->expires_after(settings_.connect_timeout);
    stream->async_connect(
        address_, [self = shared_from_this(), stream, done = std::move(done)](beast::error_code error) {
          if (!error) {
            set_connection_options(stream->socket());
            const std::lock_guard<std::mutex> lock(self->mutex_);
            self->keep(std::make_unique<beast::tcp_stream>(std::move(*stream)), self->settings_.idle_timeout);
          }
          done(!error);
        });
  }

  void drop_idle() {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.clear();
  }

  void sweep_idle() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    idle_.erase(std::remove_if(idle_.begin(), idle_.end(),
                               [now](const idle_connection& idle) { return !is_usable(idle, now); }),
                idle_.end());
  }

  std::size_t unfinished_bytes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return held_.total();
  }

  void on_held(std::uint64_t number, std::size_t bytes, bool has_length) override {
    std::shared_ptr<exchange> given_up;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (open_.find(number) == open_.end()) {
        return;
      }
      const std::optional<std::uint64_t> largest = held_.update(number, bytes, has_length);
      if (largest) {
        given_up = open_.at(*largest);
      }
    }
    if (given_up) {
      given_up->give_up();
    }
  }

 private:
  /// The newest idle connection that is still good. Holds the lock.
  stream_ptr take_idle() {
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    while (!idle_.empty()) {
      idle_connection newest = std::move(idle_.back());
      idle_.pop_back();
      if (is_usable(newest, now)) {
        return std::move(newest.stream);
      }
    }
    return nullptr;
  }

  void release(std::uint64_t number, exchange& ended, bool reusable) {
    stream_ptr stream = ended.take_stream();
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(number);
    held_.release(number);
    if (reusable) {
      keep(std::move(stream), ended.idle_timeout());
    } else {
      stream->close();
    }
  }

  /// Keeps a connection for the next request, if there is room. Holds the lock.
  void keep(stream_ptr stream, duration idle_timeout) {
    if (static_cast<int>(idle_.size()) >= settings_.most_idle) {
      stream->close();
      return;
    }
    stream->expires_never();
    // The other end counts from an earlier moment on.
    const duration allowed = idle_timeout - std::min(idle_timeout / 5, idle_margin);
    idle_.push_back({std::move(stream), std::chrono::steady_clock::now() + allowed});
  }

  asio::io_context& workers_;
  tcp::endpoint address_;
  std::string host_;
  client_settings settings_;
  /// Guards what follows; no other lock is taken while it is held.
  mutable std::mutex mutex_;
  std::uint64_t last_number_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> open_;
  std::vector<idle_connection> idle_;
  /// What the answers of open exchanges hold.
  policy::buffer_budget held_;
};

client_pool::client_pool(asio::io_context& workers, const tcp::endpoint& address,
                         const client_settings& settings)
    : impl_(std::make_shared<impl>(workers, address, settings)) {}

client_pool::~client_pool() { impl_->drop_idle(); }

std::uint64_t client_pool::send(const request_message& request, duration timeout, callback done) {
  return impl_->send(request, timeout, std::move(done));
}

void client_pool::cancel(std::uint64_t number) { impl_->cancel(number); }

void client_pool::connect_ahead(std::function<void(bool)> done) { impl_->connect_ahead(std::move(done)); }

void client_pool::drop_idle() { impl_->drop_idle(); }

void client_pool::sweep_idle() { impl_->sweep_idle(); }

std::size_t client_pool::unfinished_bytes() const { return impl_->unfinished_bytes(); }

}  // namespace nutmegarch::http
