#include <algorithm>
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
const std::string queue_check = "finish-queue";
const std::string stock_check = "stock-check";
const std::string rodopi = "rodopi";
const std::string thrace = "thrace";

/// Calls to the stockyard per browse request and per order, over all calls of the chain.
constexpr double browse_fan_out = 4;
constexpr double order_fan_out = 8;
/// Mean service time of a stock check divided by that of a chain's call to the stockyard.
constexpr double stock_check_cost = 80.0 / 59.0;

/// Four services, of which the last has fewer than a third of the others' slots, with the policy settings of
/// deploy/.
deployment_plan mesh_plan() {
  deployment_plan plan;
  plan.places = rodopa_places();
  plan.domain_delay = std::chrono::microseconds(1400);
  plan.uses_tickets = false;
  service_shape upper;
  upper.slots = 64;
  upper.mean = milliseconds(100);
  service_shape last;
  last.slots = 20;
  last.mean = milliseconds(59);
  plan.services = {
      {"catalogue", upper, ""}, {"orders", upper, ""}, {"finishing", upper, ""}, {"stockyard", last, ""}};
  plan.routes = {
      {browse, {"catalogue", milliseconds(200), duration::max(), {"order-ledger"}}},
      {order, {"orders", milliseconds(260), duration::max(), {"kiln-log", "kiln-log"}}},
      {queue_check, {"finishing", milliseconds(500), duration::max(), {}}},
      {stock_check, {"stockyard", milliseconds(80), duration::max(), {}}},
      {"order-ledger", {"orders", milliseconds(15), milliseconds(2500), {"kiln-log"}}},
      {"kiln-log",
       {"finishing",
        milliseconds(15),
        milliseconds(2000),
        {"quarry-feed", "quarry-feed", "quarry-feed", "quarry-feed"}}},
      {"quarry-feed", {"stockyard", milliseconds(59), milliseconds(700), {}}},
  };
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
  plan.sender.retry_leaf_calls_only = true;
  plan.sender.hedges = {0, 0};
  // One node's share of the link between the regions, in bytes.
  plan.sender.link.bytes_per_second = 14'000;
  plan.sender.link.capacity = 50'000;
  return plan;
}

/// The platform's mix of requests, at `total` requests/s.
std::vector<request_kind> request_mix(double total) {
  const double rate_per_weight = total / 11.2;
  return {
      {browse, call_class::browse, 6.0 * rate_per_weight, milliseconds(1500), milliseconds(1500), 1},
      {order, call_class::order, 2.4 * rate_per_weight, milliseconds(2000), milliseconds(2000), 3},
      {queue_check, call_class::browse, 1.6 * rate_per_weight, milliseconds(1500), milliseconds(3000), 1},
      {stock_check, call_class::important, 1.2 * rate_per_weight, milliseconds(400), milliseconds(800), 2}};
}

/// Request rate of the mix, in requests/s, that saturates a last service with a capacity of `capacity`
/// calls/s.
double saturating_rate(double capacity) {
  return capacity * 11.2 / (6.0 * browse_fan_out + 2.4 * order_fan_out + 1.2 * stock_check_cost);
}

/// Upper bound of the share of the mix's worth that can be served at `load` times the capacity: the last
/// service serves the kinds of request with the highest worth per call first.
double best_possible_worth_share(double load) {
  const double all_calls = 6.0 * browse_fan_out + 2.4 * order_fan_out + 1.2 * stock_check_cost;
  double remaining_capacity = all_calls / load;
  double earned = 1.6;
  const double stock_checks = std::min(1.2, remaining_capacity / stock_check_cost);
  remaining_capacity -= stock_checks * stock_check_cost;
  const double orders = std::min(2.4, remaining_capacity / order_fan_out);
  remaining_capacity -= orders * order_fan_out;
  earned += 2 * stock_checks + 3 * orders + std::min(6.0, remaining_capacity / browse_fan_out);
  return earned / (6.0 + 3 * 2.4 + 1.6 + 2 * 1.2);
}

void log_results(const mesh_callers& callers) {
  for (const std::string& region : {std::string(), rodopi, thrace}) {
    std::string text =
        (region.empty() ? "all" : region) + ": worth " + std::to_string(callers.worth_share(region));
    for (const std::string& route : {browse, order, queue_check, stock_check}) {
      const kind_result outcomes = callers.result(route, region);
      text += ", " + route + " in time " + std::to_string(outcomes.share_in_time()) + " refused " +
              std::to_string(outcomes.refused / outcomes.offered) + " failed " +
              std::to_string(outcomes.failed / outcomes.offered);
    }
    BOOST_TEST_MESSAGE(text);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(chain_admission_test)

// Guards against wasted work: chains that start although the last service has no capacity for them fail
// there, after the services before it have done their part.
BOOST_AUTO_TEST_CASE(chains_beyond_the_capacity_of_the_last_service_are_refused_at_the_entry) {
  constexpr double load = 1.7;
  deployment fleet(mesh_plan(), 20261204);
  mesh_callers callers(fleet, request_mix(load * saturating_rate(fleet.capacity(3))));
  callers.run(seconds(20), seconds(4));
  log_results(callers);
  BOOST_TEST(callers.worth_share() >= 0.8 * best_possible_worth_share(load));
  BOOST_TEST(callers.result(order).share_in_time() >= 0.8);
  BOOST_TEST(callers.result(stock_check).share_in_time() >= 0.8);
  BOOST_TEST(callers.result(queue_check).share_in_time() >= 0.95);
  const kind_result browses = callers.result(browse);
  BOOST_TEST(browses.failed <= browses.refused);
}

// Guards against unequal service: rodopi has one of the three domains of the last service, and its callers
// must not get much less than those of thrace.
BOOST_AUTO_TEST_CASE(a_region_with_fewer_servers_of_the_last_service_is_not_served_half_as_well) {
  deployment_plan plan = mesh_plan();
  plan.services.back().places = {{rodopi, "chepelare"}, {thrace, "plovdiv"}, {thrace, "asenovgrad"}};
  deployment fleet(plan, 20261204);
  mesh_callers callers(fleet, request_mix(1.2 * saturating_rate(fleet.capacity(3))));
  callers.run(seconds(20), seconds(4));
  log_results(callers);
  BOOST_TEST(callers.worth_share(rodopi) >= 0.7 * callers.worth_share(thrace));
  BOOST_TEST(callers.result(order, rodopi).share_in_time() >= 0.8);
  BOOST_TEST(callers.result(queue_check, rodopi).share_in_time() >= 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::performance_test
