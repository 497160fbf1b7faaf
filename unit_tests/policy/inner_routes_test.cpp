#include "nutmegarch/policy/inner_routes.h"

#include <functional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/policy/load_balancer.h"
#include "nutmegarch/policy/receiver.h"

namespace nutmegarch::policy {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};

inbound_call_ptr make_call(call_class cls, bool inner) {
  const inbound_call_ptr call(new inbound_call());
  call->context.cls = cls;
  call->context.inner = inner;
  call->context.shed_rank = shed_rank_count - 1;
  call->context.route = inner ? "inner" : "root";
  call->arrived = begin;
  call->deadline = begin + std::chrono::seconds(30);
  return call;
}

endpoint make_endpoint(proximity distance, double load, double relative_latency) {
  endpoint made;
  made.distance = distance;
  made.slots = 100;
  made.reported_load = load;
  made.load_reported_at = begin;
  made.relative_latency = relative_latency;
  return made;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(inner_calls)

BOOST_AUTO_TEST_CASE(a_route_is_inner_when_most_of_its_calls_end_with_a_running_one) {
  inner_routes routes;
  for (int i = 0; i < 100; ++i) {
    const duration patience = std::chrono::milliseconds(2000 - 10 * i);
    routes.on_call("inner", patience, i % 4 != 0);
    routes.on_call("root", patience, i % 8 == 0);
  }
  BOOST_TEST(routes.is_inner("inner"));
  BOOST_TEST(!routes.is_inner("root"));
  BOOST_TEST(!routes.is_inner("never seen"));
}

// Found on the platform: calls at the end of a chain wait 700 ms at most, and their parents mostly had more
// time left, so that they seemed to be requests of callers and were shed in the middle of their chains.
BOOST_AUTO_TEST_CASE(calls_with_the_routes_own_patience_say_nothing_of_their_parents) {
  inner_routes routes;
  constexpr duration own = std::chrono::milliseconds(700);
  for (int i = 0; i < 100; ++i) {
    const bool is_cut_short = i % 10 == 0;
    routes.on_call("inner", is_cut_short ? own / 2 : own, is_cut_short);
    // Callers that ask again have less time left, and find a parent by chance only.
    routes.on_call("root", is_cut_short ? own / 2 : own, i % 8 == 0);
  }
  BOOST_TEST(routes.is_inner("inner"));
  BOOST_TEST(!routes.is_inner("root"));
}

// A service below is overloaded: the level sheds whole requests at their entry, and what has begun ends.
BOOST_AUTO_TEST_CASE(under_overload_the_level_sheds_requests_at_their_entry_and_no_inner_call) {
  receiver_settings settings;
  settings.slots = 4;
  settings.limit = limit_kind::fixed;
  settings.queue = queue_kind::deadline;
  settings.queue_share = 100;
  receiver tested(settings);
  receiver_actions actions;
  std::vector<inbound_call_ptr> running;
  int inner_refused = 0;
  int root_refused = 0;
  time_point now = begin;
  for (int step = 0; step < 400; ++step) {
    now += std::chrono::milliseconds(10);
    actions.clear();
    for (int i = 0; i < 2; ++i) {
      const inbound_call_ptr call = make_call(call_class::browse, i == 0);
      call->deadline = now + std::chrono::seconds(30);
      tested.offer(call, now, actions);
    }
    tested.on_tick(now, actions);
    for (const receiver_action& action : actions) {
      if (action.what == receiver_action::kind::start) {
        running.push_back(action.call);
      } else {
        (action.call->context.inner ? inner_refused : root_refused) += 1;
      }
    }
    // One call ends in each step: room for half of what is offered.
    if (!running.empty()) {
      actions.clear();
      tested.finish(running.front(), target_result::answered, now, actions);
      running.erase(running.begin());
      for (const receiver_action& action : actions) {
        if (action.what == receiver_action::kind::start) {
          running.push_back(action.call);
        }
      }
    }
  }
  BOOST_TEST(inner_refused == 0);
  BOOST_TEST(root_refused > 100);
}

BOOST_AUTO_TEST_CASE(the_least_expected_time_weighs_speed_crowding_and_distance) {
  const score_settings settings;
  const endpoint slow = make_endpoint(proximity::same_domain, 0.5, 2.0);
  const endpoint fast = make_endpoint(proximity::same_domain, 0.5, 0.7);
  const endpoint crowded = make_endpoint(proximity::same_domain, 2.0, 0.7);
  const endpoint away = make_endpoint(proximity::same_region, 0.5, 0.7);
  const std::function<double(const endpoint&)> time = [&](const endpoint& candidate) {
    return expected_latency(candidate, settings, begin);
  };
  BOOST_TEST(time(fast) < time(slow));
  BOOST_TEST(time(fast) < time(away));
  BOOST_TEST(time(away) < time(crowded));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
