#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "nutmegarch/http/client_pool.h"

#include "unit_tests/http/scripted_peer.h"

namespace nutmegarch::http {

namespace {

constexpr duration test_timeout = std::chrono::seconds(20);

std::string refusal_of(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\n" + (id.empty() ? "" : "X-Id: " + id + "\r\n") +
         "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string success_of(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 3\r\n\r\nran";
}

/// A pool whose requests are sent one after the other.
struct sequential_client {
  explicit sequential_client(const scripted_peer& peer) : pool(workers, peer.address(), make_settings()) {}

  static client_settings make_settings() {
    client_settings settings;
    settings.echoed_field = "X-Id";
    settings.allow_close_delimited = true;
    return settings;
  }

  /// The status of the answer, or the negative error.
  int send(const std::string& id) {
    int seen = 0;
    pool.send({"POST", "/", {{"X-Id", id}}, "order"}, test_timeout,
              [&](const result<answer_message, client_error>& outcome) {
                seen = succeeded(outcome) ? std::get<answer_message>(outcome).status
                                          : -static_cast<int>(std::get<client_error>(outcome));
              });
    workers.restart();
    workers.run();
    return seen;
  }

  boost::asio::io_context workers;
  client_pool pool;
};

constexpr int malformed = -static_cast<int>(client_error::malformed);

}  // namespace

BOOST_AUTO_TEST_SUITE(stale_refusals)

BOOST_AUTO_TEST_CASE(an_earlier_refusal_is_not_believed_when_the_same_request_is_sent_again) {
  const scripted_peer peer([](int connection, int request, const scripted_peer::request_type&) {
    const bool is_run = connection == 2 && request == 1;
    return scripted_reply{is_run ? success_of("a") : refusal_of("a")};
  });
  sequential_client client(peer);
  BOOST_TEST(client.send("a") == 503);
  BOOST_TEST(client.send("a") == 200);
}

BOOST_AUTO_TEST_CASE(an_earlier_refusal_is_not_believed_after_other_requests_on_its_connection) {
  const scripted_peer peer(
      [](int connection, int request, const scripted_peer::request_type& content) -> scripted_reply {
        const std::string id(content["X-Id"]);
        const bool is_refused = connection == 1 && id == "a";
        return {is_refused || request > 3 ? refusal_of(id) : success_of(id)};
      });
  sequential_client client(peer);
  BOOST_TEST(client.send("a") == 503);
  BOOST_TEST(client.send("b") == 200);
  BOOST_TEST(client.send("c") == 200);
  BOOST_TEST(client.send("a") == 200);
  BOOST_TEST(client.send("d") == 200);
  BOOST_TEST(peer.connection_count() == 2);
}

BOOST_AUTO_TEST_CASE(a_refusal_that_names_no_request_is_believed_on_a_new_connection_only) {
  const scripted_peer peer([](int connection, int request, const scripted_peer::request_type&) {
    const bool is_refused = connection == 2 || request == 2;
    return scripted_reply{is_refused ? refusal_of("") : success_of("a")};
  });
  sequential_client client(peer);
  BOOST_TEST(client.send("a") == 200);
  BOOST_TEST(client.send("b") == malformed);
  BOOST_TEST(client.send("c") == 503);
  BOOST_TEST(peer.connection_count() == 2);
}

BOOST_AUTO_TEST_CASE(an_earlier_refusal_together_with_the_answer_is_discarded) {
  const scripted_peer peer([](int, int request, const scripted_peer::request_type&) {
    return scripted_reply{request == 1 ? refusal_of("a") : refusal_of("a") + success_of("b")};
  });
  sequential_client client(peer);
  BOOST_TEST(client.send("a") == 503);
  BOOST_TEST(client.send("b") == 200);
  // The connection is out of step, so it is not used again.
  BOOST_TEST(client.send("a") == 503);
  BOOST_TEST(peer.connection_count() == 2);
}

BOOST_AUTO_TEST_CASE(a_connection_with_a_second_refusal_is_not_used_again) {
  const scripted_peer peer([](int connection, int, const scripted_peer::request_type& content) {
    const std::string id(content["X-Id"]);
    return scripted_reply{connection == 1 ? refusal_of(id) + refusal_of(id) : success_of(id)};
  });
  sequential_client client(peer);
  BOOST_TEST(client.send("a") == 503);
  BOOST_TEST(client.send("b") == 200);
  BOOST_TEST(peer.connection_count() == 2);
}

BOOST_AUTO_TEST_CASE(up_to_64_refusals_of_different_requests_share_a_connection) {
  const scripted_peer peer([](int, int, const scripted_peer::request_type& content) {
    return scripted_reply{refusal_of(std::string(content["X-Id"]))};
  });
  sequential_client client(peer);
  for (int i = 0; i < 64; ++i) {
    BOOST_TEST(client.send("a" + std::to_string(i)) == 503);
  }
  BOOST_TEST(peer.connection_count() == 1);
  BOOST_TEST(client.send("b") == 503);
  BOOST_TEST(peer.connection_count() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::http
