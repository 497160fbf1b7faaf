#include <array>
#include <chrono>
#include <string>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "unit_tests/platform/small_platform.h"

namespace nutmegarch::platform_adapter {

namespace {

/// The store comes back from a copy of itself, while its open connections stay silent.
struct platform_with_copied_store : small_platform {
  void return_from_copy() {
    store.return_from_copy();
    ++era_;
  }

  bool has_seen_era(std::size_t index) const {
    return metrics(index).find("nutmegarch_store_era " + std::to_string(era_)) != std::string::npos;
  }

  void wait_until_era_is_seen() {
    BOOST_REQUIRE(wait_for([&]() { return has_seen_era(0) && has_seen_era(1); }, stable_window));
  }

  bool serves(std::size_t index, const std::string& path, duration timeout = stable_window) {
    return wait_for([&]() { return send_request(index, "GET", path).status == 200; }, timeout);
  }

  int arrivals_after_requests(std::size_t server) {
    const int before = servers.at(server)->arrivals();
    for (int i = 0; i < 20; ++i) {
      BOOST_TEST(send_request(i % 2, "GET", "/look/1").status == 200);
    }
    return servers.at(server)->arrivals() - before;
  }

 private:
  int era_ = 1;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_era_path)

// Guards against routes that vanish because the store came back from a copy without a confirmed change.
BOOST_FIXTURE_TEST_CASE(confirmed_change_that_the_copy_lacks_stays_in_force_and_reaches_a_restarted_node,
                        platform_with_copied_store) {
  store.take_copy();
  publish(2, {route_json("look", "/look/", "shop", "idempotent"),
              route_json("added", "/added/", "shop", "idempotent")});
  BOOST_REQUIRE(serves(0, "/added/"));
  BOOST_REQUIRE(serves(1, "/added/"));
  return_from_copy();
  nodes.erase(1);
  start_node(1);
  BOOST_TEST(serves(1, "/added/"));
  wait_until_era_is_seen();
  BOOST_TEST(send_request(0, "GET", "/added/").status == 200);
  BOOST_TEST(send_request(1, "GET", "/added/").status == 200);
  BOOST_TEST(follows_changes(0, 3));
  BOOST_TEST(follows_changes(1, 4));
}

// Guards against changes that are missed because the revisions of the store went back.
BOOST_FIXTURE_TEST_CASE(change_right_after_the_store_came_back_from_a_copy_is_in_force_in_time,
                        platform_with_copied_store) {
  store.take_copy();
  for (int i = 0; i < 5; ++i) {
    store.put("servers/other-" + std::to_string(i), "{}");
  }
  wait_until_applied({0, 1});
  for (int i = 0; i < 2; ++i) {
    const std::chrono::steady_clock::time_point returned = std::chrono::steady_clock::now();
    return_from_copy();
    BOOST_TEST((publish_and_await_changed_route() - returned < stable_window));
  }
}

// Guards against requests to a server that left before the store came back from a copy that still has it.
BOOST_FIXTURE_TEST_CASE(server_that_left_before_the_copy_came_back_gets_no_requests,
                        platform_with_copied_store) {
  store.take_copy();
  store.remove("servers/i-0");
  wait_until_applied({0, 1});
  return_from_copy();
  wait_until_era_is_seen();
  BOOST_TEST(arrivals_after_requests(0) == 0);
  // It lives after all.
  register_server("i-0", 0);
  check_that_requests_reach_server_0({0, 1});
}

// Guards against requests that are refused while servers write again what the copy lacks.
BOOST_FIXTURE_TEST_CASE(server_that_the_copy_lacks_is_used_until_it_had_time_to_write_itself_again,
                        platform_with_copied_store) {
  store.remove("servers/i-0");
  wait_until_applied({0, 1});
  store.take_copy();
  register_server("i-0", 0);
  wait_until_applied({0, 1});
  check_that_requests_reach_server_0({0, 1});
  servers[1]->set_refusing(true);
  return_from_copy();
  BOOST_REQUIRE(wait_for([&]() { return has_seen_era(0); }, stable_window));
  BOOST_TEST(send_request(0, "GET", "/look/1").status == 200);
  BOOST_TEST(
      wait_for([&]() { return send_request(0, "GET", "/look/1").status == 503; }, std::chrono::seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(answers_with_a_missing_lower_or_malformed_era_are_not_taken_for_current,
                        platform_with_copied_store) {
  return_from_copy();
  wait_until_applied({0, 1});
  wait_until_era_is_seen();
  for (const char* const field : {"", "1", "soon", "-1", "2x", "99999999999999999999999"}) {
    store.set_era_field(field);
    publish(1'000, {route_json("look", "/look/", "shop", "idempotent"),
                    route_json("odd", "/odd/", "shop", "idempotent")});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    BOOST_TEST(send_request(0, "GET", "/odd/").status == 503);
    BOOST_TEST(send_request(0, "GET", "/look/1").status == 200);
  }
  store.set_era_field("2");
  BOOST_TEST(serves(0, "/odd/"));
  BOOST_TEST(serves(1, "/odd/"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
