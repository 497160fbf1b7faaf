#include "nutmegarch/policy/inner_route_detector.h"

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

BOOST_AUTO_TEST_CASE(a_route_is_inner_when_most_of_its_calls_have_a_parent) {
  inner_route_detector routes;
  for (int i = 0; i < 100; ++i) {
    const duration timeout = std::chrono::milliseconds(2000 - 10 * i);
    routes.on_call("inner", timeout, i % 4 != 0);
    routes.on_call("root", timeout, i % 8 == 0);
  }
  BOOST_TEST(routes.is_inner("inner"));
  BOOST_TEST(!routes.is_inner("root"));
  BOOST_TEST(!routes.is_inner("never seen"));
}

// Calls at the end of a chain have a timeout of at most 700 ms, and their parents mostly have more time left,
// so their deadlines don't match. When such calls counted as calls without a parent, their route was taken
// for one of callers, and they were shed in the middle of their chains.
BOOST_AUTO_TEST_CASE(calls_with_the_routes_own_timeout_are_not_counted) {
  inner_route_detector routes;
  constexpr duration route_timeout = std::chrono::milliseconds(700);
  for (int i = 0; i < 100; ++i) {
    const bool is_shortened = i % 10 == 0;
    routes.on_call("inner", is_shortened ? route_timeout / 2 : route_timeout, is_shortened);
    // Callers that retry have less time left, and match a parent only by coincidence.
    routes.on_call("root", is_shortened ? route_timeout / 2 : route_timeout, i % 8 == 0);
  }
  BOOST_TEST(routes.is_inner("inner"));
  BOOST_TEST(!routes.is_inner("root"));
}

// When a downstream service is overloaded, the admission level must shed requests at the entry of the call
// chain, and calls of chains that have begun must complete.
BOOST_AUTO_TEST_CASE(under_overload_only_root_calls_are_shed) {
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
    // One call ends in each step, so the capacity is half of the offered load.
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

BOOST_AUTO_TEST_CASE(the_expected_time_depends_on_speed_load_and_distance) {
  const score_settings settings;
  const endpoint slow = make_endpoint(proximity::same_domain, 0.5, 2.0);
  const endpoint fast = make_endpoint(proximity::same_domain, 0.5, 0.7);
  const endpoint overloaded = make_endpoint(proximity::same_domain, 2.0, 0.7);
  const endpoint other_domain = make_endpoint(proximity::same_region, 0.5, 0.7);
  const std::function<double(const endpoint&)> time = [&](const endpoint& candidate) {
    return expected_latency(candidate, settings, begin);
  };
  BOOST_TEST(time(fast) < time(slow));
  BOOST_TEST(time(fast) < time(other_domain));
  BOOST_TEST(time(other_domain) < time(overloaded));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
