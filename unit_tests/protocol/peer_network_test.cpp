#include "nutmegarch/protocol/peer_network.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <future>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <capnp/message.h>

#include "nutmegarch/observe/process_memory.h"
#include "nutmegarch/protocol/codec.h"

#include "unit_tests/http/endless_peer.h"
#include "unit_tests/loopback.h"

namespace nutmegarch::protocol {

namespace {

/// A few answers of this size fill all socket buffers between two processes.
constexpr std::size_t large_answer_bytes = 4U << 20U;

/// Answers calls immediately, except those of the route "never", which it does not answer.
class test_service final : public peer_service {
 public:
  explicit test_service(peer_network& network) : network_(network) {}

  void on_call(std::uint64_t exchange_id, peer_call call) override {
    if (call.context.route == "never") {
      arrived.set_value();
      return;
    }
    peer_answer answer;
    answer.outcome = call_outcome::ok;
    answer.message.status = 200;
    answer.message.body = call.context.route == "large" ? std::string(large_answer_bytes, 'a')
                                                        : call.request->body + call.context.service;
    answer.ticket = call.context.ticket;
    answer.report.incarnation = call.context.ticket ? call.context.ticket->incarnation : 0;
    network_.answer(exchange_id, answer);
  }
  void on_cancel(std::uint64_t) override { cancelled.set_value(); }
  void on_ticket_request(std::uint64_t exchange_id, peer_call) override {
    network_.answer(exchange_id, peer_answer{});
  }
  allowance_reply on_allowance_request(const std::string& organisation, int wanted) override {
    return {organisation == "known", wanted - 1, std::chrono::milliseconds(5)};
  }
  void on_answer_limit(const std::vector<request_id>& calls, duration within) override {
    limited.set_value({calls, within});
  }
  peer_exchange on_exchange(peer_exchange offer) override {
    offer.self.host += "-answered";
    return offer;
  }

  std::promise<void> arrived;
  std::promise<void> cancelled;
  /// Set with the arguments of on_answer_limit().
  std::promise<std::pair<std::vector<request_id>, duration>> limited;

 private:
  peer_network& network_;
};

struct two_networks {
  peer_network_settings settings;
  std::string address = free_address();
  boost::asio::io_context server_io{1};
  boost::asio::io_context client_io{1};
  peer_network server{server_io, settings};
  peer_network client{client_io, settings};
  test_service server_service{server};
  test_service client_service{client};

  two_networks() {
    BOOST_REQUIRE(server.start(address, server_service));
    BOOST_REQUIRE(client.start(free_address(), client_service));
  }
  two_networks(const two_networks&) = delete;
  two_networks& operator=(const two_networks&) = delete;
  ~two_networks() {
    client.request_stop();
    client.join();
    server.request_stop();
    server.join();
  }

  result<peer_answer, peer_error> call(const std::string& to, const std::string& route) {
    std::promise<result<peer_answer, peer_error>> done;
    client.call(to, make_call(route),
                [&done](const result<peer_answer, peer_error>& outcome) { done.set_value(outcome); });
    return done.get_future().get();
  }

  static peer_call make_call(const std::string& route) {
    peer_call call;
    call.context.service = "stockyard";
    call.context.route = route;
    call.context.ticket = order_ticket{7, 8};
    call.request =
        std::make_shared<const request_message>(request_message{"POST", "/a", {{"A", "b"}}, "body of "});
    return call;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peers)

// A message of an earlier version has no limit; one out of range is no limit either.
BOOST_AUTO_TEST_CASE(time_for_the_answer_passes_and_is_unlimited_without_a_value) {
  capnp::MallocMessageBuilder builder;
  wire::CallContext::Builder written = builder.initRoot<wire::CallContext>();
  BOOST_TEST((read_context(written.asReader()).context.answer_within == duration::max()));
  written.setAnswerWithin(-1);
  BOOST_TEST((read_context(written.asReader()).context.answer_within == duration::max()));
  call_context context;
  for (const duration within : {duration::max(), duration(std::chrono::milliseconds(700)), duration(1)}) {
    context.answer_within = within;
    write_context(context, 0, written);
    BOOST_TEST((read_context(written.asReader()).context.answer_within == within));
  }
  // No time is left, which differs from no limit.
  context.answer_within = duration{};
  write_context(context, 0, written);
  BOOST_TEST((read_context(written.asReader()).context.answer_within <= duration(1)));
}

BOOST_FIXTURE_TEST_CASE(limit_of_answers_follows_the_calls_that_it_is_for, two_networks) {
  client.call(address, make_call("never"), [](const result<peer_answer, peer_error>&) {});
  client.limit_answers(address, {{1, 2}, {3, 4}}, std::chrono::seconds(5));
  const std::pair<std::vector<request_id>, duration> limit = server_service.limited.get_future().get();
  BOOST_TEST(
      (server_service.arrived.get_future().wait_for(std::chrono::seconds(0)) == std::future_status::ready));
  BOOST_TEST((limit.first == std::vector<request_id>{{1, 2}, {3, 4}}));
  BOOST_TEST((limit.second == std::chrono::seconds(5)));
}

BOOST_FIXTURE_TEST_CASE(keeper_of_an_allowance_is_asked, two_networks) {
  std::promise<allowance_reply> replied;
  client.spend_allowance(address, "known", 8, [&](const result<allowance_reply, peer_error>& outcome) {
    replied.set_value(std::get<allowance_reply>(outcome));
  });
  const allowance_reply reply = replied.get_future().get();
  BOOST_TEST(reply.is_keeper);
  BOOST_TEST(reply.granted == 7);
  BOOST_TEST((reply.retry_after == std::chrono::milliseconds(5)));
}

BOOST_AUTO_TEST_CASE(age_of_a_configuration_differs_from_an_unknown_one) {
  capnp::MallocMessageBuilder builder;
  wire::Exchange::Builder written = builder.initRoot<wire::Exchange>();
  peer_exchange sent;
  sent.configuration = {7, duration{}};
  write(sent, written);
  BOOST_TEST(read(written.asReader()).configuration.version == 7U);
  BOOST_TEST(read(written.asReader()).configuration.age.has_value());
  sent.configuration.age.reset();
  write(sent, written);
  BOOST_TEST(!read(written.asReader()).configuration.age.has_value());
}

BOOST_AUTO_TEST_CASE(negative_remaining_time_is_read_as_zero) {
  call_context context;
  context.remaining = duration::min();
  capnp::MallocMessageBuilder builder;
  wire::CallContext::Builder written = builder.initRoot<wire::CallContext>();
  write_context(context, 0, written);
  BOOST_TEST((read_context(written.asReader()).context.remaining == duration{}));
}

BOOST_AUTO_TEST_CASE(load_that_is_negative_or_not_finite_is_read_as_zero) {
  for (const double load : {std::nan(""), HUGE_VAL, -1.0}) {
    capnp::MallocMessageBuilder builder;
    wire::Answer::Builder written = builder.initRoot<wire::Answer>();
    written.setLoad(load);
    BOOST_TEST(read(written.asReader()).report.load == 0);
  }
}

BOOST_AUTO_TEST_CASE(answer_carries_the_start_of_a_target_process_that_leaves) {
  for (const std::int64_t started_ms : {std::int64_t{0}, std::int64_t{1'733'380'000'123}}) {
    peer_answer answer;
    answer.leaving_process_started_ms = started_ms;
    capnp::MallocMessageBuilder builder;
    wire::Answer::Builder written = builder.initRoot<wire::Answer>();
    write(answer, written);
    BOOST_REQUIRE(read(written.asReader()).leaving_process_started_ms.has_value());
    BOOST_TEST(*read(written.asReader()).leaving_process_started_ms == started_ms);
  }
  capnp::MallocMessageBuilder builder;
  wire::Answer::Builder written = builder.initRoot<wire::Answer>();
  write(peer_answer{}, written);
  BOOST_TEST(!read(written.asReader()).leaving_process_started_ms.has_value());
}

BOOST_AUTO_TEST_CASE(answer_carries_whether_its_route_is_an_inner_one) {
  for (const bool is_inner : {false, true}) {
    peer_answer answer;
    answer.is_inner_route = is_inner;
    capnp::MallocMessageBuilder builder;
    wire::Answer::Builder written = builder.initRoot<wire::Answer>();
    write(answer, written);
    BOOST_TEST(read(written.asReader()).is_inner_route == is_inner);
  }
}

BOOST_AUTO_TEST_CASE(target_rate_passes_between_nodes_and_is_unknown_without_one) {
  const target_rate rate{34.5, std::chrono::milliseconds(250)};
  capnp::MallocMessageBuilder builder;
  wire::CallContext::Builder context = builder.initRoot<wire::CallContext>();
  BOOST_TEST(!read_context(context.asReader()).context.known_target_rate);
  call_context written_context;
  written_context.known_target_rate = rate;
  write_context(written_context, 0, context);
  BOOST_TEST(read_context(context.asReader()).context.known_target_rate->per_second == rate.per_second);
  BOOST_TEST((read_context(context.asReader()).context.known_target_rate->age == rate.age));

  wire::Answer::Builder answer = builder.initRoot<wire::Answer>();
  BOOST_TEST(!read(answer.asReader()).report.rate);
  peer_answer written_answer;
  written_answer.report.rate = rate;
  write(written_answer, answer);
  BOOST_TEST(read(answer.asReader()).report.rate->per_second == rate.per_second);
  BOOST_TEST((read(answer.asReader()).report.rate->age == rate.age));
  for (const double garbage : {std::nan(""), HUGE_VAL, -1.0}) {
    answer.setTargetRate(garbage);
    BOOST_TEST(!read(answer.asReader()).report.rate);
  }
}

BOOST_FIXTURE_TEST_CASE(call_returns_the_answer_to_it, two_networks) {
  const result<peer_answer, peer_error> outcome = call(address, "GET /a");
  BOOST_REQUIRE(succeeded(outcome));
  BOOST_TEST(std::get<peer_answer>(outcome).message.body == "body of stockyard");
  BOOST_TEST((std::get<peer_answer>(outcome).ticket == order_ticket{7, 8}));
}

BOOST_FIXTURE_TEST_CASE(call_to_an_address_without_listener_fails_as_unreachable, two_networks) {
  const result<peer_answer, peer_error> outcome = call(free_address(), "GET /a");
  BOOST_REQUIRE(!succeeded(outcome));
  BOOST_TEST((std::get<peer_error>(outcome) == peer_error::unreachable));
}

BOOST_FIXTURE_TEST_CASE(cancel_is_passed_on_to_the_peer, two_networks) {
  const std::uint64_t request_id =
      client.call(address, make_call("never"), [](const result<peer_answer, peer_error>&) {});
  server_service.arrived.get_future().get();
  client.cancel(request_id);
  server_service.cancelled.get_future().get();
}

BOOST_FIXTURE_TEST_CASE(unresponsive_connection_is_lost_after_a_ping_timeout, two_networks) {
  // The kernel accepts connections into the listen queue; nothing reads from them or writes to them.
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor silent(
      context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string to = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  const result<peer_answer, peer_error> outcome = call(to, "GET /a");
  BOOST_REQUIRE(!succeeded(outcome));
  BOOST_TEST((std::get<peer_error>(outcome) == peer_error::lost));
  // Other connections are not affected.
  BOOST_TEST(succeeded(call(address, "GET /a")));
}

// A peer that stops reading must not make the server keep its answers: the server has to drop the connection.
BOOST_FIXTURE_TEST_CASE(exchanges_of_a_peer_that_does_not_read_are_cancelled, two_networks) {
  client.call(address, make_call("never"), [](const result<peer_answer, peer_error>&) {});
  server_service.arrived.get_future().get();
  // Blocks the client's thread, so that the client does not read.
  std::promise<void> resume;
  std::future<void> resumed = resume.get_future();
  client.call(address, make_call("GET /a"),
              [&resumed](const result<peer_answer, peer_error>&) { resumed.wait(); });
  for (int i = 0; i < 8; ++i) {
    client.call(address, make_call("large"), [](const result<peer_answer, peer_error>&) {});
  }
  const std::future_status cancellation =
      server_service.cancelled.get_future().wait_for(std::chrono::seconds(30));
  resume.set_value();
  BOOST_TEST((cancellation == std::future_status::ready));
}

BOOST_FIXTURE_TEST_CASE(calls_to_a_peer_that_takes_nothing_do_not_queue_without_bound, two_networks) {
  // The kernel accepts the connection into the listen queue; nothing reads from it.
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor silent(
      context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const std::string to = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  constexpr std::size_t body_bytes = 2U << 20U;
  constexpr int call_count = 48;
  // The default of the queues of all peers together, and as much again for socket buffers.
  constexpr std::size_t most_bytes = 48U << 20U;
  peer_call large = make_call("GET /a");
  large.request = std::make_shared<const request_message>(
      request_message{"POST", "/a", {}, std::string(body_bytes, 'a')});
  std::vector<std::promise<result<peer_answer, peer_error>>> ended(call_count);
  for (std::promise<result<peer_answer, peer_error>>& each : ended) {
    client.call(to, large,
                [&each](const result<peer_answer, peer_error>& outcome) { each.set_value(outcome); });
  }
  // Other peers are not affected.
  BOOST_TEST(succeeded(call(address, "GET /a")));
  std::size_t queued_bytes = 0;
  for (std::promise<result<peer_answer, peer_error>>& each : ended) {
    const result<peer_answer, peer_error> outcome = each.get_future().get();
    BOOST_REQUIRE(!succeeded(outcome));
    queued_bytes += std::get<peer_error>(outcome) == peer_error::lost ? body_bytes : 0;
  }
  BOOST_TEST(queued_bytes <= most_bytes);
}

BOOST_FIXTURE_TEST_CASE(exchange_carries_digests_documents_and_marks, two_networks) {
  peer_exchange offer;
  offer.self = {"host", 5, true};
  offer.digest = {{"rules", 1, {0, 2}, 3}};
  offer.documents = {{{"rules", 1, {0, 2}, 3}, "text"}};
  offer.marks = {{99, 2}};
  std::promise<result<peer_exchange, peer_error>> done;
  client.exchange(address, offer,
                  [&done](const result<peer_exchange, peer_error>& outcome) { done.set_value(outcome); });
  const result<peer_exchange, peer_error> outcome = done.get_future().get();
  BOOST_REQUIRE(succeeded(outcome));
  const peer_exchange& reply = std::get<peer_exchange>(outcome);
  BOOST_TEST(reply.self.host == "host-answered");
  BOOST_TEST(reply.self.leaving);
  BOOST_TEST(reply.digest.front().hash == 3U);
  BOOST_TEST(reply.documents.front().body == "text");
  BOOST_TEST(reply.marks.front().crashes == 2);
}

// Guards against bytes without end from what listens at a peer's address: no message at all, empty messages,
// and a message that is announced as large as the protocol allows.
BOOST_FIXTURE_TEST_CASE(endless_bytes_of_peers_use_bounded_memory, two_networks) {
  constexpr int peer_count = 4;
  constexpr std::size_t max_growth_bytes = 96U << 20U;
  const std::string one_segment("\0\0\0\0", 4);
  // 8 Mi words of 8 bytes, little-endian, less some for the root.
  const std::string large_segment("\xF0\xFF\x7F\0", 4);
  const std::vector<http::endless_script> scripts = {{"", std::string(4'000, 'a')},
                                                     {"", std::string(4'000, '\0')},
                                                     {one_segment + large_segment, std::string(4'000, 'a')}};
  for (const http::endless_script& script : scripts) {
    std::list<http::endless_peer> peers;
    std::atomic<int> failed{0};
    const std::size_t initial_bytes = observe::read_process_memory().value().resident_bytes;
    std::size_t peak_bytes = initial_bytes;
    for (int i = 0; i < peer_count; ++i) {
      peers.emplace_back(script);
      client.call("127.0.0.1:" + std::to_string(peers.back().address().port()), make_call("never"),
                  [&failed](const result<peer_answer, peer_error>& outcome) {
                    failed += succeeded(outcome) ? 0 : 1;
                  });
    }
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (failed < peer_count && std::chrono::steady_clock::now() < end) {
      peak_bytes = std::max(peak_bytes, observe::read_process_memory().value().resident_bytes);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(failed == peer_count);
    BOOST_TEST(peak_bytes - initial_bytes < max_growth_bytes);
    // A sound peer is served meanwhile and afterwards.
    BOOST_TEST(succeeded(call(address, "now")));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::protocol
