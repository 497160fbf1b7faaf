#include <atomic>
#include <fcntl.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "unit_tests/command/served_node.h"

namespace nutmegarch::command {

namespace {

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t found = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++found;
  }
  return found;
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

// A node that did not recognise itself among the published ones granted no allowance, or granted beside the
// others' keeper.
BOOST_AUTO_TEST_CASE(allowance_is_granted_by_a_node_that_others_reach_at_another_address) {
  served_node_options options;
  const std::string other = free_address();
  options.peers_ip = other.substr(0, other.rfind(':'));
  options.key = "key-of-the-bakers";
  options.resources = R"(, {"ResourceType": "Tenants", "Metadata": {"Name": "bakers"},
                            "Spec": {"ApiKeys": [")" +
                      options.key + R"("], "RatePerS": 10, "Burst": 30, "Priority": 1}})";
  // Waits for an answer of the target.
  const served_node node(options);
  BOOST_TEST(node.seen() > 0);
}

// A node that did not recognise itself counted itself as one more of the fleet, and took smaller shares of
// its budgets.
BOOST_AUTO_TEST_CASE(node_that_others_reach_at_another_address_is_not_its_own_peer) {
  served_node_options options;
  const std::string other = free_address();
  options.peers_ip = other.substr(0, other.rfind(':'));
  const served_node node(options);
  BOOST_TEST(get(node.admin(), "/status").body.find("\"peers\":0") != std::string::npos);
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
