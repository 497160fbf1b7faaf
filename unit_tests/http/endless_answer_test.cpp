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

constexpr duration deadline = std::chrono::seconds(3);
/// An answer that is none is given up this long before the deadline.
constexpr duration soon = std::chrono::seconds(2);
/// Most bytes that a peer gets rid of before its connection is closed: a bounded head and the system's
/// buffers.
constexpr std::size_t few_bytes = 8U << 20U;
constexpr std::size_t largest_body = 16U << 20U;

struct outcome_of_get {
  result<answer_message, client_error> answer = client_error::unreachable;
  duration took{};
};

client_settings large_settings() {
  client_settings settings;
  settings.most_body_bytes = largest_body;
  settings.echoed_field = "X-Id";
  settings.accepts_unframed = true;
  return settings;
}

outcome_of_get get(const endless_peer& peer, const client_settings& settings, duration timeout = deadline) {
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), settings);
  outcome_of_get found;
  const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
  pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, timeout,
            [&](const result<answer_message, client_error>& outcome) { found.answer = outcome; });
  workers.run();
  found.took = std::chrono::steady_clock::now() - begin;
  return found;
}

/// The answer is given up at once as malformed, after few bytes, and its connection is closed.
void check_given_up(const endless_script& script, const client_settings& settings) {
  const endless_peer peer(script);
  const outcome_of_get found = get(peer, settings);
  BOOST_REQUIRE(!succeeded(found.answer));
  BOOST_TEST((std::get<client_error>(found.answer) == client_error::malformed));
  BOOST_TEST((found.took < soon));
  BOOST_TEST(peer.wait_for_closed(1));
  BOOST_TEST(peer.written() < few_bytes);
}

/// Memory of this process in bytes.
std::size_t resident_bytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t pages = 0;
  file >> pages >> pages;
  return pages * 4096;
}

class greeter final : public request_handler {
 public:
  void on_request(std::uint64_t, request_message, reply answer) override { answer({200, {}, "served"}); }
};

/// Sends an endless request to a server with its default settings. Returns the bytes that it took, and puts
/// what it answered into `answer`.
std::size_t send_endless_request(const std::string& prefix, const std::string& filler, std::string& answer) {
  constexpr std::size_t most_bytes = 64U << 20U;
  boost::asio::io_context workers;
  greeter handler;
  server tested(workers, server_settings{}, handler);
  BOOST_REQUIRE(tested.start("127.0.0.1:0"));
  std::thread thread([&workers]() { workers.run(); });
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect(*parse_address("127.0.0.1:" + std::to_string(tested.port())));
  socket.set_option(boost::asio::socket_base::send_buffer_size(16 << 10));
  boost::system::error_code error;
  std::size_t written = boost::asio::write(socket, boost::asio::buffer(prefix), error);
  std::array<char, 4096> buffer{};
  while (!error && written < most_bytes && socket.available() == 0) {
    written += boost::asio::write(socket, boost::asio::buffer(filler), error);
  }
  if (socket.available() > 0) {
    boost::system::error_code ignored;
    answer.assign(buffer.data(), socket.read_some(boost::asio::buffer(buffer), ignored));
  }
  workers.stop();
  thread.join();
  return written;
}

const std::string chunked_head = "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string letters(4'000, 'a');

}  // namespace

BOOST_AUTO_TEST_SUITE(endless_answers)

BOOST_AUTO_TEST_CASE(a_head_without_end_is_given_up) {
  check_given_up({"", letters}, large_settings());
  check_given_up({"HTTP/1.1 200 O", letters}, large_settings());
  check_given_up({"HTTP/1.1 200 OK\r\nX-A: ", letters}, large_settings());
  check_given_up({"HTTP/1.1 200 OK\r\n", "X-A: " + letters + "\r\n"}, large_settings());
}

BOOST_AUTO_TEST_CASE(a_chunk_extension_without_end_does_not_take_the_memory) {
  check_given_up({chunked_head + "4;x=", letters}, large_settings());
}

BOOST_AUTO_TEST_CASE(trailers_without_end_do_not_take_the_memory) {
  check_given_up({chunked_head + "0\r\n", "X-A: " + letters + "\r\n"}, large_settings());
}

BOOST_AUTO_TEST_CASE(chunks_that_are_mostly_extensions_are_given_up) {
  check_given_up({chunked_head, "1;x=" + letters + "\r\nb\r\n"}, large_settings());
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_given_up) {
  check_given_up({"", "HTTP/1.1 100 Continue\r\n\r\n"}, large_settings());
}

BOOST_AUTO_TEST_CASE(answers_of_other_requests_without_end_are_given_up) {
  check_given_up({"", "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 5\r\n\r\nwrong"}, large_settings());
}

BOOST_AUTO_TEST_CASE(a_body_without_length_is_given_up_at_once_where_none_is_accepted) {
  client_settings settings = large_settings();
  settings.accepts_unframed = false;
  check_given_up({"HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", letters}, settings);
}

BOOST_AUTO_TEST_CASE(a_body_without_length_of_another_request_is_given_up_at_its_head) {
  check_given_up({"HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\n", letters}, large_settings());
}

BOOST_AUTO_TEST_CASE(a_body_without_end_is_given_up_at_its_bound) {
  for (const char* const framing : {"", "Transfer-Encoding: chunked\r\n"}) {
    const bool is_chunked = *framing != '\0';
    const endless_peer peer({std::string("HTTP/1.1 200 OK\r\nX-Id: new\r\n") + framing + "\r\n",
                             is_chunked ? "fa0\r\n" + letters + "\r\n" : letters});
    const outcome_of_get found = get(peer, large_settings());
    BOOST_REQUIRE(!succeeded(found.answer));
    BOOST_TEST((std::get<client_error>(found.answer) == client_error::too_large));
    BOOST_TEST((found.took < soon));
    BOOST_TEST(peer.wait_for_closed(1));
    BOOST_TEST(peer.written() < largest_body + few_bytes);
  }
}

BOOST_AUTO_TEST_CASE(bytes_without_end_after_a_whole_answer_end_its_connection) {
  const endless_peer peer({"HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 2\r\n\r\nhi", letters});
  const outcome_of_get found = get(peer, large_settings());
  BOOST_REQUIRE(succeeded(found.answer));
  BOOST_TEST(std::get<answer_message>(found.answer).body == "hi");
  BOOST_TEST(peer.wait_for_closed(1));
  BOOST_TEST(peer.written() < few_bytes);
}

BOOST_AUTO_TEST_CASE(bytes_without_end_on_an_idle_connection_end_it) {
  endless_script script{"", letters};
  script.starts_unasked = true;
  const endless_peer peer(script);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), client_settings{});
  pool.connect_ahead([](bool is_there) { BOOST_TEST(is_there); });
  workers.run();
  while (peer.written() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(peer.closed() == 0);
  pool.sweep_idle();
  BOOST_TEST(peer.wait_for_closed(1));
  BOOST_TEST(peer.written() < few_bytes);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_is_in_order_outlives_a_sweep) {
  endless_script script;
  script.first_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  const endless_peer peer(script);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), client_settings{});
  bool is_answered = false;
  pool.connect_ahead([&](bool) {
    pool.sweep_idle();
    pool.send({"GET", "/", {}, ""}, std::chrono::seconds(5),
              [&](const result<answer_message, client_error>& outcome) { is_answered = succeeded(outcome); });
  });
  workers.run();
  BOOST_TEST(is_answered);
}

BOOST_AUTO_TEST_CASE(an_answer_that_trickles_ends_at_the_deadline) {
  const endless_peer peer({"HTTP/1.1 200 OK\r\nX-A: ", "a", std::chrono::milliseconds(5)});
  const outcome_of_get found = get(peer, large_settings(), std::chrono::milliseconds(300));
  BOOST_REQUIRE(!succeeded(found.answer));
  BOOST_TEST((std::get<client_error>(found.answer) == client_error::timed_out));
  BOOST_TEST((found.took < soon));
  BOOST_TEST(peer.wait_for_closed(1));
}

BOOST_AUTO_TEST_CASE(many_bodies_without_end_do_not_take_the_memory_together) {
  constexpr int count = 16;
  constexpr std::size_t most_growth = 96U << 20U;
  const endless_peer peer({"HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", letters});
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), large_settings());
  int given_up = 0;
  for (int i = 0; i < count; ++i) {
    pool.send(
        {"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(20),
        [&](const result<answer_message, client_error>& outcome) { given_up += succeeded(outcome) ? 0 : 1; });
  }
  const std::size_t before = resident_bytes();
  std::size_t most = before;
  while (workers.run_one() > 0) {
    most = std::max(most, resident_bytes());
  }
  BOOST_TEST(given_up == count);
  BOOST_TEST(peer.wait_for_closed(count));
  BOOST_TEST(most - before < most_growth);
}

BOOST_AUTO_TEST_CASE(a_whole_large_answer_passes_while_bodies_without_end_come) {
  constexpr int endless_count = 30;
  const std::string body(2U << 20U, 'b');
  endless_script script{"HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\n", letters};
  script.first_answer =
      "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const endless_peer peer(script);
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), large_settings());
  result<answer_message, client_error> whole = client_error::unreachable;
  int given_up = 0;
  pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(20),
            [&](const result<answer_message, client_error>& outcome) { whole = outcome; });
  // The first connection is the first to be asked on.
  while (pool.unfinished_bytes() == 0 && workers.run_one() > 0) {
  }
  for (int i = 0; i < endless_count; ++i) {
    pool.send(
        {"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(20),
        [&](const result<answer_message, client_error>& outcome) { given_up += succeeded(outcome) ? 0 : 1; });
  }
  std::size_t most = 0;
  while (workers.run_one() > 0) {
    most = std::max(most, pool.unfinished_bytes());
  }
  BOOST_REQUIRE(succeeded(whole));
  BOOST_TEST((std::get<answer_message>(whole).body == body));
  BOOST_TEST(given_up == endless_count);
  BOOST_TEST(most <= client_settings{}.unfinished.max_bytes);
  BOOST_TEST(most > body.size());
  BOOST_TEST(pool.unfinished_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(whole_answers_pass_in_every_framing) {
  const std::string body(largest_body, 'b');
  const std::string status = "HTTP/1.1 200 OK\r\nX-Id: new\r\n";
  for (const std::string& framed :
       {status + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, status + "\r\n" + body,
        status + "Transfer-Encoding: chunked\r\n\r\n1000000;x=y\r\n" + body + "\r\n0\r\nX-T: t\r\n\r\n"}) {
    endless_script script;
    script.first_answer = framed;
    const endless_peer peer(script);
    const outcome_of_get found = get(peer, large_settings(), std::chrono::seconds(20));
    BOOST_REQUIRE(succeeded(found.answer));
    BOOST_TEST((std::get<answer_message>(found.answer).body == body));
  }
}

BOOST_AUTO_TEST_CASE(a_request_whose_chunk_extension_has_no_end_is_refused) {
  std::string answer;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(send_endless_request(head + "4;x=", letters, answer) < few_bytes);
  BOOST_TEST(answer.find(" 400 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_whose_trailers_have_no_end_is_refused) {
  std::string answer;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(send_endless_request(head + "0\r\n", "X-A: " + letters + "\r\n", answer) < few_bytes);
  BOOST_TEST(answer.find(" 400 ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_whose_head_has_no_end_is_refused) {
  std::string answer;
  BOOST_TEST(send_endless_request("GET / HTTP/1.1\r\n", "X-A: " + letters + "\r\n", answer) < few_bytes);
  BOOST_TEST(answer.find(" 431 ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
