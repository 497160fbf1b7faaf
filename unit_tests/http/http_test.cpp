#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/server.h"

#include "unit_tests/loopback.h"

namespace nutmegarch::http {

namespace {

using tcp = boost::asio::ip::tcp;

/// Accepts one connection, reads some of the request, writes a text, and closes it or keeps it open.
class raw_peer {
 public:
  enum class ending { orderly, open, reset };

  explicit raw_peer(std::string text, ending end = ending::orderly)
      : text_(std::move(text)),
        ending_(end),
        acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    thread_ = std::thread([this]() { serve(); });
  }
  raw_peer(const raw_peer&) = delete;
  raw_peer& operator=(const raw_peer&) = delete;
  ~raw_peer() {
    is_over_ = true;
    // Wakes the thread up, whatever it waits for.
    tcp::socket waker(context_);
    boost::system::error_code ignored;
    waker.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void serve() {
    boost::system::error_code ignored;
    tcp::socket socket = acceptor_.accept();
    std::array<char, 4096> buffer{};
    socket.read_some(boost::asio::buffer(buffer), ignored);
    boost::asio::write(socket, boost::asio::buffer(text_), ignored);
    if (ending_ == ending::reset) {
      // Let the text arrive first: a reset may overtake it.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    if (ending_ != ending::open) {
      socket.close(ignored);
    }
    if (!is_over_) {
      acceptor_.accept(ignored);
    }
  }

  std::string text_;
  ending ending_;
  std::atomic<bool> is_over_{false};
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

result<answer_message, client_error> get(const tcp::endpoint& address, duration timeout,
                                         const client_settings& settings = {}, const std::string& id = "") {
  boost::asio::io_context workers;
  client_pool pool(workers, address, settings);
  result<answer_message, client_error> found = client_error::unreachable;
  headers fields;
  if (!id.empty()) {
    fields.push_back({settings.echoed_field, id});
  }
  pool.send({"GET", "/", fields, ""}, timeout,
            [&](const result<answer_message, client_error>& outcome) { found = outcome; });
  workers.run();
  return found;
}

client_error error_of(const result<answer_message, client_error>& outcome) {
  BOOST_REQUIRE(!succeeded(outcome));
  return std::get<client_error>(outcome);
}

class echo final : public request_handler {
 public:
  void on_request(std::uint64_t, request_message request, reply answer) override {
    answer({200, {{"X-Method", request.method}}, request.body + request.target});
  }
  void on_bad_request(int status, const std::string&) override { last_bad_status = status; }

  std::atomic<int> last_bad_status{0};
};

/// A server on workers of its own.
struct served {
  boost::asio::io_context workers;
  echo handler;
  server tested;
  std::thread thread;

  explicit served(const server_settings& settings) : tested(workers, settings, handler) {
    BOOST_REQUIRE(tested.start("127.0.0.1:0"));
    thread = std::thread([this]() { workers.run(); });
  }
  served(const served&) = delete;
  served& operator=(const served&) = delete;
  ~served() {
    workers.stop();
    thread.join();
  }

  std::string exchange(const std::string& raw) {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*parse_address("127.0.0.1:" + std::to_string(tested.port())));
    boost::asio::write(socket, boost::asio::buffer(raw));
    socket.shutdown(tcp::socket::shutdown_send);
    std::string answer;
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error) {
      answer.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
    }
    return answer;
  }
};

/// Keeps its answers until the test gives them, and remembers who has gone.
class holder final : public request_handler {
 public:
  void on_request(std::uint64_t exchange, request_message request, reply answer) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_.push_back({exchange, request.target, std::move(answer)});
    changed_.notify_all();
  }
  void on_disconnect(std::uint64_t) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++gone_;
    changed_.notify_all();
  }

  bool wait_for_requests(std::size_t count) {
    return wait([&]() { return held_.size() >= count; });
  }
  bool has_requests_within(std::size_t count, std::chrono::milliseconds time) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, time, [&]() { return held_.size() >= count; });
  }
  bool wait_for_gone(int count) {
    return wait([&]() { return gone_ >= count; });
  }
  bool has_request(const std::string& target) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::any_of(held_.begin(), held_.end(),
                       [&](const held_request& known) { return known.target == target; });
  }
  void answer(std::size_t index, std::size_t padding = 0) {
    const std::lock_guard<std::mutex> lock(mutex_);
    held_.at(index).answer({200, {}, std::string(padding, ' ') + "to " + held_.at(index).target});
  }

 private:
  struct held_request {
    std::uint64_t exchange;
    std::string target;
    reply answer;
  };

  bool wait(const std::function<bool()>& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20), condition);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<held_request> held_;
  int gone_ = 0;
};

/// A server whose handler holds its answers, and one connection to it.
struct held_server {
  boost::asio::io_context workers;
  holder handler;
  server tested{workers, server_settings{}, handler};
  std::thread thread;
  boost::asio::io_context context;
  tcp::socket socket{context};

  held_server() {
    BOOST_REQUIRE(tested.start("127.0.0.1:0"));
    thread = std::thread([this]() { workers.run(); });
    socket.connect(*parse_address("127.0.0.1:" + std::to_string(tested.port())));
  }
  held_server(const held_server&) = delete;
  held_server& operator=(const held_server&) = delete;
  ~held_server() {
    workers.stop();
    thread.join();
  }

  void send(const std::string& raw) { boost::asio::write(socket, boost::asio::buffer(raw)); }

  /// Reads until the text has come, or the connection ends.
  std::string read_until(const std::string& text) {
    std::string got;
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error && got.find(text) == std::string::npos) {
      got.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
    }
    return got;
  }

  /// Reads until the connection ends, and returns how many bytes came.
  std::size_t read_to_end() {
    std::size_t count = 0;
    std::vector<char> buffer(64U << 10U);
    boost::system::error_code error;
    while (!error) {
      count += socket.read_some(boost::asio::buffer(buffer), error);
    }
    return count;
  }
};

constexpr duration patience = std::chrono::seconds(20);

}  // namespace

BOOST_AUTO_TEST_SUITE(http_edges)

BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_off_is_never_passed_on) {
  const raw_peer short_body("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  BOOST_TEST((error_of(get(short_body.address(), patience)) == client_error::lost));
  const raw_peer short_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  BOOST_TEST((error_of(get(short_chunks.address(), patience)) == client_error::lost));
  const raw_peer no_end("HTTP/1.1 200 OK\r\n\r\nall or half?");
  BOOST_TEST((error_of(get(no_end.address(), patience)) == client_error::malformed));
}

BOOST_AUTO_TEST_CASE(a_whole_answer_is_passed_on) {
  const raw_peer whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n");
  const result<answer_message, client_error> outcome = get(whole.address(), patience);
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<answer_message>(outcome).body == "half");
}

BOOST_AUTO_TEST_CASE(a_silent_target_and_an_absent_one_are_told_apart) {
  const raw_peer silent("", raw_peer::ending::open);
  BOOST_TEST((error_of(get(silent.address(), std::chrono::milliseconds(50))) == client_error::timed_out));
  const tcp::endpoint absent = *parse_address(free_address());
  BOOST_TEST((error_of(get(absent, patience)) == client_error::unreachable));
}

BOOST_AUTO_TEST_CASE(a_request_is_answered_and_bad_ones_are_refused) {
  server_settings settings;
  settings.most_body_bytes = 1'000;
  served fixture(settings);
  BOOST_TEST(fixture.exchange("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").find("/a") !=
             std::string::npos);
  BOOST_TEST(fixture.exchange("nonsense\r\n\r\n").find(" 400 ") != std::string::npos);
  BOOST_TEST(fixture.handler.last_bad_status == 400);
  const std::string large =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'x');
  const std::string refused = fixture.exchange(large);
  BOOST_TEST(refused.find(" 413 ") != std::string::npos);
  BOOST_TEST(refused.find("not-run") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(requests_are_read_while_answers_are_due_and_answered_in_their_order) {
  held_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.handler.answer(1);
  fixture.handler.answer(0);
  const std::string got = fixture.read_until("to /2");
  BOOST_TEST(got.find("to /1") < got.find("to /2"));
}

BOOST_AUTO_TEST_CASE(requests_with_large_bodies_are_not_read_ahead_of_their_answers_without_a_bound) {
  held_server fixture;
  const std::size_t half = server_settings().most_body_bytes / 2;
  const std::string text = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(half) +
                           "\r\n\r\n" + std::string(half, 'a');
  constexpr std::size_t count = 16;
  std::thread sender([&]() {
    boost::system::error_code ignored;
    for (std::size_t i = 0; i < count; ++i) {
      boost::asio::write(fixture.socket, boost::asio::buffer(text), ignored);
    }
  });
  const std::size_t ahead = server_settings().most_pipelined_bytes / half;
  BOOST_TEST(fixture.handler.wait_for_requests(ahead));
  // What is read ahead comes without an answer; none further comes until one was written.
  BOOST_TEST(!fixture.handler.has_requests_within(ahead + 1, std::chrono::milliseconds(300)));
  for (std::size_t i = 0; i < count; ++i) {
    BOOST_REQUIRE(fixture.handler.wait_for_requests(i + 1));
    fixture.handler.answer(i);
  }
  sender.join();
  BOOST_TEST(!fixture.read_until("to /1").empty());
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_all_that_it_has_asked) {
  held_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.socket.close();
  BOOST_TEST(fixture.handler.wait_for_gone(2));
}

BOOST_AUTO_TEST_CASE(a_caller_that_asked_for_the_end_of_its_connection_may_leave_before_the_answer) {
  held_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  fixture.socket.close();
  BOOST_TEST(fixture.handler.wait_for_gone(1));
}

BOOST_AUTO_TEST_CASE(a_stopping_server_answers_what_it_has_read_before_it_closes) {
  held_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.tested.refuse_keep_alive();
  fixture.handler.answer(0);
  BOOST_TEST(fixture.read_until("to /1").find("Connection: close") == std::string::npos);
  fixture.handler.answer(1);
  BOOST_TEST(fixture.read_until("to /2").find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_behind_the_last_answer_is_not_passed_on_and_then_cut_off) {
  held_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  fixture.tested.refuse_keep_alive();
  // More than the socket takes at once.
  constexpr std::size_t long_answer = 16U << 20U;
  fixture.handler.answer(0, long_answer);
  const std::string begin = fixture.read_until("Connection: close");
  BOOST_REQUIRE(begin.find("Connection: close") != std::string::npos);
  fixture.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(begin.size() + fixture.read_to_end() > long_answer);
  BOOST_TEST(!fixture.handler.has_request("/2"));
}

BOOST_AUTO_TEST_CASE(the_last_answer_of_a_stopping_server_is_not_cut_off_by_a_request_that_crosses_it) {
  held_server fixture;
  fixture.socket.set_option(boost::asio::socket_base::receive_buffer_size(64 << 10));
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  fixture.tested.refuse_keep_alive();
  // The socket of the server takes all of it, that of the caller does not.
  constexpr std::size_t answer_size = 1U << 20U;
  fixture.handler.answer(0, answer_size);
  const std::string begin = fixture.read_until("Connection: close");
  BOOST_REQUIRE(begin.find("Connection: close") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fixture.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(begin.size() + fixture.read_to_end() > answer_size);
}

BOOST_AUTO_TEST_CASE(a_stopping_server_tells_that_callers_still_take_their_last_answers) {
  held_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  BOOST_TEST(fixture.tested.has_written_all());
  fixture.tested.refuse_keep_alive();
  // More than the socket takes at once.
  fixture.handler.answer(0, 16U << 20U);
  BOOST_REQUIRE(fixture.read_until("Connection: close").find("Connection: close") != std::string::npos);
  BOOST_TEST(!fixture.tested.has_written_all());
  fixture.read_to_end();
  fixture.socket.close();
  const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + patience;
  while (!fixture.tested.has_written_all() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(fixture.tested.has_written_all());
}

BOOST_AUTO_TEST_CASE(a_connection_ahead_tells_whether_the_target_is_there_and_serves_the_next_request) {
  // The peer takes one connection, so the request can only use the one that was opened ahead.
  raw_peer peer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", raw_peer::ending::open);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), client_settings{});
  bool is_there = false;
  result<answer_message, client_error> found = client_error::unreachable;
  pool.connect_ahead([&](bool is_reachable) {
    is_there = is_reachable;
    pool.send({"GET", "/", {}, ""}, std::chrono::seconds(1),
              [&](const result<answer_message, client_error>& outcome) { found = outcome; });
  });
  workers.run();
  BOOST_TEST(is_there);
  BOOST_REQUIRE(succeeded(found));
  BOOST_TEST(std::get<answer_message>(found).body == "hi");

  client_pool nowhere(workers, *parse_address(free_address()), client_settings{});
  nowhere.connect_ahead([&](bool is_reachable) { is_there = is_reachable; });
  workers.restart();
  workers.run();
  BOOST_TEST(!is_there);
}

BOOST_AUTO_TEST_CASE(an_answer_of_an_earlier_request_is_dropped) {
  const raw_peer late(
      "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nwrong"
      "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\nright");
  client_settings settings;
  settings.echoed_field = "X-Id";
  const result<answer_message, client_error> outcome = get(late.address(), patience, settings, "new");
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<answer_message>(outcome).body == "right");
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_whole_at_an_orderly_end_only) {
  client_settings settings;
  settings.accepts_unframed = true;
  const raw_peer orderly("HTTP/1.1 200 OK\r\n\r\nall of it");
  const result<answer_message, client_error> outcome = get(orderly.address(), patience, settings);
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<answer_message>(outcome).body == "all of it");
  const raw_peer reset("HTTP/1.1 200 OK\r\n\r\nsome of it", raw_peer::ending::reset);
  BOOST_TEST((error_of(get(reset.address(), patience, settings)) == client_error::lost));
}

BOOST_AUTO_TEST_CASE(addresses_are_numbers) {
  BOOST_TEST(parse_address("127.0.0.1:80").has_value());
  BOOST_TEST(parse_address("[::1]:80").has_value());
  for (const char* const bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":80", ""}) {
    BOOST_TEST(!parse_address(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
