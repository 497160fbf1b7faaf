#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/client_pool.h"

#include "unit_tests/http/scripted_peer.h"

namespace nutmegarch::http {

namespace {

constexpr duration test_timeout = std::chrono::seconds(20);
constexpr const char* whole_first_answer = "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 5\r\n\r\nfirst";

/// An answer, and the number of its bytes up to which it is not complete.
struct tested_answer {
  std::string text;
  std::size_t incomplete_bytes;
};

std::vector<tested_answer> tested_answers() {
  const std::string chunked_head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> delimited = {
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s.1\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nKeep-Alive: timeout=5\r\nX-Id: a\r\n\r\nabcdefghijkl",
      chunked_head + "a;x=y\r\nabcdefghij\r\n1\r\nk\r\n0\r\nX-T: t\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s.1\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 503 Busy\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
      "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"};
  std::vector<tested_answer> all;
  all.reserve(delimited.size() + 1);
  for (const std::string& text : delimited) {
    all.push_back({text, text.size()});
  }
  // The head of an answer that ends with its connection; each longer prefix is a whole answer.
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s.1\r\n\r\n";
  all.push_back({head, head.size()});
  return all;
}

/// Sends a request whose answer is cut after `size` bytes. `is_kept`: over a connection that has carried a
/// whole answer.
result<answer_message, client_error> receive_cut(const std::string& text, std::size_t size,
                                                 scripted_reply::next end, bool is_kept) {
  const scripted_peer peer([&](int, int request, const scripted_peer::request_type&) -> scripted_reply {
    if (is_kept && request == 1) {
      return {whole_first_answer};
    }
    return {text.substr(0, size), end};
  });
  client_settings settings;
  settings.echoed_field = "X-Id";
  settings.allow_close_delimited = true;
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), settings);
  result<answer_message, client_error> found = client_error::unreachable;
  const auto send = [&](const char* id) {
    pool.send({"GET", "/", {{"X-Id", id}}, ""}, test_timeout,
              [&](const result<answer_message, client_error>& outcome) { found = outcome; });
    workers.restart();
    workers.run();
  };
  if (is_kept) {
    send("first");
    BOOST_REQUIRE(succeeded(found));
  }
  send("a");
  return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(cut_answers)

BOOST_AUTO_TEST_CASE(no_prefix_of_an_answer_is_a_whole_answer) {
  for (const tested_answer& tested : tested_answers()) {
    for (const bool is_kept : {false, true}) {
      for (const scripted_reply::next end : {scripted_reply::next::close, scripted_reply::next::reset}) {
        for (std::size_t size = 0; size < tested.incomplete_bytes; ++size) {
          const result<answer_message, client_error> outcome = receive_cut(tested.text, size, end, is_kept);
          BOOST_REQUIRE_MESSAGE(!succeeded(outcome), "whole after " << size << " bytes of " << tested.text);
          // An unreachable target counts as one that has not run the request.
          BOOST_REQUIRE_MESSAGE(std::get<client_error>(outcome) != client_error::unreachable,
                                "not run after " << size << " bytes of " << tested.text);
        }
      }
      const result<answer_message, client_error> whole =
          receive_cut(tested.text, tested.text.size(), scripted_reply::next::close, is_kept);
      BOOST_TEST(succeeded(whole), tested.text);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_cut_behind_its_head_is_an_error_unless_its_end_may_be_the_close) {
  const scripted_peer peer([](int, int, const scripted_peer::request_type&) {
    return scripted_reply{"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", scripted_reply::next::close};
  });
  boost::asio::io_context workers;
  client_pool pool(workers, peer.address(), {});
  result<answer_message, client_error> found = client_error::unreachable;
  pool.send({"GET", "/", {}, ""}, test_timeout,
            [&](const result<answer_message, client_error>& outcome) { found = outcome; });
  workers.run();
  BOOST_REQUIRE(!succeeded(found));
  BOOST_TEST((std::get<client_error>(found) == client_error::malformed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
