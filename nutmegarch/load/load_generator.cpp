#include "nutmegarch/load/load_generator.h"

#include <algorithm>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "nutmegarch/core/random.h"
#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/node/header_names.h"

namespace nutmegarch::load {

namespace {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_histogram =
    boost::histogram::histogram<std::tuple<log_axis>, boost::histogram::dense_storage<double>>;

/// Interval at which the generator starts the requests that are due.
constexpr duration tick_interval = std::chrono::milliseconds(1);
constexpr int bin_count = 400;

/// A histogram of latencies in seconds, with logarithmic bins from 10 us to 100 s.
latency_histogram make_latencies() {
  return boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                               log_axis(bin_count, 1e-5, 100.0));
}

/// Upper bound of the bin that contains the quantile `q`, in milliseconds; 0 when the histogram is empty or
/// the quantile lies above its range.
double quantile_ms(const latency_histogram& histogram, double q) {
  double total = 0;
  for (int i = -1; i <= bin_count; ++i) {
    total += histogram.at(i);
  }
  double cumulative = histogram.at(-1);
  for (int i = 0; i < bin_count && total > 0; ++i) {
    cumulative += histogram.at(i);
    if (cumulative >= q * total) {
      return histogram.axis().value(i + 1) * 1000;
    }
  }
  return 0;
}

/// A request with the state of its tries. Each try has its own timeout; a try of an order comprises the
/// request for a ticket and the request that carries it.
struct pending_request {
  const request_kind* kind = nullptr;
  time_point first_sent{};
  time_point try_started{};
  int retries_left = 0;
  /// Number that determines the node, modulo the number of nodes.
  std::size_t node_index = 0;
  /// Ticket of an order; empty until a node has issued one.
  std::string ticket;
  /// Whether an earlier try may have been executed.
  bool may_have_run = false;
};

/// Runs one load on the calling thread.
class generator {
 public:
  generator(const load_settings& settings, std::function<void(int, const load_result&)> progress)
      : settings_(settings), progress_(std::move(progress)), random_(settings.seed), timer_(workers_) {
    http::client_settings pool_settings;
    pool_settings.max_connections = settings.max_connections;
    pool_settings.max_idle_connections = settings.max_connections;
    for (const std::string& address : settings.node_addresses) {
      pools_.push_back(
          std::make_unique<http::client_pool>(workers_, *http::parse_address(address), pool_settings));
    }
    for (const request_kind& kind : settings.requests) {
      total_share_ += kind.share;
    }
  }

  load_result run() {
    start_ = clock_.now();
    result_.began_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    on_tick();
    workers_.run();
    for (std::size_t i = 0; i < call_class_count; ++i) {
      result_.classes.at(i).p50_ms = quantile_ms(latencies_.at(i), 0.5);
      result_.classes.at(i).p99_ms = quantile_ms(latencies_.at(i), 0.99);
    }
    return result_;
  }

 private:
  /// Requests per second that the demand curve has at `elapsed`.
  double rate_at(duration elapsed) const {
    double rate = 0;
    for (const demand_step& step : settings_.demand) {
      rate = elapsed >= step.start ? step.rate : rate;
    }
    return rate;
  }

  /// Counts of the second that contains `moment`.
  second_result& second_at(time_point moment) {
    const std::size_t index = static_cast<std::size_t>(std::max(0.0, to_seconds(moment - start_)));
    if (result_.seconds.size() <= index) {
      result_.seconds.resize(index + 1);
    }
    return result_.seconds.at(index);
  }

  /// Starts the requests that are due by the demand curve, and schedules the next tick.
  void on_tick() {
    const time_point now = clock_.now();
    const duration elapsed = now - start_;
    if (elapsed >= settings_.length) {
      return;
    }
    due_requests_ += rate_at(elapsed) * to_seconds(now - last_tick_.value_or(now));
    last_tick_ = now;
    for (; due_requests_ >= 1; due_requests_ -= 1) {
      start_request(now);
    }
    const int second = static_cast<int>(to_seconds(elapsed));
    if (second != last_second_ && progress_) {
      last_second_ = second;
      progress_(second, result_);
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](const boost::system::error_code&) { on_tick(); });
  }

  /// Chooses a kind at random, in proportion to the shares, and sends the first try.
  void start_request(time_point now) {
    double draw = random_.uniform() * total_share_;
    const request_kind* kind = &settings_.requests.back();
    for (const request_kind& candidate : settings_.requests) {
      if (draw < candidate.share) {
        kind = &candidate;
        break;
      }
      draw -= candidate.share;
    }
    const std::shared_ptr<pending_request> request = std::make_shared<pending_request>();
    request->kind = kind;
    request->first_sent = now;
    request->retries_left = settings_.max_retries;
    ++result_.classes.at(static_cast<std::size_t>(kind->cls)).offered;
    ++second_at(now).offered;
    request->node_index = next_node_index_++;
    send(request, true);
  }

  /// Sends the request to its node. `is_new_try` restarts its timeout.
  void send(const std::shared_ptr<pending_request>& request, bool is_new_try) {
    const time_point now = clock_.now();
    request->try_started = is_new_try ? now : request->try_started;
    const duration timeout =
        std::max<duration>(std::chrono::milliseconds(1), settings_.timeout - (now - request->try_started));
    request_message message;
    message.method = request->kind->method;
    message.target = request->kind->path;
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    message.fields = {{node::header_names::timeout, std::to_string(milliseconds) + "ms"}};
    if (!request->kind->service.empty()) {
      message.fields.push_back({node::header_names::service, request->kind->service});
    }
    if (request->kind->cls == call_class::important) {
      message.fields.push_back({node::header_names::priority, "u=1"});
    }
    if (!request->ticket.empty()) {
      message.fields.push_back({node::header_names::ticket, request->ticket});
    }
    ++result_.attempts;
    pools_.at(request->node_index % pools_.size())
        ->send(message, timeout, [this, request](const result<answer_message, http::client_error>& outcome) {
          on_answer(request, outcome);
        });
  }

  void on_answer(const std::shared_ptr<pending_request>& request,
                 const result<answer_message, http::client_error>& outcome) {
    if (!succeeded(outcome)) {
      request->may_have_run =
          request->may_have_run || std::get<http::client_error>(outcome) != http::client_error::unreachable;
      retry_or_give_up(request);
      return;
    }
    const answer_message& answer = std::get<answer_message>(outcome);
    if (answer.status == 428) {
      // 428 (ticket required): the answer carries a ticket for the order. The try continues with it, within
      // the same timeout.
      request->ticket = find_header(answer.fields, node::header_names::ticket);
      send(request, false);
      return;
    }
    if (answer.status < 400) {
      record_success(request);
      return;
    }
    // After "not-run" the order may get a new ticket. After any other outcome it may have run, so that only a
    // retry with the same ticket is safe.
    const std::string reported_outcome = find_header(answer.fields, node::header_names::outcome);
    if (reported_outcome == name_of(call_outcome::not_run) && !request->ticket.empty()) {
      request->ticket.clear();
      request->may_have_run = false;
    } else if (reported_outcome != name_of(call_outcome::not_run)) {
      request->may_have_run = true;
    }
    retry_or_give_up(request);
  }

  /// Schedules a retry at the next node; without retries left, counts the request as given up.
  void retry_or_give_up(const std::shared_ptr<pending_request>& request) {
    class_result& counts = result_.classes.at(static_cast<std::size_t>(request->kind->cls));
    if (request->retries_left == 0) {
      ++(request->may_have_run ? counts.unknown : counts.refused);
      return;
    }
    --request->retries_left;
    ++request->node_index;
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(workers_, settings_.retry_delay);
    timer->async_wait([this, request, timer](const boost::system::error_code&) { send(request, true); });
  }

  /// Counts the request as answered, with the latency of its last try.
  void record_success(const std::shared_ptr<pending_request>& request) {
    const std::size_t cls = static_cast<std::size_t>(request->kind->cls);
    const time_point now = clock_.now();
    ++result_.classes.at(cls).answered;
    ++second_at(now).answered.at(cls);
    latencies_.at(cls)(to_seconds(now - request->try_started));
  }

  load_settings settings_;
  std::function<void(int, const load_result&)> progress_;
  system_time_source clock_;
  random_source random_;
  boost::asio::io_context workers_{1};
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<http::client_pool>> pools_;
  std::array<latency_histogram, call_class_count> latencies_{make_latencies(), make_latencies(),
                                                             make_latencies()};
  load_result result_;
  double total_share_ = 0;
  /// Requests that the demand curve has called for and that are not started yet; a fraction after each tick.
  double due_requests_ = 0;
  std::optional<time_point> last_tick_;
  time_point start_{};
  int last_second_ = -1;
  std::size_t next_node_index_ = 0;
};

}  // namespace

load_result run_load(const load_settings& settings,
                     const std::function<void(int second, const load_result& so_far)>& progress) {
  return generator(settings, progress).run();
}

}  // namespace nutmegarch::load
