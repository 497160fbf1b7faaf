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

constexpr duration arrival_interval = std::chrono::milliseconds(1);
constexpr int bin_count = 400;

latency_histogram make_latencies() {
  return boost::histogram::make_histogram_with(boost::histogram::dense_storage<double>(),
                                               log_axis(bin_count, 1e-5, 100.0));
}

double quantile_ms(const latency_histogram& counts, double q) {
  double total = 0;
  for (int i = -1; i <= bin_count; ++i) {
    total += counts.at(i);
  }
  double below = counts.at(-1);
  for (int i = 0; i < bin_count && total > 0; ++i) {
    below += counts.at(i);
    if (below >= q * total) {
      return counts.axis().value(i + 1) * 1000;
    }
  }
  return 0;
}

/// One request over all its attempts.
struct request {
  const request_kind* kind = nullptr;
  time_point first_sent{};
  time_point sent{};
  int resends_left = 0;
  std::size_t entry = 0;
  /// Ticket of an order, once there is one.
  std::string ticket;
  bool may_have_run = false;
};

class generator {
 public:
  generator(const load_settings& settings, std::function<void(int, const load_result&)> progress)
      : settings_(settings), progress_(std::move(progress)), random_(settings.seed), timer_(workers_) {
    http::client_settings pool;
    pool.max_connections = settings.connections;
    pool.max_idle_connections = settings.connections;
    for (const std::string& entry : settings.entries) {
      entries_.push_back(std::make_unique<http::client_pool>(workers_, *http::parse_address(entry), pool));
    }
    for (const request_kind& kind : settings.requests) {
      total_share_ += kind.share;
    }
  }

  load_result run() {
    begin_ = clock_.now();
    found_.began_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                               std::chrono::system_clock::now().time_since_epoch())
                               .count();
    arrive();
    workers_.run();
    for (std::size_t i = 0; i < call_class_count; ++i) {
      found_.classes.at(i).p50_ms = quantile_ms(latencies_.at(i), 0.5);
      found_.classes.at(i).p99_ms = quantile_ms(latencies_.at(i), 0.99);
    }
    return found_;
  }

 private:
  double rate_at(duration elapsed) const {
    double rate = 0;
    for (const demand_step& step : settings_.demand) {
      rate = elapsed >= step.at ? step.rate : rate;
    }
    return rate;
  }

  second_result& second_of(time_point moment) {
    const std::size_t index = static_cast<std::size_t>(std::max(0.0, to_seconds(moment - begin_)));
    if (found_.seconds.size() <= index) {
      found_.seconds.resize(index + 1);
    }
    return found_.seconds.at(index);
  }

  /// Sends what is due by the demand curve, and comes back after a moment.
  void arrive() {
    const time_point now = clock_.now();
    const duration elapsed = now - begin_;
    if (elapsed >= settings_.length) {
      return;
    }
    due_ += rate_at(elapsed) * to_seconds(now - last_arrival_.value_or(now));
    last_arrival_ = now;
    for (; due_ >= 1; due_ -= 1) {
      begin_request(now);
    }
    const int second = static_cast<int>(to_seconds(elapsed));
    if (second != last_second_ && progress_) {
      last_second_ = second;
      progress_(second, found_);
    }
    timer_.expires_after(arrival_interval);
    timer_.async_wait([this](const boost::system::error_code&) { arrive(); });
  }

  void begin_request(time_point now) {
    double draw = random_.uniform() * total_share_;
    const request_kind* kind = &settings_.requests.back();
    for (const request_kind& candidate : settings_.requests) {
      if (draw < candidate.share) {
        kind = &candidate;
        break;
      }
      draw -= candidate.share;
    }
    const std::shared_ptr<request> made = std::make_shared<request>();
    made->kind = kind;
    made->first_sent = now;
    made->resends_left = settings_.resends;
    ++found_.classes.at(static_cast<std::size_t>(kind->cls)).offered;
    ++second_of(now).offered;
    made->entry = next_entry_++;
    send(made, true);
  }

  /// `is_new_try` starts the request's patience anew.
  void send(const std::shared_ptr<request>& made, bool is_new_try) {
    const time_point now = clock_.now();
    made->sent = is_new_try ? now : made->sent;
    const duration patience =
        std::max<duration>(std::chrono::milliseconds(1), settings_.patience - (now - made->sent));
    request_message message;
    message.method = made->kind->method;
    message.target = made->kind->path;
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(patience).count();
    message.fields = {{node::header_names::timeout, std::to_string(milliseconds) + "ms"}};
    if (!made->kind->service.empty()) {
      message.fields.push_back({node::header_names::service, made->kind->service});
    }
    if (made->kind->cls == call_class::important) {
      message.fields.push_back({node::header_names::priority, "u=1"});
    }
    if (!made->ticket.empty()) {
      message.fields.push_back({node::header_names::ticket, made->ticket});
    }
    ++found_.attempts;
    entries_.at(made->entry % entries_.size())
        ->send(message, patience, [this, made](const result<answer_message, http::client_error>& outcome) {
          on_answer(made, outcome);
        });
  }

  void on_answer(const std::shared_ptr<request>& made,
                 const result<answer_message, http::client_error>& outcome) {
    if (!succeeded(outcome)) {
      made->may_have_run =
          made->may_have_run || std::get<http::client_error>(outcome) != http::client_error::unreachable;
      resend(made);
      return;
    }
    const answer_message& answer = std::get<answer_message>(outcome);
    if (answer.status == 428) {
      // The order has its ticket now, and goes on within the same patience.
      made->ticket = find_header(answer.fields, node::header_names::ticket);
      send(made, false);
      return;
    }
    if (answer.status < 400) {
      finish(made);
      return;
    }
    // After "not-run" a new ticket is safe; after anything else only the old one is.
    const std::string told = find_header(answer.fields, node::header_names::outcome);
    if (told == name_of(call_outcome::not_run) && !made->ticket.empty()) {
      made->ticket.clear();
      made->may_have_run = false;
    } else if (told != name_of(call_outcome::not_run)) {
      made->may_have_run = true;
    }
    resend(made);
  }

  void resend(const std::shared_ptr<request>& made) {
    class_result& counts = found_.classes.at(static_cast<std::size_t>(made->kind->cls));
    if (made->resends_left == 0) {
      ++(made->may_have_run ? counts.unknown : counts.refused);
      return;
    }
    --made->resends_left;
    ++made->entry;
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(workers_, settings_.resend_delay);
    timer->async_wait([this, made, timer](const boost::system::error_code&) { send(made, true); });
  }

  void finish(const std::shared_ptr<request>& made) {
    const std::size_t cls = static_cast<std::size_t>(made->kind->cls);
    const time_point now = clock_.now();
    ++found_.classes.at(cls).answered;
    ++second_of(now).answered.at(cls);
    latencies_.at(cls)(to_seconds(now - made->sent));
  }

  load_settings settings_;
  std::function<void(int, const load_result&)> progress_;
  system_time_source clock_;
  random_source random_;
  boost::asio::io_context workers_{1};
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<http::client_pool>> entries_;
  std::array<latency_histogram, call_class_count> latencies_{make_latencies(), make_latencies(),
                                                             make_latencies()};
  load_result found_;
  double total_share_ = 0;
  double due_ = 0;
  std::optional<time_point> last_arrival_;
  time_point begin_{};
  int last_second_ = -1;
  std::size_t next_entry_ = 0;
};

}  // namespace

load_result run_load(const load_settings& settings,
                     const std::function<void(int second, const load_result& so_far)>& progress) {
  return generator(settings, progress).run();
}

}  // namespace nutmegarch::load
