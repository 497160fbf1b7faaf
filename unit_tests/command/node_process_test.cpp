#include <atomic>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"

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

  std::string content() const {
    return R"({"node": {"service": "shop", "host": ")" + ip_ +
           R"(", "domain": "z", "region": "r"}, "listen": {"callers": ")" + ip_ + R"(:20002", "peers": ")" +
           ip_ + R"(:20000", "admin": ")" + ip_ + R"(:20003"}, "target": {"address": ")" + ip_ +
           R"(:20001"}, "platform": {"address": ")" + ip_ +
           R"(:20009"}, "lifecycle": {"leave_grace": "50ms"}})";
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::command
