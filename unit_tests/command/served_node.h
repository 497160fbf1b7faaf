#pragma once

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"

#include "stand_ins/store_stand_in.h"
#include "unit_tests/command/child_process.h"
#include "unit_tests/loopback.h"

namespace nutmegarch::command {

/// Longest wait for what must come about; no verdict depends on how long it takes.
inline constexpr std::chrono::seconds patience{30};

inline bool wait_for(const std::function<bool()>& condition) {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + patience;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

/// A folder with the settings of one node, whose target and store nobody serves.
class node_files {
 public:
  node_files() {
    static std::atomic<int> last{0};
    folder_ = std::filesystem::temp_directory_path() /
              ("nutmegarch-" + std::to_string(getpid()) + '-' + std::to_string(++last));
    std::filesystem::create_directory(folder_);
    const std::string host = free_address();
    ip_ = host.substr(0, host.rfind(':'));
  }
  node_files(const node_files&) = delete;
  node_files& operator=(const node_files&) = delete;
  ~node_files() { std::filesystem::remove_all(folder_); }

  std::string settings() const { return folder_ / "node.json"; }
  std::string output() const { return folder_ / "output"; }
  std::string admin() const { return ip_ + ":20003"; }
  std::string callers() const { return ip_ + ":20002"; }
  std::string target() const { return ip_ + ":20001"; }
  std::string store() const { return ip_ + ":20009"; }

  /// The settings. `more` are further ones and `target_settings` further ones of the target, each with a
  /// comma before. `peers_ip` is where the node listens for peers, if not where others reach it.
  std::string content(const std::string& more = "", const std::string& target_settings = "",
                      const std::string& peers_ip = "") const {
    return R"({"node": {"service": "shop", "host": ")" + ip_ +
           R"(", "domain": "z", "region": "r"}, "listen": {"callers": ")" + ip_ + R"(:20002", "peers": ")" +
           (peers_ip.empty() ? ip_ : peers_ip) + R"(:20000", "admin": ")" + ip_ +
           R"(:20003"}, "target": {"address": ")" + ip_ + R"(:20001")" + target_settings +
           R"(}, "platform": {"address": ")" + ip_ +
           R"(:20009", "dialect": "metadata-store"}, "lifecycle": {"leave_grace": "50ms"})" + more + "}";
  }

  /// Replaces the settings at one moment, as the platform does.
  void write(const std::string& content) const {
    const std::string next = folder_ / "next";
    std::ofstream(next) << content;
    std::filesystem::rename(next, settings());
  }

  std::vector<std::string> words() const { return {"node", "--settings", settings()}; }

 private:
  std::filesystem::path folder_;
  std::string ip_;
};

/// Answer to a GET at the node; its status is 0 when there was none.
inline answer_message get(const std::string& address, const std::string& path) {
  boost::asio::io_context context;
  http::client_pool pool(context, *http::parse_address(address), {});
  answer_message answer;
  answer.status = 0;
  request_message request;
  request.method = "GET";
  request.target = path;
  pool.send(request, patience, [&](const result<answer_message, http::client_error>& outcome) {
    if (succeeded(outcome)) {
      answer = std::get<answer_message>(outcome);
    }
  });
  context.run();
  return answer;
}

inline int status_of(const std::string& address, const std::string& path) {
  return get(address, path).status;
}

inline bool serves(const node_files& files, child_process& process) {
  return wait_for([&]() { return !process.is_running() || status_of(files.admin(), "/status") == 200; }) &&
         process.is_running();
}

/// Answers each request after a while, so that requests are always in flight.
class slow_target final : public http::request_handler {
 public:
  slow_target(boost::asio::io_context& io, std::size_t answer_bytes, std::chrono::milliseconds delay)
      : io_(io), answer_bytes_(answer_bytes), delay_(delay) {}

  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    ++seen;
    const std::string id = find_header(request.fields, "Nutmegarch-Attempt-Id");
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(io_, delay_);
    timer->async_wait([this, timer, id, answer = std::move(answer)](const boost::system::error_code&) {
      answer({200,
              {{"Nutmegarch-Attempt-Id", id}, {"Nutmegarch-Response-Signature", "s"}},
              std::string(answer_bytes_, 'a')});
    });
  }

  std::atomic<int> seen{0};

 private:
  boost::asio::io_context& io_;
  std::size_t answer_bytes_;
  std::chrono::milliseconds delay_;
};

/// What a served_node differs in from the defaults.
struct served_node_options {
  /// Further settings, each with a comma before it.
  std::string settings;
  /// Further settings of the target, in the same way.
  std::string target_settings;
  /// Further resources of the configuration, each with a comma before it.
  std::string resources;
  std::string peers_ip = "";
  /// Key of the callers; none if empty.
  std::string key = "";
  std::size_t answer_bytes = 5000;
  std::chrono::milliseconds answer_delay{20};
  int slots = 16;
  http::server_settings target = {};
};

/// A running node with a target and a store that serve one route.
class served_node : public node_files {
 public:
  served_node() : served_node(served_node_options{}) {}
  explicit served_node(const served_node_options& options)
      : work_(boost::asio::make_work_guard(io_)),
        key_(options.key),
        target_handler_(io_, options.answer_bytes, options.answer_delay),
        target_server_(io_, options.target, target_handler_),
        store_server_(io_, {}, store_handler_) {
    BOOST_REQUIRE(target_server_.start(target()));
    BOOST_REQUIRE(store_server_.start(store()));
    store_handler_.put(
        "op/config",
        R"({"Version": 1, "Resources": [{"ResourceType": "Routes", "Metadata": {"Name": "look"},
                           "Spec": {"Host": "shop.example", "Prefix": "/", "Kind": "idempotent",
                           "TimeoutMs": 20000, "TargetLatencyMs": 1000, "Priority": 0, "Service": "shop",
                           "MaxAttempts": 2}})" +
            options.resources + "]}");
    store_handler_.put("servers/i-0", R"({"Service": "shop", "Address": ")" + target() +
                                          R"(", "Zone": "z", "Version": "v1", "Slots": )" +
                                          std::to_string(options.slots) + R"(, "State": "ready",
                                          "ColdRemainingMs": 0, "Sequence": 1, "born": 1000})");
    thread_ = std::thread([this]() { io_.run(); });
    write(content(options.settings, options.target_settings, options.peers_ip));
    process = std::make_unique<child_process>(words(), output());
    BOOST_REQUIRE(serves(*this, *process));
    BOOST_REQUIRE(wait_for([this]() { return status_of_route() == 200; }));
  }
  served_node(const served_node&) = delete;
  served_node& operator=(const served_node&) = delete;
  ~served_node() {
    io_.stop();
    thread_.join();
  }

  /// Requests that have reached the target.
  int seen() const { return target_handler_.seen; }

  std::unique_ptr<child_process> process;

 private:
  int status_of_route();

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::string key_;
  slow_target target_handler_;
  stand_ins::store_stand_in store_handler_;
  http::server target_server_;
  http::server store_server_;
  std::thread thread_;
};

/// A caller's connection.
class caller_connection {
 public:
  explicit caller_connection(const node_files& files, std::string key = "")
      : key_(std::move(key)), socket_(io_) {
    socket_.connect(*http::parse_address(files.callers()), error_);
  }

  /// Sends `count` requests at once and reads their answers. How many were whole.
  int ask(int count) {
    std::string text;
    for (int i = 0; i < count; ++i) {
      text += "GET /look HTTP/1.1\r\nHost: shop.example\r\nNutmegarch-Attempt-Id: a" +
              std::to_string(++last_id) + "\r\nNutmegarch-Deadline-Ms: 20000\r\n" +
              (key_.empty() ? "" : "Nutmegarch-Credential: " + key_ + "\r\n") + "\r\n";
    }
    boost::asio::write(socket_, boost::asio::buffer(text), error_);
    int whole = 0;
    while (!error_ && whole < count) {
      boost::beast::http::response<boost::beast::http::string_body> answer;
      boost::beast::http::read(socket_, buffer_, answer, error_);
      whole += error_ ? 0 : 1;
      last_status = error_ ? 0 : answer.result_int();
    }
    return whole;
  }

  unsigned last_status = 0;

 private:
  inline static std::atomic<int> last_id{0};

  std::string key_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::system::error_code error_;
};

inline int served_node::status_of_route() {
  caller_connection caller(*this, key_);
  caller.ask(1);
  return static_cast<int>(caller.last_status);
}

}  // namespace nutmegarch::command
