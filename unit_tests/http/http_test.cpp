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

/// A server that accepts one connection, reads once, writes a fixed text, and then closes the connection,
/// resets it or keeps it open.
class raw_peer {
 public:
  enum class close_mode { orderly, open, reset };

  explicit raw_peer(std::string text, close_mode mode = close_mode::orderly)
      : text_(std::move(text)),
        close_mode_(mode),
        acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    thread_ = std::thread([this]() { serve(); });
  }
  raw_peer(const raw_peer&) = delete;
  raw_peer& operator=(const raw_peer&) = delete;
  ~raw_peer() {
    is_stopping_ = true;
    // Unblocks accept() in the thread.
    tcp::socket wakeup_socket(context_);
    boost::system::error_code ignored;
    wakeup_socket.connect(acceptor_.local_endpoint(), ignored);
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
    if (close_mode_ == close_mode::reset) {
      // A reset discards data that the client has not read, so the client needs time to read the text.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    if (close_mode_ != close_mode::open) {
      socket.close(ignored);
    }
    if (!is_stopping_) {
      acceptor_.accept(ignored);
    }
  }

  std::string text_;
  close_mode close_mode_;
  std::atomic<bool> is_stopping_{false};
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

class echo_handler final : public request_handler {
 public:
  void on_request(std::uint64_t, request_message request, answer_callback answer) override {
    answer({200, {{"X-Method", request.method}}, request.body + request.target});
  }
  void on_bad_request(int status, const std::string&) override { last_bad_status = status; }

  std::atomic<int> last_bad_status{0};
};

/// A server with an echo handler and a worker thread of its own.
struct echo_server {
  boost::asio::io_context workers;
  echo_handler handler;
  server tested;
  std::thread thread;

  explicit echo_server(const server_settings& settings) : tested(workers, settings, handler) {
    BOOST_REQUIRE(tested.start("127.0.0.1:0"));
    thread = std::thread([this]() { workers.run(); });
  }
  echo_server(const echo_server&) = delete;
  echo_server& operator=(const echo_server&) = delete;
  ~echo_server() {
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

/// Answers only when the test calls answer(), and counts disconnects.
class deferred_answer_handler final : public request_handler {
 public:
  void on_request(std::uint64_t exchange_id, request_message request, answer_callback answer) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back({exchange_id, request.target, std::move(answer)});
    changed_.notify_all();
  }
  void on_disconnect(std::uint64_t) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++disconnects_;
    changed_.notify_all();
  }

  bool wait_for_requests(std::size_t count) {
    return wait([&]() { return requests_.size() >= count; });
  }
  bool receives_requests_within(std::size_t count, std::chrono::milliseconds time) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, time, [&]() { return requests_.size() >= count; });
  }
  bool wait_for_disconnects(int count) {
    return wait([&]() { return disconnects_ >= count; });
  }
  bool has_request(const std::string& target) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::any_of(requests_.begin(), requests_.end(),
                       [&](const received_request& request) { return request.target == target; });
  }
  void answer(std::size_t index, std::size_t padding = 0) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.at(index).answer({200, {}, std::string(padding, ' ') + "to " + requests_.at(index).target});
  }

 private:
  struct received_request {
    std::uint64_t exchange_id;
    std::string target;
    answer_callback answer;
  };

  bool wait(const std::function<bool()>& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20), condition);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<received_request> requests_;
  int disconnects_ = 0;
};

/// A server with a deferred_answer_handler, and one connection to it.
struct deferred_answer_server {
  boost::asio::io_context workers;
  deferred_answer_handler handler;
  server tested{workers, server_settings{}, handler};
  std::thread thread;
  boost::asio::io_context context;
  tcp::socket socket{context};

  deferred_answer_server() {
    BOOST_REQUIRE(tested.start("127.0.0.1:0"));
    thread = std::thread([this]() { workers.run(); });
    socket.connect(*parse_address("127.0.0.1:" + std::to_string(tested.port())));
  }
  deferred_answer_server(const deferred_answer_server&) = delete;
  deferred_answer_server& operator=(const deferred_answer_server&) = delete;
  ~deferred_answer_server() {
    workers.stop();
    thread.join();
  }

  void send(const std::string& raw) { boost::asio::write(socket, boost::asio::buffer(raw)); }

  /// Reads until the text has been received or the connection ends.
  std::string read_until(const std::string& text) {
    std::string received;
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error && received.find(text) == std::string::npos) {
      received.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
    }
    return received;
  }

  /// Reads until the connection ends; returns the number of bytes read.
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

/// Waits until the condition holds; returns false after 20 s.
bool wait_until(const std::function<bool()>& condition) {
  for (int i = 0; i < 2'000 && !condition(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

constexpr duration test_timeout = std::chrono::seconds(20);

}  // namespace

BOOST_AUTO_TEST_SUITE(http_client_and_server)

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_an_error) {
  const raw_peer short_body("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  BOOST_TEST((error_of(get(short_body.address(), test_timeout)) == client_error::lost));
  const raw_peer short_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  BOOST_TEST((error_of(get(short_chunks.address(), test_timeout)) == client_error::lost));
  const raw_peer no_end("HTTP/1.1 200 OK\r\n\r\nall or half?");
  BOOST_TEST((error_of(get(no_end.address(), test_timeout)) == client_error::malformed));
}

BOOST_AUTO_TEST_CASE(a_complete_chunked_answer_is_returned) {
  const raw_peer whole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n");
  const result<answer_message, client_error> outcome = get(whole.address(), test_timeout);
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<answer_message>(outcome).body == "half");
}

BOOST_AUTO_TEST_CASE(a_silent_server_times_out_and_an_absent_one_is_unreachable) {
  const raw_peer silent("", raw_peer::close_mode::open);
  BOOST_TEST((error_of(get(silent.address(), std::chrono::milliseconds(50))) == client_error::timed_out));
  const tcp::endpoint absent = *parse_address(free_address());
  BOOST_TEST((error_of(get(absent, test_timeout)) == client_error::unreachable));
}

BOOST_AUTO_TEST_CASE(a_valid_request_is_answered_and_invalid_ones_get_an_error_status) {
  server_settings settings;
  settings.max_body_bytes = 1'000;
  echo_server fixture(settings);
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

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_the_order_of_the_requests) {
  deferred_answer_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.handler.answer(1);
  fixture.handler.answer(0);
  const std::string received = fixture.read_until("to /2");
  BOOST_TEST(received.find("to /1") < received.find("to /2"));
}

BOOST_AUTO_TEST_CASE(pipelined_requests_with_large_bodies_are_read_up_to_the_byte_limit) {
  deferred_answer_server fixture;
  const std::size_t half = server_settings().max_body_bytes / 2;
  const std::string text = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(half) +
                           "\r\n\r\n" + std::string(half, 'a');
  constexpr std::size_t count = 16;
  std::thread sender([&]() {
    boost::system::error_code ignored;
    for (std::size_t i = 0; i < count; ++i) {
      boost::asio::write(fixture.socket, boost::asio::buffer(text), ignored);
    }
  });
  const std::size_t ahead = server_settings().max_pipelined_bytes / half;
  BOOST_TEST(fixture.handler.wait_for_requests(ahead));
  // The server reads up to the limit without an answer, and no further until an answer has been written.
  BOOST_TEST(!fixture.handler.receives_requests_within(ahead + 1, std::chrono::milliseconds(300)));
  for (std::size_t i = 0; i < count; ++i) {
    BOOST_REQUIRE(fixture.handler.wait_for_requests(i + 1));
    fixture.handler.answer(i);
  }
  sender.join();
  BOOST_TEST(!fixture.read_until("to /1").empty());
}

BOOST_AUTO_TEST_CASE(unfinished_requests_and_unwritten_answers_are_counted_until_they_end) {
  deferred_answer_server fixture;
  constexpr std::size_t body_bytes = 100'000;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.handler.answer(1, body_bytes);
  BOOST_TEST(wait_until([&]() { return fixture.tested.buffers().unwritten_answer_bytes > body_bytes; }));
  fixture.send("POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
               std::string(body_bytes, 'a'));
  BOOST_TEST(wait_until([&]() { return fixture.tested.buffers().unfinished_request_bytes == body_bytes; }));
  fixture.handler.answer(0);
  fixture.read_until("to /2");
  BOOST_TEST(wait_until([&]() { return fixture.tested.buffers().unwritten_answer_bytes == 0; }));
  fixture.socket.close();
  BOOST_TEST(wait_until([&]() { return fixture.tested.buffers().unfinished_request_bytes == 0; }));
}

BOOST_AUTO_TEST_CASE(a_disconnect_is_reported_for_each_pending_request) {
  deferred_answer_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.socket.close();
  BOOST_TEST(fixture.handler.wait_for_disconnects(2));
}

BOOST_AUTO_TEST_CASE(a_disconnect_before_the_answer_is_reported_also_after_connection_close) {
  deferred_answer_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  fixture.socket.close();
  BOOST_TEST(fixture.handler.wait_for_disconnects(1));
}

BOOST_AUTO_TEST_CASE(a_stopping_server_answers_all_pending_requests_before_it_closes) {
  deferred_answer_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(2));
  fixture.tested.disable_keep_alive();
  fixture.handler.answer(0);
  BOOST_TEST(fixture.read_until("to /1").find("Connection: close") == std::string::npos);
  fixture.handler.answer(1);
  BOOST_TEST(fixture.read_until("to /2").find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_after_the_last_answer_is_not_handled) {
  deferred_answer_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  fixture.tested.disable_keep_alive();
  // More than the socket buffers hold.
  constexpr std::size_t long_answer = 16U << 20U;
  fixture.handler.answer(0, long_answer);
  const std::string begin = fixture.read_until("Connection: close");
  BOOST_REQUIRE(begin.find("Connection: close") != std::string::npos);
  fixture.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(begin.size() + fixture.read_to_end() > long_answer);
  BOOST_TEST(!fixture.handler.has_request("/2"));
}

// A server that closes a connection with unread input resets it, and the caller then loses the unread part of
// the answer. Guards against this when a request arrives while the caller still reads the last answer.
BOOST_AUTO_TEST_CASE(the_last_answer_of_a_stopping_server_is_complete_when_a_request_arrives_meanwhile) {
  deferred_answer_server fixture;
  fixture.socket.set_option(boost::asio::socket_base::receive_buffer_size(64 << 10));
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  fixture.tested.disable_keep_alive();
  // The server's send buffer holds all of it, the caller's receive buffer does not.
  constexpr std::size_t answer_size = 1U << 20U;
  fixture.handler.answer(0, answer_size);
  const std::string begin = fixture.read_until("Connection: close");
  BOOST_REQUIRE(begin.find("Connection: close") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fixture.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  BOOST_TEST(begin.size() + fixture.read_to_end() > answer_size);
}

BOOST_AUTO_TEST_CASE(a_stopping_server_has_pending_writes_until_callers_have_read_their_last_answers) {
  deferred_answer_server fixture;
  fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_REQUIRE(fixture.handler.wait_for_requests(1));
  BOOST_TEST(fixture.tested.has_no_pending_writes());
  fixture.tested.disable_keep_alive();
  // More than the socket buffers hold.
  fixture.handler.answer(0, 16U << 20U);
  BOOST_REQUIRE(fixture.read_until("Connection: close").find("Connection: close") != std::string::npos);
  BOOST_TEST(!fixture.tested.has_no_pending_writes());
  fixture.read_to_end();
  fixture.socket.close();
  const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + test_timeout;
  while (!fixture.tested.has_no_pending_writes() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(fixture.tested.has_no_pending_writes());
}

BOOST_AUTO_TEST_CASE(
    preconnect_reports_whether_the_server_is_reachable_and_the_next_request_uses_its_connection) {
  // The peer accepts one connection, so the request can only use the one that preconnect() opened.
  raw_peer peer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", raw_peer::close_mode::open);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), client_settings{});
  bool is_connected = false;
  result<answer_message, client_error> found = client_error::unreachable;
  pool.preconnect([&](bool is_reachable) {
    is_connected = is_reachable;
    pool.send({"GET", "/", {}, ""}, std::chrono::seconds(1),
              [&](const result<answer_message, client_error>& outcome) { found = outcome; });
  });
  workers.run();
  BOOST_TEST(is_connected);
  BOOST_REQUIRE(succeeded(found));
  BOOST_TEST(std::get<answer_message>(found).body == "hi");

  client_pool nowhere(workers, *parse_address(free_address()), client_settings{});
  nowhere.preconnect([&](bool is_reachable) { is_connected = is_reachable; });
  workers.restart();
  workers.run();
  BOOST_TEST(!is_connected);
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_request_is_discarded) {
  const raw_peer late(
      "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nwrong"
      "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 5\r\n\r\nright");
  client_settings settings;
  settings.echoed_field = "X-Id";
  const result<answer_message, client_error> outcome = get(late.address(), test_timeout, settings, "new");
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<answer_message>(outcome).body == "right");
}

BOOST_AUTO_TEST_CASE(a_close_delimited_answer_is_complete_only_after_an_orderly_close) {
  client_settings settings;
  settings.allow_close_delimited = true;
  const raw_peer orderly("HTTP/1.1 200 OK\r\n\r\nall of it");
  const result<answer_message, client_error> outcome = get(orderly.address(), test_timeout, settings);
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<answer_message>(outcome).body == "all of it");
  const raw_peer reset("HTTP/1.1 200 OK\r\n\r\nsome of it", raw_peer::close_mode::reset);
  BOOST_TEST((error_of(get(reset.address(), test_timeout, settings)) == client_error::lost));
}

BOOST_AUTO_TEST_CASE(addresses_are_numeric_and_have_a_port) {
  BOOST_TEST(parse_address("127.0.0.1:80").has_value());
  BOOST_TEST(parse_address("[::1]:80").has_value());
  for (const char* const bad : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", ":80", ""}) {
    BOOST_TEST(!parse_address(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
