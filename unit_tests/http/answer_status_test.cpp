#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/client_pool.h"

#include "unit_tests/http/scripted_peer.h"

namespace nutmegarch::http {

namespace {

constexpr duration test_timeout = std::chrono::seconds(20);

/// Answer to the first request if it is answered with `text`, and to a later one.
struct two_outcomes {
  result<answer_message, client_error> first = client_error::unreachable;
  result<answer_message, client_error> second = client_error::unreachable;
};

two_outcomes receive(const std::string& text) {
  const scripted_peer peer([&](int, int, const scripted_peer::request_type& request) -> scripted_reply {
    const std::string id(request["X-Id"]);
    return {id == "first" ? text : "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 6\r\n\r\nsecond"};
  });
  client_settings settings;
  settings.echoed_field = "X-Id";
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), settings);
  two_outcomes found;
  pool.send({"GET", "/", {{"X-Id", "first"}}, ""}, test_timeout,
            [&](const result<answer_message, client_error>& outcome) { found.first = outcome; });
  workers.run();
  workers.restart();
  pool.send({"GET", "/", {{"X-Id", "second"}}, ""}, test_timeout,
            [&](const result<answer_message, client_error>& outcome) { found.second = outcome; });
  workers.run();
  return found;
}

std::string answer_with(const std::string& status) {
  return "HTTP/1.1 " + status + " X\r\nX-Id: first\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_statuses)

// A server in trouble sends a status that is none. Its answer must not be passed on, nor hold the caller.
BOOST_AUTO_TEST_CASE(status_that_is_none_makes_the_answer_malformed) {
  for (const char* const status : {"000", "001", "042", "099", "101", "600", "601", "799", "999"}) {
    const two_outcomes found = receive(answer_with(status));
    BOOST_TEST_CONTEXT(status) {
      BOOST_REQUIRE(!succeeded(found.first));
      BOOST_TEST((std::get<client_error>(found.first) == client_error::malformed));
      BOOST_REQUIRE(succeeded(found.second));
      BOOST_TEST(std::get<answer_message>(found.second).body == "second");
    }
  }
}

BOOST_AUTO_TEST_CASE(statuses_of_final_answers_are_passed_on) {
  for (const int status : {200, 201, 299, 302, 404, 421, 429, 499, 500, 503, 599}) {
    const two_outcomes found = receive(answer_with(std::to_string(status)));
    BOOST_REQUIRE_MESSAGE(succeeded(found.first), status);
    BOOST_TEST(std::get<answer_message>(found.first).status == status);
  }
}

// The body of an answer that has none belongs to no request.
BOOST_AUTO_TEST_CASE(body_of_an_answer_without_body_is_not_taken_for_the_next_answer) {
  for (const char* const status : {"204", "304"}) {
    const two_outcomes found = receive(answer_with(status));
    BOOST_REQUIRE_MESSAGE(succeeded(found.first), status);
    BOOST_TEST(std::get<answer_message>(found.first).body.empty());
    BOOST_REQUIRE_MESSAGE(succeeded(found.second), status);
    BOOST_TEST(std::get<answer_message>(found.second).body == "second");
  }
}

BOOST_AUTO_TEST_CASE(second_status_line_belongs_to_no_request) {
  const two_outcomes found =
      receive("HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 000 X\r\n\r\n");
  BOOST_REQUIRE(succeeded(found.first));
  BOOST_TEST(std::get<answer_message>(found.first).body == "body");
  BOOST_REQUIRE(succeeded(found.second));
  BOOST_TEST(std::get<answer_message>(found.second).body == "second");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
