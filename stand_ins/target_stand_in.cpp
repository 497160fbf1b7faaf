#include "stand_ins/target_stand_in.h"

#include <cmath>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <tclap/CmdLine.h>

#include "nutmegarch/core/random.h"
#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/problem.h"
#include "nutmegarch/http/server.h"

namespace nutmegarch::stand_ins {

namespace {

struct target_options {
  std::string listen;
  int slots = 8;
  duration mean = std::chrono::milliseconds(20);
  double sigma = 0.5;
  double straggler_share = 0;
  double straggler_factor = 50;
  /// Callers' edge of the node beside it, and the service that each call goes on to call; empty: none.
  std::string node;
  std::string calls;
  /// Each run order is added to this file, by its body; empty: none. Only for tests of "at most once".
  std::string order_log;
};

/// A target with slots and a first-come queue. Runs on one thread.
class target final : public http::request_handler {
 public:
  target(boost::asio::io_context& workers, const target_options& options)
      : workers_(workers), options_(options), random_(std::hash<std::string>()(options.listen)) {
    if (!options.calls.empty()) {
      node_ = std::make_unique<http::client_pool>(workers, *http::parse_address(options.node),
                                                  http::client_settings{});
    }
  }

  void on_request(std::uint64_t exchange, request_message request, answer_callback answer) override {
    if (request.target.compare(0, 10, "/stand-in/") == 0) {
      answer(control(request.target));
      return;
    }
    if (request.target.find("crash") != std::string::npos) {
      std::_Exit(3);
    }
    const std::shared_ptr<job> made =
        std::make_shared<job>(job{std::move(request), std::move(answer), false, {}});
    jobs_[exchange] = made;
    queue_.push_back(exchange);
    start_waiting();
  }

  void on_disconnect(std::uint64_t exchange) override {
    ++cancelled_;
    auto found = jobs_.find(exchange);
    if (found != jobs_.end() && found->second->is_running) {
      end(exchange);
    } else if (found != jobs_.end()) {
      jobs_.erase(found);
    }
  }

 private:
  struct job {
    request_message request;
    answer_callback answer;
    bool is_running = false;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void start_waiting() {
    while (running_ < options_.slots && !queue_.empty()) {
      const std::uint64_t exchange = queue_.front();
      queue_.pop_front();
      auto found = jobs_.find(exchange);
      if (found != jobs_.end()) {
        start(exchange, *found->second);
      }
    }
  }

  void start(std::uint64_t exchange, job& started) {
    ++running_;
    ++runs_;
    started.is_running = true;
    if (!options_.order_log.empty() && started.request.method == "POST") {
      std::ofstream(options_.order_log, std::ios::app)
          << started.request.target << ' ' << started.request.body << '\n';
    }
    std::normal_distribution<double> normal(-0.5 * options_.sigma * options_.sigma, options_.sigma);
    double work = to_seconds(options_.mean) * std::exp(normal(random_.engine())) * slowdown_;
    work *= random_.uniform() < options_.straggler_share ? options_.straggler_factor : 1;
    const time_point now = clock_.now();
    const duration stall = std::max(duration{}, stalled_until_ - now);
    started.timer = std::make_shared<boost::asio::steady_timer>(workers_, stall + from_seconds(work));
    started.timer->async_wait([this, exchange](const boost::system::error_code& error) {
      if (!error) {
        work_done(exchange);
      }
    });
  }

  void work_done(std::uint64_t exchange) {
    auto found = jobs_.find(exchange);
    if (found == jobs_.end()) {
      return;
    }
    if (!node_) {
      respond(exchange,
              {200, {{"Content-Type", "text/plain"}}, "done " + found->second->request.target + '\n'});
      return;
    }
    request_message call;
    call.method = "GET";
    call.target = "/stock/1";
    call.fields = {{"Nutmegarch-Service", options_.calls},
                   {"traceparent", find_header(found->second->request.fields, "traceparent")}};
    node_->send(call, std::chrono::seconds(10),
                [this, exchange](const result<answer_message, http::client_error>& outcome) {
                  const bool is_good = succeeded(outcome) && std::get<answer_message>(outcome).status == 200;
                  respond(exchange, is_good ? answer_message{200, {{"Content-Type", "text/plain"}}, "done\n"}
                                            : http::make_problem(502, "Bad Gateway",
                                                                 "the call behind this one failed"));
                });
  }

  void respond(std::uint64_t exchange, answer_message content) {
    auto found = jobs_.find(exchange);
    if (found == jobs_.end()) {
      return;
    }
    const answer_callback answer = std::move(found->second->answer);
    end(exchange);
    answer(std::move(content));
  }

  void end(std::uint64_t exchange) {
    jobs_.at(exchange)->timer->cancel();
    jobs_.erase(exchange);
    --running_;
    start_waiting();
  }

  static double parameter(const std::string& target, const std::string& name) {
    const std::size_t found = target.find(name + '=');
    return found == std::string::npos ? 0 : std::atof(target.c_str() + found + name.size() + 1);
  }

  answer_message control(const std::string& path) {
    if (path.find("slow") != std::string::npos) {
      slowdown_ = parameter(path, "factor");
    }
    if (path.find("stall") != std::string::npos) {
      stalled_until_ = clock_.now() + from_seconds(parameter(path, "ms") / 1000);
    }
    const boost::json::object counts = {
        {"running", running_}, {"waiting", queue_.size()}, {"runs", runs_}, {"cancelled", cancelled_}};
    return {200, {{"Content-Type", "application/json"}}, boost::json::serialize(counts) + '\n'};
  }

  boost::asio::io_context& workers_;
  target_options options_;
  system_time_source clock_;
  random_source random_;
  std::unique_ptr<http::client_pool> node_;
  std::unordered_map<std::uint64_t, std::shared_ptr<job>> jobs_;
  std::deque<std::uint64_t> queue_;
  int running_ = 0;
  long runs_ = 0;
  long cancelled_ = 0;
  double slowdown_ = 1;
  time_point stalled_until_{};
};

}  // namespace

int run_target(const std::vector<std::string>& words) {
  target_options options;
  TCLAP::CmdLine line("Stand-in for a target.");
  TCLAP::ValueArg<std::string> listen("", "listen", "Address.", true, "", "IP:PORT", line);
  TCLAP::ValueArg<int> slots("", "slots", "Calls that run at once.", false, options.slots, "N", line);
  TCLAP::ValueArg<double> mean("", "mean-ms", "Mean service time.", false, 20, "MS", line);
  TCLAP::ValueArg<double> sigma("", "sigma", "Spread of the service time.", false, options.sigma, "S", line);
  TCLAP::ValueArg<double> stragglers("", "straggler-share", "Share of stragglers.", false, 0, "SHARE", line);
  TCLAP::ValueArg<double> factor("", "straggler-factor", "Their service time over the mean.", false, 50, "N",
                                 line);
  TCLAP::ValueArg<std::string> node("", "node", "Callers' address of the node.", false, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> calls("", "calls", "Service that each call goes on to call.", false, "",
                                     "NAME", line);
  TCLAP::ValueArg<std::string> order_log("", "order-log", "File that gets a line for each POST.", false, "",
                                         "FILE", line);
  std::vector<std::string> arguments = {"nutmegarch_stand_ins target"};
  arguments.insert(arguments.end(), words.begin(), words.end());
  line.parse(arguments);
  options.listen = listen.getValue();
  options.slots = slots.getValue();
  options.mean = from_seconds(mean.getValue() / 1000);
  options.sigma = sigma.getValue();
  options.straggler_share = stragglers.getValue();
  options.straggler_factor = factor.getValue();
  options.node = node.getValue();
  options.calls = calls.getValue();
  options.order_log = order_log.getValue();

  boost::asio::io_context workers(1);
  target served(workers, options);
  http::server_settings settings;
  settings.max_connections = 20'000;
  http::server server(workers, settings, served);
  if (!server.start(options.listen)) {
    std::cerr << "can't listen on " << options.listen << '\n';
    return 1;
  }
  workers.run();
  return 0;
}

}  // namespace nutmegarch::stand_ins
