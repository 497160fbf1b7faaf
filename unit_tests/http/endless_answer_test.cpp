#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/server.h"

#include "unit_tests/http/endless_peer.h"

namespace nutmegarch::http {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr duration answer_timeout = std::chrono::seconds(3);
/// Maximum time until an invalid answer fails; less than answer_timeout, so that a timeout does not pass for
/// an early failure.
constexpr duration max_failure_time = std::chrono::seconds(2);
/// Maximum number of bytes that a peer can write before its connection is closed: the largest head plus the
/// system's socket buffers.
constexpr std::size_t max_peer_bytes = 8U << 20U;
constexpr std::size_t body_limit_bytes = 16U << 20U;

struct get_outcome {
  result<answer_message, client_error> answer = client_error::unreachable;
  duration elapsed{};
};

client_settings lenient_settings() {
  client_settings settings;
  settings.max_body_bytes = body_limit_bytes;
  settings.echoed_field = "X-Id";
  settings.allow_close_delimited = true;
  return settings;
}

get_outcome get(const endless_peer& peer, const client_settings& settings,
                duration timeout = answer_timeout) {
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), settings);
  get_outcome found;
  const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, timeout,
            [&](const result<answer_message, client_error>& outcome) { found.answer = outcome; });
  workers.run();
  found.elapsed = std::chrono::steady_clock::now() - begin;
  return found;
}

/// Checks that the answer fails as malformed before the timeout and after at most max_peer_bytes, and that
/// its connection is closed.
void check_rejected_early(const endless_script& script, const client_settings& settings) {
  const endless_peer peer(script);
  const get_outcome found = get(peer, settings);
  BOOST_REQUIRE(!succeeded(found.answer));
  BOOST_TEST((std::get<client_error>(found.answer) == client_error::malformed));
  BOOST_TEST((found.elapsed < max_failure_time));
  BOOST_TEST(peer.wait_for_closed(1));
  BOOST_TEST(peer.written_bytes() < max_peer_bytes);
}

/// Resident memory of this process, in bytes.
std::size_t resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0;
  file >> pages >> pages;
  return pages * 4096;
}

class fixed_answer_handler final : public request_handler {
 public:
  void on_request(std::uint64_t, request_message, answer_callback answer) override {
    answer({200, {}, "served"});
  }
};

/// Sends an endless request to a server with default settings: `prefix`, then `filler` repeatedly. Returns
/// the number of bytes written until the server answered or closed, and stores the answer in `answer`.
std::size_t send_endless_request(const std::string& prefix, const std::string& filler, std::string& answer) {
  constexpr std::size_t most_bytes = 64U << 20U;
  boost::asio::io_context workers;
  fixed_answer_handler handler;
  server tested(workers, server_settings{}, handler);
  BOOST_REQUIRE(tested.start("127.0.0.1:0"));
  std::thread thread([&workers]() { workers.run(); });
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect(*parse_address("127.0.0.1:" + std::to_string(tested.port())));
  socket.set_option(boost::asio::socket_base::send_buffer_size(16 << 10));
  boost::system::error_code error;
  std::size_t written_bytes = boost::asio::write(socket, boost::asio::buffer(prefix), error);
  std::array<char, 4096> buffer{};
  while (!error && written_bytes < most_bytes && socket.available() == 0) {
    written_bytes += boost::asio::write(socket, boost::asio::buffer(filler), error);
  }
  if (socket.available() > 0) {
    boost::system::error_code ignored;
    answer.assign(buffer.data(), socket.read_some(boost::asio::buffer(buffer), ignored));
  }
  workers.stop();
  thread.join();
  return written_bytes;
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string filler_text(4'000, 'a');

}  // namespace

BOOST_AUTO_TEST_SUITE(endless_answers)

BOOST_AUTO_TEST_CASE(an_endless_head_is_rejected) {
  check_rejected_early({"", filler_text}, lenient_settings());
  check_rejected_early({"HTTP/1.1 200 O", filler_text}, lenient_settings());
  check_rejected_early({"HTTP/1.1 200 OK\r\nX-A: ", filler_text}, lenient_settings());
  check_rejected_early({"HTTP/1.1 200 OK\r\n", "X-A: " + filler_text + "\r\n"}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(an_endless_chunk_extension_is_rejected) {
  check_rejected_early({chunked_head + "4;x=", filler_text}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(endless_trailers_are_rejected) {
  check_rejected_early({chunked_head + "0\r\n", "X-A: " + filler_text + "\r\n"}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(chunks_that_consist_mostly_of_extensions_are_rejected) {
  check_rejected_early({chunked_head, "1;x=" + filler_text + "\r\nb\r\n"}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(endless_chunks_of_one_byte_are_rejected) {
  std::string chunks;
  for (std::size_t i = 0; i < 700; ++i) {
    chunks += "1\r\na\r\n";
  }
  check_rejected_early({chunked_head, chunks}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(endless_interim_answers_are_rejected) {
  check_rejected_early({"", "HTTP/1.1 100 Continue\r\n\r\n"}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(endless_answers_to_other_requests_are_rejected) {
  check_rejected_early({"", "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nwrong"},
                       lenient_settings());
}

BOOST_AUTO_TEST_CASE(a_close_delimited_body_is_rejected_early_unless_allowed) {
  client_settings settings = lenient_settings();
  settings.allow_close_delimited = false;
  check_rejected_early({"HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", filler_text}, settings);
}

BOOST_AUTO_TEST_CASE(a_close_delimited_answer_to_another_request_is_rejected_after_its_head) {
  check_rejected_early({"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\n", filler_text}, lenient_settings());
}

BOOST_AUTO_TEST_CASE(an_endless_body_is_rejected_at_the_size_limit) {
  for (const char* const framing : {"", "Transfer-Encoding: chunked\r\n"}) {
    const bool is_chunked = *framing != '\0';
    const endless_peer peer({std::string("HTTP/1.1 200 OK\r\nX-Id: new\r\n") + framing + "\r\n",
                             is_chunked ? "fa0\r\n" + filler_text + "\r\n" : filler_text});
    const get_outcome found = get(peer, lenient_settings());
    BOOST_REQUIRE(!succeeded(found.answer));
    BOOST_TEST((std::get<client_error>(found.answer) == client_error::too_large));
    BOOST_TEST((found.elapsed < max_failure_time));
    BOOST_TEST(peer.wait_for_closed(1));
    BOOST_TEST(peer.written_bytes() < body_limit_bytes + max_peer_bytes);
  }
}

BOOST_AUTO_TEST_CASE(endless_bytes_after_a_complete_answer_close_the_connection) {
  const endless_peer peer({"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 2\r\n\r\nhi", filler_text});
  const get_outcome found = get(peer, lenient_settings());
  BOOST_REQUIRE(succeeded(found.answer));
  BOOST_TEST(std::get<answer_message>(found.answer).body == "hi");
  BOOST_TEST(peer.wait_for_closed(1));
  BOOST_TEST(peer.written_bytes() < max_peer_bytes);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_with_endless_input_is_pruned) {
  endless_script script{"", filler_text};
  script.is_unsolicited = true;
  const endless_peer peer(script);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), client_settings{});
  pool.preconnect([](bool is_connected) { BOOST_TEST(is_connected); });
  workers.run();
  while (peer.written_bytes() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(peer.closed_connections() == 0);
  pool.prune_idle_connections();
  BOOST_TEST(peer.wait_for_closed(1));
  BOOST_TEST(peer.written_bytes() < max_peer_bytes);
}

BOOST_AUTO_TEST_CASE(a_usable_idle_connection_is_not_pruned) {
  endless_script script;
  script.first_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  const endless_peer peer(script);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), client_settings{});
  bool is_answered = false;
  pool.preconnect([&](bool) {
    pool.prune_idle_connections();
    pool.send({"GET", "/", {}, ""}, std::chrono::seconds(5),
              [&](const result<answer_message, client_error>& outcome) { is_answered = succeeded(outcome); });
  });
  workers.run();
  BOOST_TEST(is_answered);
}

BOOST_AUTO_TEST_CASE(a_slow_endless_answer_fails_at_the_timeout) {
  const endless_peer peer({"HTTP/1.1 200 OK\r\nX-A: ", "a", std::chrono::milliseconds(5)});
  const get_outcome found = get(peer, lenient_settings(), std::chrono::milliseconds(300));
  BOOST_REQUIRE(!succeeded(found.answer));
  BOOST_TEST((std::get<client_error>(found.answer) == client_error::timed_out));
  BOOST_TEST((found.elapsed < max_failure_time));
  BOOST_TEST(peer.wait_for_closed(1));
}

BOOST_AUTO_TEST_CASE(concurrent_endless_bodies_use_bounded_memory) {
  constexpr int count = 16;
  constexpr std::size_t max_growth_bytes = 96U << 20U;
  const endless_peer peer({"HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", filler_text});
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), lenient_settings());
  int failed_count = 0;
  for (int i = 0; i < count; ++i) {
    pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(20),
              [&](const result<answer_message, client_error>& outcome) {
                failed_count += succeeded(outcome) ? 0 : 1;
              });
  }
  const std::size_t initial_bytes = resident_bytes();
  std::size_t peak_bytes = initial_bytes;
  while (workers.run_one() > 0) {
    peak_bytes = std::max(peak_bytes, resident_bytes());
  }
  BOOST_TEST(failed_count == count);
  BOOST_TEST(peer.wait_for_closed(count));
  BOOST_TEST(peak_bytes - initial_bytes < max_growth_bytes);
}

BOOST_AUTO_TEST_CASE(a_large_complete_answer_succeeds_beside_concurrent_endless_bodies) {
  constexpr int endless_count = 30;
  const std::string body(2U << 20U, 'b');
  endless_script script{"HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", filler_text};
  script.first_answer =
      "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const endless_peer peer(script);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), lenient_settings());
  result<answer_message, client_error> whole = client_error::unreachable;
  int failed_count = 0;
  pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(20),
            [&](const result<answer_message, client_error>& outcome) { whole = outcome; });
  // The peer sends its first answer on the first connection that it reads from; the request above has to be
  // that one.
  while (pool.unfinished_answer_bytes() == 0 && workers.run_one() > 0) {
  }
  for (int i = 0; i < endless_count; ++i) {
    pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(20),
              [&](const result<answer_message, client_error>& outcome) {
                failed_count += succeeded(outcome) ? 0 : 1;
              });
  }
  std::size_t peak_bytes = 0;
  while (workers.run_one() > 0) {
    peak_bytes = std::max(peak_bytes, pool.unfinished_answer_bytes());
  }
  BOOST_REQUIRE(succeeded(whole));
  BOOST_TEST((std::get<answer_message>(whole).body == body));
  BOOST_TEST(failed_count == endless_count);
  BOOST_TEST(peak_bytes <= client_settings{}.unfinished_answers.max_bytes);
  BOOST_TEST(peak_bytes > body.size());
  BOOST_TEST(pool.unfinished_answer_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(complete_answers_succeed_with_each_framing) {
  const std::string body(body_limit_bytes, 'b');
  const std::string status = "HTTP/1.1 200 OK\r\nX-Id: new\r\n";
  for (const std::string& framed :
       {status + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, status + "\r\n" + body,
        status + "Transfer-Encoding: chunked\r\n\r\n1000000;x=y\r\n" + body + "\r\n0\r\nX-T: t\r\n\r\n"}) {
    endless_script script;
    script.first_answer = framed;
    const endless_peer peer(script);
    const get_outcome found = get(peer, lenient_settings(), std::chrono::seconds(20));
    BOOST_REQUIRE(succeeded(found.answer));
    BOOST_TEST((std::get<answer_message>(found.answer).body == body));
  }
}

BOOST_AUTO_TEST_CASE(a_request_with_an_endless_chunk_extension_is_rejected) {
  std::string answer;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(send_endless_request(head + "4;x=", filler_text, answer) < max_peer_bytes);
  BOOST_TEST(answer.find(" 400 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_with_endless_trailers_is_rejected) {
  std::string answer;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(send_endless_request(head + "0\r\n", "X-A: " + filler_text + "\r\n", answer) < max_peer_bytes);
  BOOST_TEST(answer.find(" 400 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_with_an_endless_head_is_rejected) {
  std::string answer;
  BOOST_TEST(send_endless_request("GET / HTTP/1.1\r\n", "X-A: " + filler_text + "\r\n", answer) <
             max_peer_bytes);
  BOOST_TEST(answer.find(" 431 ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
