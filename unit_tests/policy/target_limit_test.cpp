#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "performance_test/virtual_time/mesh_callers.h"

namespace nutmegarch::performance_test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string browse = "catalogue-browse";
const std::string order = "carving-order";

/// Requests per second that a target in need names.
constexpr double limit = 34;
/// Length of a window of arrivals, and the time after the first naming answer from which windows count.
constexpr duration window = seconds(4);
constexpr duration settle_time = seconds(3);
/// Arrivals in a window that break the rule of the platform: a multiple of what the limit allows, and some
/// more.
constexpr double max_excess = 1.5;
constexpr double slack = 5;
/// Share of what the limit allows that arrives at least while more is offered.
constexpr double min_use = 0.9;

/// One service with `servers` targets, and the policy settings of deploy/.
deployment_plan limited_plan(std::size_t servers) {
  deployment_plan plan;
  plan.places = rodopa_places();
  plan.places.resize(servers);
  plan.uses_tickets = false;
  service_shape shape;
  shape.slots = 152;
  shape.mean = milliseconds(200);
  plan.services = {{"catalogue", shape, ""}};
  plan.routes = {{browse, {"catalogue", milliseconds(200), duration::max(), {}}},
                 {order, {"catalogue", milliseconds(200), duration::max(), {}}}};
  plan.receiver.limit = policy::limit_kind::fixed;
  plan.receiver.queue = policy::queue_kind::deadline;
  plan.receiver.queue_share = 8;
  plan.receiver.order_queue_share = 16;
  plan.receiver.standing_queue_share = 1;
  plan.receiver.finish_quantile = 0.5;
  plan.sender.routing = policy::routing_kind::least_time;
  plan.sender.score.domain_factor = 2;
  plan.sender.score.region_factor = 2;
  plan.sender.score.cross_region_balancing = true;
  plan.sender.min_stall_time = milliseconds(500);
  plan.sender.losses_to_eject = 8;
  plan.sender.hedges = {0, 0};
  return plan;
}

/// `total` requests/s, of which a fifth are orders.
std::vector<request_kind> requests(double total) {
  return {{browse, call_class::browse, 0.8 * total, milliseconds(1500), milliseconds(1200), 1},
          {order, call_class::order, 0.2 * total, milliseconds(1500), milliseconds(1200), 3}};
}

/// Largest number of arrivals in a window that begins between the two moments.
double most_arrivals(const fake_node& node, time_point from, time_point to) {
  const std::vector<time_point>& all = node.arrivals();
  std::ptrdiff_t most = 0;
  for (auto first = std::lower_bound(all.begin(), all.end(), from); first != all.end() && *first < to;
       ++first) {
    most = std::max(most, std::lower_bound(first, all.end(), *first + window) - first);
  }
  return static_cast<double>(most);
}

double count_arrivals(const fake_node& node, time_point from, time_point to) {
  const std::vector<time_point>& all = node.arrivals();
  return static_cast<double>(std::lower_bound(all.begin(), all.end(), to) -
                             std::lower_bound(all.begin(), all.end(), from));
}

double max_arrivals(double rate) { return max_excess * rate * to_seconds(window) + slack; }

/// A deployment whose targets begin to name their limit after a while under full load.
struct limited_fleet {
  explicit limited_fleet(std::size_t servers) : fleet(limited_plan(servers), 20261204) {}

  /// Lets the targets with an index below `count` name the rate from `after` on.
  void name_rate(duration after, std::optional<double> rate, std::size_t count) {
    fleet.events().after(after, [this, rate, count]() {
      for (std::size_t i = 0; i < count; ++i) {
        fleet.nodes().at(i)->set_named_rate(rate);
      }
    });
  }

  deployment fleet;
  const time_point begin = fleet.events().now();
  /// When the targets name their limit first, and the end of the load.
  const duration named_after = seconds(3);
  const duration length = seconds(23);
  const time_point counted_from = begin + named_after + settle_time;
  const time_point end = begin + length;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(target_limit)

// Guards against requests beyond the rate that a target in need names, and against leaving it unused.
BOOST_AUTO_TEST_CASE(a_target_gets_the_rate_that_it_names_and_no_more) {
  limited_fleet limited(1);
  limited.name_rate(limited.named_after, limit, 1);
  mesh_callers callers(limited.fleet, requests(300));
  callers.run(limited.length, seconds(0));
  const fake_node& node = *limited.fleet.nodes().front();
  BOOST_TEST(most_arrivals(node, limited.counted_from, limited.end) <= max_arrivals(limit));
  const double used = count_arrivals(node, limited.counted_from, limited.end);
  BOOST_TEST(used >= min_use * limit * to_seconds(limited.end - limited.counted_from));
}

BOOST_AUTO_TEST_CASE(a_burst_does_not_exceed_the_limit) {
  limited_fleet limited(1);
  limited.name_rate(limited.named_after, limit, 1);
  for (duration at = seconds(12); at < seconds(17); at += milliseconds(100)) {
    limited.fleet.events().after(at, [&]() {
      for (int i = 0; i < 50; ++i) {
        call_context context;
        context.id = {limited.fleet.random().bits(), limited.fleet.random().bits()};
        context.cls = call_class::important;
        context.service = "catalogue";
        context.route = browse;
        context.idempotent = true;
        limited.fleet.nodes().front()->call(context, seconds(5), nullptr, std::make_shared<tracked_request>(),
                                            [](call_outcome, call_reason) {});
      }
    });
  }
  // Below the limit, so that a burst meets an idle target.
  mesh_callers callers(limited.fleet, requests(10));
  callers.run(limited.length, seconds(0));
  const fake_node& node = *limited.fleet.nodes().front();
  BOOST_TEST(most_arrivals(node, limited.counted_from, limited.end) <= max_arrivals(limit));
  BOOST_TEST(most_arrivals(node, limited.counted_from, limited.end) >= min_use * limit * to_seconds(window));
}

BOOST_AUTO_TEST_CASE(a_limit_that_is_halved_holds_at_once) {
  limited_fleet limited(1);
  limited.name_rate(limited.named_after, limit, 1);
  limited.name_rate(seconds(12), limit / 2, 1);
  mesh_callers callers(limited.fleet, requests(300));
  callers.run(limited.length, seconds(0));
  const fake_node& node = *limited.fleet.nodes().front();
  const time_point halved = limited.begin + seconds(13);
  BOOST_TEST(most_arrivals(node, limited.counted_from, halved) <= max_arrivals(limit));
  BOOST_TEST(most_arrivals(node, halved, limited.end) <= max_arrivals(limit / 2));
  BOOST_TEST(count_arrivals(node, halved, limited.end) >=
             min_use * limit / 2 * to_seconds(limited.end - halved));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_when_answers_name_it_no_more) {
  limited_fleet limited(1);
  limited.name_rate(limited.named_after, limit, 1);
  limited.name_rate(seconds(12), std::nullopt, 1);
  mesh_callers callers(limited.fleet, requests(300));
  callers.run(limited.length, seconds(0));
  const fake_node& node = *limited.fleet.nodes().front();
  const time_point ended = limited.begin + seconds(14);
  BOOST_TEST(count_arrivals(node, ended, limited.end) >= 250 * to_seconds(limited.end - ended));
}

// Guards against a node that restarts beside a target in need and has forgotten its limit.
BOOST_AUTO_TEST_CASE(a_restarted_node_learns_the_limit_from_its_callers) {
  limited_fleet limited(4);
  limited.name_rate(limited.named_after, limit, 4);
  // Between two windows, twice, once in the burst of a lost connection.
  for (const duration at : {seconds(10), seconds(15)}) {
    limited.fleet.events().after(at, [&]() { limited.fleet.nodes().front()->restart_receiver(); });
  }
  mesh_callers callers(limited.fleet, requests(600));
  callers.run(limited.length, seconds(0));
  for (const std::unique_ptr<fake_node>& node : limited.fleet.nodes()) {
    BOOST_TEST(most_arrivals(*node, limited.counted_from, limited.end) <= max_arrivals(limit));
  }
}

BOOST_AUTO_TEST_CASE(orders_are_served_first_under_a_limit) {
  limited_fleet limited(4);
  limited.name_rate(limited.named_after, limit, 4);
  mesh_callers callers(limited.fleet, requests(300));
  callers.run(limited.length, seconds(7));
  const double served = callers.result(order).share_in_time();
  BOOST_TEST_MESSAGE("orders " << served << ", browse " << callers.result(browse).share_in_time());
  BOOST_TEST(served >= 0.97);
  // The limits allow 136 requests/s; the orders need 60.
  const double all_served = callers.result("").in_time / callers.result("").offered;
  BOOST_TEST(all_served >= 0.85 * 4 * limit / 300);
  for (const std::unique_ptr<fake_node>& node : limited.fleet.nodes()) {
    BOOST_TEST(most_arrivals(*node, limited.counted_from, limited.end) <= max_arrivals(limit));
  }
}

// Guards against refusals at a target in need while the other targets of its service have room.
BOOST_AUTO_TEST_CASE(other_targets_take_over_what_one_with_a_limit_does_not_take) {
  limited_fleet limited(4);
  // The budget of the link leaves no room for all calls of one region, so each region has one of the two.
  constexpr std::array<std::size_t, 2> in_need = {0, 2};
  limited.fleet.events().after(limited.named_after, [&]() {
    for (const std::size_t index : in_need) {
      limited.fleet.nodes().at(index)->set_named_rate(limit);
    }
  });
  mesh_callers callers(limited.fleet, requests(600));
  callers.run(limited.length, seconds(0));
  BOOST_TEST_MESSAGE("orders " << callers.result(order).share_in_time() << ", browse "
                               << callers.result(browse).share_in_time());
  BOOST_TEST(callers.result(order).share_in_time() >= 0.99);
  BOOST_TEST(callers.result(browse).share_in_time() >= 0.98);
  for (const std::size_t index : in_need) {
    const fake_node& node = *limited.fleet.nodes().at(index);
    BOOST_TEST(most_arrivals(node, limited.counted_from, limited.end) <= max_arrivals(limit));
    BOOST_TEST(count_arrivals(node, limited.counted_from, limited.end) >=
               0.5 * limit * to_seconds(limited.end - limited.counted_from));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::performance_test
