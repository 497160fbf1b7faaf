#include <atomic>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

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

namespace {

/// Longest wait for what must come about; no verdict depends on how long it takes.
constexpr std::chrono::seconds patience{30};

bool wait_for(const std::function<bool()>& condition) {
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + patience;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return false;
}

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t found = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++found;
  }
  return found;
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

  std::string content() const {
    return R"({"node": {"service": "shop", "host": ")" + ip_ +
           R"(", "domain": "z", "region": "r"}, "listen": {"callers": ")" + ip_ + R"(:20002", "peers": ")" +
           ip_ + R"(:20000", "admin": ")" + ip_ + R"(:20003"}, "target": {"address": ")" + ip_ +
           R"(:20001"}, "platform": {"address": ")" + ip_ +
           R"(:20009", "dialect": "metadata-store"}, "lifecycle": {"leave_grace": "50ms"}})";
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

/// Status of a GET at the node; 0 when there was no answer.
int status_of(const std::string& address, const std::string& path) {
  boost::asio::io_context context;
  http::client_pool pool(context, *http::parse_address(address), {});
  int status = 0;
  request_message request;
  request.method = "GET";
  request.target = path;
  pool.send(request, patience, [&](const result<answer_message, http::client_error>& outcome) {
    status = succeeded(outcome) ? std::get<answer_message>(outcome).status : 0;
  });
  context.run();
  return status;
}

bool serves(const node_files& files, child_process& process) {
  return wait_for([&]() { return !process.is_running() || status_of(files.admin(), "/status") == 200; }) &&
         process.is_running();
}

/// A node that stands in the middle of reading its settings: their file is a pipe that holds nothing yet.
class node_reading_settings : public node_files {
 public:
  node_reading_settings() {
    // The node may end while the pipe is written.
    std::signal(SIGPIPE, SIG_IGN);
    BOOST_REQUIRE(mkfifo(settings().c_str(), S_IRUSR | S_IWUSR) == 0);
    process = std::make_unique<child_process>(words(), output());
    // Can be opened as soon as the node has opened its end.
    BOOST_REQUIRE(
        wait_for([this]() { return (pipe_ = open(settings().c_str(), O_WRONLY | O_NONBLOCK)) >= 0; }));
  }
  node_reading_settings(const node_reading_settings&) = delete;
  node_reading_settings& operator=(const node_reading_settings&) = delete;
  ~node_reading_settings() { finish(); }

  /// Hands over the settings. Later reads find them in a plain file.
  void go_on() {
    write(content());
    const std::string text = content();
    BOOST_TEST(::write(pipe_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    finish();
  }

  std::unique_ptr<child_process> process;

 private:
  void finish() {
    if (pipe_ >= 0) {
      close(pipe_);
      pipe_ = -1;
    }
  }

  int pipe_ = -1;
};

/// Answers each request after a while, so that requests are always in flight.
class slow_target final : public http::request_handler {
 public:
  explicit slow_target(boost::asio::io_context& io) : io_(io) {}

  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    ++seen;
    const std::string id = find_header(request.fields, "Nutmegarch-Attempt-Id");
    const std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(io_, std::chrono::milliseconds(20));
    timer->async_wait([timer, id, answer = std::move(answer)](const boost::system::error_code&) {
      answer({200,
              {{"Nutmegarch-Attempt-Id", id}, {"Nutmegarch-Response-Signature", "s"}},
              std::string(5000, 'a')});
    });
  }

  std::atomic<int> seen{0};

 private:
  boost::asio::io_context& io_;
};

/// A running node with a target and a store that serve one route.
class served_node : public node_files {
 public:
  served_node()
      : work_(boost::asio::make_work_guard(io_)),
        target_handler_(io_),
        target_server_(io_, {}, target_handler_),
        store_server_(io_, {}, store_handler_) {
    BOOST_REQUIRE(target_server_.start(target()));
    BOOST_REQUIRE(store_server_.start(store()));
    store_handler_.put(
        "op/config",
        R"({"Version": 1, "Resources": [{"ResourceType": "Routes", "Metadata": {"Name": "look"},
                           "Spec": {"Host": "shop.example", "Prefix": "/", "Kind": "idempotent",
                           "TimeoutMs": 20000, "TargetLatencyMs": 1000, "Priority": 0, "Service": "shop",
                           "MaxAttempts": 2}}]})");
    store_handler_.put("servers/i-0", R"({"Service": "shop", "Address": ")" + target() +
                                          R"(", "Zone": "z", "Version": "v1", "Slots": 16, "State": "ready",
                                          "ColdRemainingMs": 0, "Sequence": 1, "born": 1000})");
    thread_ = std::thread([this]() { io_.run(); });
    write(content());
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
  slow_target target_handler_;
  stand_ins::store_stand_in store_handler_;
  http::server target_server_;
  http::server store_server_;
  std::thread thread_;
};

/// A caller's connection.
class caller_connection {
 public:
  explicit caller_connection(const node_files& files) : socket_(io_) {
    socket_.connect(*http::parse_address(files.callers()), error_);
  }

  /// Sends `count` requests at once and reads their answers. How many were whole.
  int ask(int count) {
    std::string text;
    for (int i = 0; i < count; ++i) {
      text += "GET /look HTTP/1.1\r\nHost: shop.example\r\nNutmegarch-Attempt-Id: a" +
              std::to_string(++last_id) + "\r\nNutmegarch-Deadline-Ms: 20000\r\n\r\n";
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

  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  boost::system::error_code error_;
};

int served_node::status_of_route() {
  caller_connection caller(*this);
  caller.ask(1);
  return static_cast<int>(caller.last_status);
}

/// Callers that keep their connections, that send several requests at once, and that come anew each time.
class steady_callers {
 public:
  explicit steady_callers(const node_files& files) {
    for (int i = 0; i < 4; ++i) {
      threads_.emplace_back([this, &files, at_once = i % 2 == 0 ? 1 : 4]() {
        caller_connection kept(files);
        while (!stops_) {
          sent += 2 * at_once;
          answered += kept.ask(at_once);
          answered += caller_connection(files).ask(at_once);
        }
      });
    }
  }
  steady_callers(const steady_callers&) = delete;
  steady_callers& operator=(const steady_callers&) = delete;
  ~steady_callers() { stop(); }

  void stop() {
    stops_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  std::atomic<int> sent{0};
  std::atomic<int> answered{0};

 private:
  std::atomic<bool> stops_{false};
  std::vector<std::thread> threads_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(node_process)

BOOST_FIXTURE_TEST_CASE(sighup_while_the_settings_are_read_does_not_end_the_node, node_reading_settings) {
  process->send(SIGHUP);
  process->send(SIGHUP);
  go_on();
  BOOST_TEST(serves(*this, *process));
  BOOST_TEST(wait_for([&]() {
    return !process->is_running() || count_of(process->output(), "event=settings-reloaded") == 1;
  }));
  BOOST_TEST(process->is_running());
}

BOOST_FIXTURE_TEST_CASE(sigterm_while_the_settings_are_read_stops_the_node_in_order, node_reading_settings) {
  process->send(SIGTERM);
  go_on();
  const std::optional<int> ended = process->wait(patience);
  BOOST_TEST((ended == 0));
  BOOST_TEST(count_of(process->output(), "event=node-stopped") == 1U);
}

BOOST_FIXTURE_TEST_CASE(sigint_while_the_settings_are_read_stops_the_node_in_order, node_reading_settings) {
  process->send(SIGINT);
  go_on();
  const std::optional<int> ended = process->wait(patience);
  BOOST_TEST((ended == 0));
  BOOST_TEST(count_of(process->output(), "event=node-stopped") == 1U);
}

// From the first moment on at which a process can hold signals back.
BOOST_AUTO_TEST_CASE(sighup_at_any_moment_of_a_start_does_not_end_the_node) {
  for (std::chrono::milliseconds delay{0}; delay <= std::chrono::milliseconds(60);
       delay += std::chrono::milliseconds(5)) {
    const node_files files;
    files.write(files.content());
    child_process process(files.words(), files.output());
    BOOST_REQUIRE(wait_for([&]() {
      return process.blocks(SIGHUP) || count_of(process.output(), "node-started") > 0 ||
             !process.is_running();
    }));
    std::this_thread::sleep_for(delay);
    for (int i = 0; i < 5; ++i) {
      process.send(SIGHUP);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(serves(files, process));
    process.send(SIGTERM);
    const std::optional<int> ended = process.wait(patience);
    BOOST_TEST((ended == 0));
  }
}

BOOST_FIXTURE_TEST_CASE(reloads_of_broken_settings_under_load_cost_no_answer_and_no_connection, served_node) {
  caller_connection idle(*this);
  BOOST_TEST(idle.ask(1) == 1);
  steady_callers load(*this);
  const std::string good = content();
  for (int i = 0; i < 20; ++i) {
    for (const std::string& next :
         {good.substr(0, good.size() / 2), std::string(), std::string("[1e999, \"\xff"),
          std::string(100'000, '['), "{\"log\": {\"level\": 1}, " + good.substr(1),
          std::string(3U << 20U, ' ') + good, good}) {
      write(next);
      process->send(SIGHUP);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    std::filesystem::remove(settings());
    process->send(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  load.stop();
  BOOST_TEST(load.sent > 0);
  BOOST_TEST(count_of(process->output(), "event=signal-received") > 1U);
  BOOST_TEST(load.answered == load.sent);
  BOOST_TEST(idle.ask(1) == 1);
  BOOST_TEST(process->is_running());
  BOOST_TEST(count_of(process->output(), "event=node-started") == 1U);
}

BOOST_FIXTURE_TEST_CASE(signals_in_any_order_around_a_stop_cost_no_answer, served_node) {
  caller_connection idle(*this);
  BOOST_TEST(idle.ask(1) == 1);
  const int before = seen();
  int answered = 0;
  std::thread last([&]() { answered = caller_connection(*this).ask(8); });
  BOOST_TEST(wait_for([&]() { return seen() == before + 8; }));
  for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGINT, SIGHUP}) {
    process->send(signal);
  }
  last.join();
  BOOST_TEST(answered == 8);
  const std::optional<int> ended = process->wait(patience);
  BOOST_TEST((ended == 0));
  BOOST_TEST(count_of(process->output(), "event=node-stopped") == 1U);
}

// A reload must not take the node's memory.
BOOST_FIXTURE_TEST_CASE(a_reload_of_a_huge_file_is_refused_unread, served_node) {
  std::ofstream(settings()).close();
  std::filesystem::resize_file(settings(), 1ULL << 30U);
  process->send(SIGHUP);
  BOOST_TEST(wait_for(
      [&]() { return !process->is_running() || count_of(process->output(), "result=refused") == 1; }));
  BOOST_TEST(process->is_running());
  BOOST_TEST(process->most_memory() < 200U << 20U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::command
