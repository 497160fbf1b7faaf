#include <array>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/address.h"
#include "nutmegarch/http/client_pool.h"
#include "nutmegarch/http/server.h"

#include "unit_tests/fuzz/mutator.h"
#include "unit_tests/http/endless_peer.h"

namespace nutmegarch::http {

namespace {

using tcp = boost::asio::ip::tcp;

class fixed_answer_handler final : public request_handler {
 public:
  void on_request(std::uint64_t, request_message, answer_callback answer) override {
    answer({200, {}, "served"});
  }
};

/// Sends a text and shuts down the sending side. Returns everything that is received.
std::string exchange(const tcp::endpoint& address, const std::string& text) {
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect(address);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(text), error);
  socket.shutdown(tcp::socket::shutdown_send, error);
  error = {};
  std::string answer;
  std::array<char, 4096> buffer{};
  while (!error) {
    answer.append(buffer.data(), socket.read_some(boost::asio::buffer(buffer), error));
  }
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fuzz_http)

BOOST_AUTO_TEST_CASE(mutated_answers_complete_the_request_once_and_before_the_timeout) {
  const std::array<std::string, 4> valid_texts = {
      "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nX-Id: new\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nX-T: "
      "t\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: new\r\n\r\nbody",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 1\r\n\r\nw"
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
  fuzz::mutator random;
  BOOST_TEST_MESSAGE("seed " << random.seed());
  client_settings settings;
  settings.echoed_field = "X-Id";
  settings.allow_close_delimited = true;
  settings.max_body_bytes = 1'000;
  int success_count = 0;
  for (std::uint64_t i = 0; i < fuzz::mutator::rounds(400); ++i) {
    endless_script script;
    script.first_answer = random.mutate(valid_texts.at(i % valid_texts.size())) + ' ';
    const endless_peer peer(script);
    boost::asio::io_context workers;
    client_pool pool(workers, peer.address(), settings);
    int completion_count = 0;
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    pool.send({"GET", "/", {{"X-Id", "new"}}, ""}, std::chrono::seconds(10),
              [&](const result<answer_message, client_error>& outcome) {
                ++completion_count;
                if (succeeded(outcome)) {
                  ++success_count;
                  const answer_message& answer = std::get<answer_message>(outcome);
                  BOOST_REQUIRE_MESSAGE(answer.status >= 200 && answer.body.size() <= 1'000,
                                        script.first_answer);
                }
              });
    workers.run();
    // The peer closes its connection at once, so no request may wait for its timeout.
    BOOST_REQUIRE_MESSAGE(
        completion_count == 1 && std::chrono::steady_clock::now() - begin < std::chrono::seconds(5),
        script.first_answer);
    BOOST_REQUIRE(pool.unfinished_answer_bytes() == 0U);
  }
  BOOST_TEST(success_count > 0);
}

BOOST_AUTO_TEST_CASE(the_server_keeps_serving_after_mutated_requests) {
  const std::array<std::string, 3> valid_texts = {
      "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nX-T: t\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\nHost: h\r\n\r\n"};
  fuzz::mutator random;
  BOOST_TEST_MESSAGE("seed " << random.seed());
  boost::asio::io_context workers;
  fixed_answer_handler handler;
  server tested(workers, server_settings{}, handler);
  BOOST_REQUIRE(tested.start("127.0.0.1:0"));
  std::thread thread([&workers]() { workers.run(); });
  const tcp::endpoint address = *parse_address("127.0.0.1:" + std::to_string(tested.port()));
  for (std::uint64_t i = 0; i < fuzz::mutator::rounds(1'000); ++i) {
    const std::string text = random.mutate(valid_texts.at(i % valid_texts.size()));
    const std::string answer = exchange(address, text);
    BOOST_CHECK_MESSAGE(answer.empty() || answer.compare(0, 9, "HTTP/1.1 ") == 0, text);
  }
  BOOST_TEST(exchange(address, valid_texts.front()).find("served") != std::string::npos);
  workers.stop();
  thread.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
