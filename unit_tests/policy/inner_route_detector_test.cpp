#include "nutmegarch/policy/inner_route_detector.h"

#include <functional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/core/random.h"
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

// Outside callers enter at the hosts of all services; the calls of an inner route begin beside targets of
// the services that call it.
BOOST_AUTO_TEST_CASE(a_route_is_inner_when_its_calls_begin_at_the_hosts_of_few_services) {
  inner_route_detector routes;
  routes.set_target_counts({{"catalogue", 38}, {"orders", 27}, {"finishing", 25}, {"stockyard", 8}});
  random_source random(1);
  for (int i = 0; i < 60; ++i) {
    routes.on_call("one-caller", "finishing");
    routes.on_call("two-callers", i % 3 == 0 ? "catalogue" : "orders");
    const std::size_t host = random.below(98);
    routes.on_call("root", host < 38   ? "catalogue"
                           : host < 65 ? "orders"
                           : host < 90 ? "finishing"
                                       : "stockyard");
  }
  BOOST_TEST(routes.is_inner("one-caller"));
  BOOST_TEST(routes.is_inner("two-callers"));
  BOOST_TEST(!routes.is_inner("root"));
  BOOST_TEST(!routes.is_inner("never seen"));
}

// A node that has just started must not shed calls in the middle of chains for long.
BOOST_AUTO_TEST_CASE(sixteen_calls_tell_the_route_of_a_service_with_a_quarter_of_the_targets) {
  inner_route_detector routes;
  routes.set_target_counts({{"drafts", 4}, {"claims", 4}, {"tracker", 4}, {"permits", 4}});
  for (int i = 0; i < 16; ++i) {
    routes.on_call("permit-fee-read", "tracker");
  }
  BOOST_TEST(routes.is_inner("permit-fee-read"));
}

// In this time no caller enters at the hosts of the smallest service, for example because they restart.
BOOST_AUTO_TEST_CASE(a_route_whose_callers_leave_out_few_hosts_is_not_inner) {
  inner_route_detector routes;
  routes.set_target_counts({{"catalogue", 38}, {"orders", 27}, {"finishing", 25}, {"stockyard", 8}});
  random_source random(1);
  for (int i = 0; i < 1000; ++i) {
    const std::size_t host = random.below(90);
    routes.on_call("root", host < 38 ? "catalogue" : host < 65 ? "orders" : "finishing");
  }
  BOOST_TEST(!routes.is_inner("root"));
}

BOOST_AUTO_TEST_CASE(without_published_targets_no_route_is_inner) {
  inner_route_detector routes;
  for (int i = 0; i < 100; ++i) {
    routes.on_call("any", "orders");
  }
  BOOST_TEST(!routes.is_inner("any"));
}

// The operator may open a route to callers that only targets have called.
BOOST_AUTO_TEST_CASE(a_route_that_outside_callers_begin_to_use_is_no_longer_inner) {
  inner_route_detector routes;
  routes.set_target_counts({{"orders", 10}, {"finishing", 10}, {"stockyard", 10}});
  for (int i = 0; i < 200; ++i) {
    routes.on_call("opened", "orders");
  }
  BOOST_TEST(routes.is_inner("opened"));
  const std::vector<std::string> services = {"orders", "finishing", "stockyard"};
  for (int i = 0; i < 60; ++i) {
    routes.on_call("opened", services.at(static_cast<std::size_t>(i) % 3));
  }
  BOOST_TEST(!routes.is_inner("opened"));
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
