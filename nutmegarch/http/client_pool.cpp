#include "nutmegarch/http/client_pool.h"

#include <algorithm>
#include <array>
#include <atomic>
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
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include "nutmegarch/core/hash.h"
#include "nutmegarch/http/message_parser.h"
#include "nutmegarch/http/message_writer.h"

namespace nutmegarch::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using stream_ptr = std::unique_ptr<beast::tcp_stream>;

/// Lowest status of a final answer; those below it are interim answers (1xx).
constexpr unsigned first_final_status = 200;
/// Lowest status of all answers, and lowest number above them.
constexpr unsigned first_status = 100;
constexpr unsigned end_of_statuses = 600;
/// No request asks for another protocol, so that an answer with this status is none.
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_error_status = 400;
/// An idle connection expires here this long before the server would close it, so that a request does not
/// cross the server's close on the way.
constexpr duration idle_timeout_margin = std::chrono::milliseconds(500);

/// Largest single read, in bytes, while the head of an answer is incomplete.
constexpr std::size_t max_head_read_bytes = 2U << 10U;

/// A connection that has carried this many failures is closed, so that the memory for their ids is bounded.
constexpr std::size_t max_remembered_failures = 64;

/// Which request an answer belongs to.
enum class answer_owner : std::uint8_t {
  this_request,
  earlier_request,
  /// The answer does not say, and may be one to an earlier request.
  unclear
};

/// True if a server may answer with this status.
bool is_status_of_answer(unsigned status) {
  return status >= first_status && status < end_of_statuses && status != status_switching_protocols;
}

/// What a connection has carried that a faulty server may repeat on it.
struct connection_history {
  bool has_answered = false;
  /// Hashes of the echoed values of the requests that were answered with an error status. A request with one
  /// of these values must not use the connection, because a repeated answer could not be told from its own.
  std::vector<std::uint64_t> failed_ids;
};

/// A pooled connection with no exchange in progress.
struct idle_connection {
  stream_ptr stream;
  connection_history history;
  /// The server may close the connection from this time on.
  std::chrono::steady_clock::time_point expiry;
};

/// True if the server has neither closed the connection nor sent data that no request asked for.
bool is_open_without_input(tcp::socket& socket) {
  char byte = 0;
  beast::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

/// True if the connection can carry the next request.
bool is_usable(const idle_connection& idle, std::chrono::steady_clock::time_point now) {
  return now < idle.expiry && is_open_without_input(idle.stream->socket());
}

/// Hash of the value that the server has to copy into its answer; empty if there is none.
std::optional<std::uint64_t> id_of(const request_message& request, const client_settings& settings) {
  const std::string sent =
      settings.echoed_field.empty() ? std::string() : find_header(request.fields, settings.echoed_field);
  return sent.empty() ? std::nullopt : std::optional<std::uint64_t>(hash_text(sent));
}

/// The "timeout" parameter of an answer's Keep-Alive field; empty if it has none.
std::optional<duration> keep_alive_timeout_of(const answer_parser& answer) {
  constexpr std::string_view name = "timeout=";
  const std::string& field = answer.keep_alive_parameters();
  const std::size_t begin = field.find(name);
  unsigned value = 0;
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  const char* const digits = field.data() + begin + name.size();
  const std::from_chars_result parsed = std::from_chars(digits, field.data() + field.size(), value);
  return parsed.ec == std::errc() ? std::optional<duration>(std::chrono::seconds(value)) : std::nullopt;
}

/// Is notified of the memory that the unfinished answer of an exchange uses.
class answer_size_listener {
 public:
  answer_size_listener() = default;
  answer_size_listener(const answer_size_listener&) = delete;
  answer_size_listener& operator=(const answer_size_listener&) = delete;
  virtual ~answer_size_listener() = default;

  /// The unfinished answer to the request now counts as `bytes`. `is_length_known`: the answer has a
  /// Content-Length. The listener may abort this exchange or another one.
  virtual void on_answer_size(std::uint64_t request_id, std::size_t bytes, bool is_length_known) = 0;
};

/// One request with its answer, over one connection. All members are accessed only on the stream's strand.
class exchange final : public std::enable_shared_from_this<exchange> {
 public:
  using completion_handler =
      std::function<void(exchange&, result<answer_message, client_error>, bool reusable)>;

  /// `id` is the hash of the request's echoed value, if it has one. `default_host` is the Host field of a
  /// request without an authority.
  exchange(std::uint64_t request_id, idle_connection connection, std::optional<std::uint64_t> id,
           request_message request, const std::string& default_host, const client_settings& settings,
           std::shared_ptr<answer_size_listener> listener, completion_handler done)
      : request_id_(request_id),
        stream_(std::move(connection.stream)),
        history_(std::move(connection.history)),
        id_(id),
        executor_(stream_->get_executor()),
        request_head_(format_head(request, default_host)),
        is_head_request_(request.method == "HEAD"),
        echoed_value_(settings.echoed_field.empty() ? std::string()
                                                    : find_header(request.fields, settings.echoed_field)),
        request_body_(std::move(request.body)),
        settings_(settings),
        listener_(std::move(listener)),
        done_(std::move(done)),
        buffer_(settings.answer_limits.max_head_bytes),
        meter_(settings.answer_limits),
        idle_timeout_(settings.idle_timeout) {}

  /// Sends the request, after connecting to `address` unless the stream is connected already. The timeout
  /// covers the whole exchange. Thread-safe.
  void start(const tcp::endpoint& address, duration timeout, bool is_connected) {
    deadline_ = std::chrono::steady_clock::now() + timeout;
    asio::dispatch(executor_, [self = shared_from_this(), address, is_connected]() {
      if (is_connected) {
        self->start_request();
        return;
      }
      self->stream_->expires_at(
          std::min(self->deadline_, std::chrono::steady_clock::now() + self->settings_.connect_timeout));
      self->stream_->async_connect(address, [self](beast::error_code error) { self->on_connect(error); });
    });
  }

  /// Closes the connection without calling the completion handler. Thread-safe.
  void cancel() {
    asio::dispatch(executor_, [self = shared_from_this()]() {
      self->done_ = nullptr;
      if (self->stream_) {
        self->stream_->close();
      }
    });
  }

  /// Fails the exchange because the unfinished answers of all exchanges exceed their budget. Thread-safe.
  void abort_over_budget() {
    asio::dispatch(executor_,
                   [self = shared_from_this()]() { self->complete(client_error::over_budget, false); });
  }

  /// Thread-safe.
  answer_progress progress() const { return {received_bytes_, time_point(duration(last_received_))}; }

  /// Transfers ownership of the stream. Only the completion handler may call it.
  stream_ptr take_stream() { return std::move(stream_); }
  /// What the connection has carried. Only the completion handler may call it.
  connection_history take_history() { return std::move(history_); }
  /// How long the server keeps the connection open without a request.
  duration idle_timeout() const { return idle_timeout_; }

 private:
  void on_connect(beast::error_code error) {
    if (!done_) {
      return;
    }
    if (error) {
      complete(client_error::unreachable, false);
      return;
    }
    set_connection_options(stream_->socket(), settings_.liveness);
    start_request();
  }

  /// Starts writing and reading at the same time, since the server may answer before it has read the whole
  /// request.
  void start_request() {
    if (!done_) {
      return;
    }
    stream_->expires_at(deadline_);
    const std::array<asio::const_buffer, 2> parts = {asio::buffer(request_head_),
                                                     asio::buffer(request_body_)};
    asio::async_write(*stream_, parts, whole_writes,
                      [self = shared_from_this()](beast::error_code error, std::size_t) {
                        // A write error is not reported here: either the read fails too, or an answer has
                        // arrived already.
                        self->is_written_ = !error;
                      });
    read_answer();
  }

  void read_answer() {
    parser_.emplace();
    parser_->body_limit(settings_.max_body_bytes);
    parser_->max_head_bytes(settings_.answer_limits.max_head_bytes);
    parser_->eager(true);
    if (is_head_request_) {
      parser_->skip(true);
    }
    parse_input();
  }

  /// Reads once: up to max_head_read_bytes for the head, which is enough for all of a small answer, and as
  /// much as the buffer can hold for a body.
  void read_some() {
    const std::size_t room = buffer_.max_size() - buffer_.size();
    if (room == 0) {
      complete(client_error::malformed, false);
      return;
    }
    const std::size_t wanted = parser_->is_header_done() ? room : std::min(room, max_head_read_bytes);
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
    received_bytes_ += size;
    if (error == asio::error::eof && parser_->got_some()) {
      // The end of the connection ends a close-delimited body; any other incomplete answer becomes an error.
      error = {};
      parser_->put_eof(error);
    }
    if (error) {
      complete(error_of(error), false);
      return;
    }
    parse_input();
  }

  void parse_input() {
    beast::error_code error;
    while (!parser_->is_done() && buffer_.size() > 0 && !error) {
      const std::size_t used = parser_->put(buffer_.data(), error);
      buffer_.consume(used);
      if (error && error != beast::http::error::need_more) {
        complete(error_of(error), false);
        return;
      }
      if (!meter_.on_read(used, parser_->body_size())) {
        complete(client_error::malformed, false);
        return;
      }
    }
    if (parser_->is_done()) {
      on_answer();
      return;
    }
    if (is_answer_unusable()) {
      complete(client_error::malformed, false);
      return;
    }
    report_answer_size();
    if (done_) {
      note_progress();
      read_some();
    }
  }

  /// Remembers that a part of the answer has arrived, and gives the rest time.
  void note_progress() {
    if (received_bytes_ == 0) {
      return;
    }
    last_received_ = system_time_source().now().time_since_epoch().count();
    if (settings_.progress_time > duration{}) {
      const std::chrono::steady_clock::time_point wanted =
          std::chrono::steady_clock::now() + settings_.progress_time;
      stream_->expires_at(std::max(deadline_, std::min(wanted, deadline_ + settings_.max_progress_time)));
    }
  }

  void report_answer_size() {
    const std::size_t counted_bytes =
        settings_.unfinished_answers.charged_bytes(parser_->head_bytes() + parser_->body_size());
    if (counted_bytes > reported_bytes_) {
      reported_bytes_ = counted_bytes;
      listener_->on_answer_size(request_id_, counted_bytes, parser_->content_length().has_value());
    }
  }

  /// True if the answer is close-delimited, so that no other answer can follow it on the connection, and must
  /// be rejected whatever the rest of it is.
  bool is_answer_unusable() const {
    if (!parser_->is_header_done() || !parser_->need_eof()) {
      return false;
    }
    return owner_of(*parser_) != answer_owner::this_request ||
           (!settings_.allow_close_delimited && parser_->body_size() > 0);
  }

  void on_answer() {
    const answer_parser& answer = *parser_;
    if (!is_status_of_answer(answer.status())) {
      complete(client_error::malformed, false);
      return;
    }
    if (answer.status() < first_final_status) {
      read_next_answer(meter_.on_interim_answer());
      return;
    }
    switch (owner_of(answer)) {
      case answer_owner::this_request:
        break;
      case answer_owner::earlier_request:
        is_out_of_sync_ = true;
        read_next_answer(meter_.on_stale_answer());
        return;
      case answer_owner::unclear:
        complete(client_error::malformed, false);
        return;
    }
    // Without chunked encoding or Content-Length, only an orderly close shows that the answer is complete,
    // unless its status or the request's method excludes a body.
    const bool is_delimited = !parser_->need_eof();
    if (!is_delimited && !settings_.allow_close_delimited) {
      complete(client_error::malformed, false);
      return;
    }
    if (id_ && answer.status() >= first_error_status) {
      history_.failed_ids.push_back(*id_);
    }
    history_.has_answered = true;
    const bool reusable = is_delimited && parser_->keep_alive() && buffer_.size() == 0 && is_written_ &&
                          !is_out_of_sync_ && history_.failed_ids.size() < max_remembered_failures;
    idle_timeout_ = std::min(idle_timeout_, keep_alive_timeout_of(answer).value_or(idle_timeout_));
    complete(parser_->release(), reusable);
  }

  void read_next_answer(bool is_within_bounds) {
    if (is_within_bounds) {
      read_answer();
    } else {
      complete(client_error::malformed, false);
    }
  }

  /// An error answer may lack the echoed field, since the server may send it without having read the request.
  /// On a connection that has carried another answer, it may also be a repetition of that one.
  answer_owner owner_of(const answer_parser& answer) const {
    if (settings_.echoed_field.empty()) {
      return answer_owner::this_request;
    }
    const std::string echoed = answer.find_field(settings_.echoed_field);
    const bool may_lack_field = echoed_value_.empty() || answer.status() >= first_error_status;
    if (echoed.empty() && may_lack_field) {
      const bool is_first = !history_.has_answered && !is_out_of_sync_;
      return is_first ? answer_owner::this_request : answer_owner::unclear;
    }
    return echoed_value_ == echoed ? answer_owner::this_request : answer_owner::earlier_request;
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

  void complete(result<answer_message, client_error> outcome, bool reusable) {
    if (!done_) {
      return;
    }
    const completion_handler done = std::move(done_);
    done_ = nullptr;
    done(*this, std::move(outcome), reusable);
  }

  std::uint64_t request_id_;
  /// Null once the exchange has ended.
  stream_ptr stream_;
  connection_history history_;
  std::optional<std::uint64_t> id_;
  /// Kept separately because cancel() and abort_over_budget() may be called when the stream is gone.
  beast::tcp_stream::executor_type executor_;
  std::string request_head_;
  bool is_head_request_;
  /// Value that the server has to copy into its answer; empty if there is none.
  std::string echoed_value_;
  std::string request_body_;
  client_settings settings_;
  std::shared_ptr<answer_size_listener> listener_;
  completion_handler done_;
  std::chrono::steady_clock::time_point deadline_;
  beast::flat_buffer buffer_;
  std::optional<answer_parser> parser_;
  policy::answer_limit_checker meter_;
  /// Bytes that the listener was last notified of.
  std::size_t reported_bytes_ = 0;
  duration idle_timeout_;
  std::atomic<std::size_t> received_bytes_{0};
  std::atomic<duration::rep> last_received_{0};
  bool is_written_ = false;
  /// True if the connection has carried an answer to an earlier request.
  bool is_out_of_sync_ = false;
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

class client_pool::impl final : public answer_size_listener,
                                public std::enable_shared_from_this<client_pool::impl> {
 public:
  impl(asio::io_context& workers, const tcp::endpoint& address, const client_settings& settings)
      : workers_(workers),
        address_(address),
        settings_(settings),
        unfinished_answers_(settings.unfinished_answers) {
    default_host_ = address.address().to_string() + ':' + std::to_string(address.port());
  }

  std::uint64_t send(request_message request, duration timeout, callback done) {
    const std::optional<std::uint64_t> id = id_of(request, settings_);
    idle_connection taken;
    std::uint64_t request_id = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      request_id = ++last_request_id_;
      if (static_cast<int>(exchanges_.size()) >= settings_.max_connections) {
        asio::post(workers_, [done = std::move(done)]() { done(client_error::unreachable); });
        return request_id;
      }
      taken = take_idle_connection(id);
    }
    const bool is_connected = taken.stream != nullptr;
    if (!is_connected) {
      taken.stream = std::make_unique<beast::tcp_stream>(asio::make_strand(workers_));
    }
    const std::shared_ptr<exchange> created = std::make_shared<exchange>(
        request_id, std::move(taken), id, std::move(request), default_host_, settings_, shared_from_this(),
        [self = shared_from_this(), request_id, done = std::move(done)](
            exchange& ended, result<answer_message, client_error> outcome, bool reusable) {
          self->finish_exchange(request_id, ended, reusable);
          done(std::move(outcome));
        });
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      exchanges_[request_id] = created;
    }
    created->start(address_, timeout, is_connected);
    return request_id;
  }

  void cancel(std::uint64_t request_id) {
    std::shared_ptr<exchange> cancelled;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      auto found = exchanges_.find(request_id);
      if (found == exchanges_.end()) {
        return;
      }
      cancelled = std::move(found->second);
      exchanges_.erase(found);
      unfinished_answers_.release(request_id);
    }
    cancelled->cancel();
  }

  void preconnect(std::function<void(bool)> done) {
    const std::shared_ptr<beast::tcp_stream> stream =
        std::make_shared<beast::tcp_stream>(asio::make_strand(workers_));
    stream->expires_after(settings_.connect_timeout);
    stream->async_connect(
        address_, [self = shared_from_this(), stream, done = std::move(done)](beast::error_code error) {
          if (!error) {
            set_connection_options(stream->socket(), self->settings_.liveness);
            const std::lock_guard<std::mutex> lock(self->mutex_);
            self->store_idle_connection(std::make_unique<beast::tcp_stream>(std::move(*stream)), {},
                                        self->settings_.idle_timeout);
          }
          done(!error);
        });
  }

  void close_idle_connections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_connections_.clear();
  }

  void prune_idle_connections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    idle_connections_.erase(
        std::remove_if(idle_connections_.begin(), idle_connections_.end(),
                       [now](const idle_connection& idle) { return !is_usable(idle, now); }),
        idle_connections_.end());
  }

  answer_progress progress_of(std::uint64_t request_id) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto found = exchanges_.find(request_id);
    return found == exchanges_.end() ? answer_progress() : found->second->progress();
  }

  std::size_t unfinished_answer_bytes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return unfinished_answers_.total();
  }

  void on_answer_size(std::uint64_t request_id, std::size_t bytes, bool is_length_known) override {
    std::shared_ptr<exchange> aborted;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (exchanges_.find(request_id) == exchanges_.end()) {
        return;
      }
      const std::optional<std::uint64_t> largest =
          unfinished_answers_.update(request_id, bytes, is_length_known);
      if (largest) {
        aborted = exchanges_.at(*largest);
      }
    }
    if (aborted) {
      aborted->abort_over_budget();
    }
  }

 private:
  /// The most recently used idle connection that is usable for a request with the given id; has no stream if
  /// there is none. The caller holds the mutex.
  idle_connection take_idle_connection(const std::optional<std::uint64_t>& id) {
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (std::size_t i = idle_connections_.size(); i-- > 0;) {
      const std::vector<std::uint64_t>& failed = idle_connections_.at(i).history.failed_ids;
      if (id && std::find(failed.begin(), failed.end(), *id) != failed.end()) {
        continue;
      }
      idle_connection newest = std::move(idle_connections_.at(i));
      idle_connections_.erase(idle_connections_.begin() + static_cast<std::ptrdiff_t>(i));
      if (is_usable(newest, now)) {
        return newest;
      }
    }
    return {};
  }

  void finish_exchange(std::uint64_t request_id, exchange& ended, bool reusable) {
    stream_ptr stream = ended.take_stream();
    const std::lock_guard<std::mutex> lock(mutex_);
    exchanges_.erase(request_id);
    unfinished_answers_.release(request_id);
    if (reusable) {
      store_idle_connection(std::move(stream), ended.take_history(), ended.idle_timeout());
    } else {
      stream->close();
    }
  }

  /// Adds the connection to the idle ones, or closes it if there are max_idle_connections. The caller holds
  /// the mutex.
  void store_idle_connection(stream_ptr stream, connection_history history, duration idle_timeout) {
    if (static_cast<int>(idle_connections_.size()) >= settings_.max_idle_connections) {
      stream->close();
      return;
    }
    stream->expires_never();
    // The server started its idle timer earlier, when it wrote the answer.
    const duration allowed = idle_timeout - std::min(idle_timeout / 5, idle_timeout_margin);
    idle_connections_.push_back(
        {std::move(stream), std::move(history), std::chrono::steady_clock::now() + allowed});
  }

  asio::io_context& workers_;
  tcp::endpoint address_;
  std::string default_host_;
  client_settings settings_;
  /// Guards the members below. Innermost lock: no other one is taken while it is held.
  mutable std::mutex mutex_;
  std::uint64_t last_request_id_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
  std::vector<idle_connection> idle_connections_;
  /// Memory used by the unfinished answers of `exchanges_`.
  policy::buffer_budget unfinished_answers_;
};

client_pool::client_pool(asio::io_context& workers, const tcp::endpoint& address,
                         const client_settings& settings)
    : impl_(std::make_shared<impl>(workers, address, settings)) {}

client_pool::~client_pool() { impl_->close_idle_connections(); }

std::uint64_t client_pool::send(request_message request, duration timeout, callback done) {
  return impl_->send(std::move(request), timeout, std::move(done));
}

void client_pool::cancel(std::uint64_t request_id) { impl_->cancel(request_id); }

void client_pool::preconnect(std::function<void(bool)> done) { impl_->preconnect(std::move(done)); }

void client_pool::close_idle_connections() { impl_->close_idle_connections(); }

void client_pool::prune_idle_connections() { impl_->prune_idle_connections(); }

answer_progress client_pool::progress_of(std::uint64_t request_id) const {
  return impl_->progress_of(request_id);
}

std::size_t client_pool::unfinished_answer_bytes() const { return impl_->unfinished_answer_bytes(); }

}  // namespace nutmegarch::http
