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

/// Calls to the stockyard that a browse and an order make.
constexpr double browse_fan_out = 4;
constexpr double order_fan_out = 8;
/// Work of a stock check over that of a call of a chain.
constexpr double stock_check_work = 80.0 / 59.0;

/// Four services of which the last has a quarter of the others' slots, with the policies of deploy/.
deployment_plan mesh() {
  deployment_plan plan;
  plan.places = rodopa_places();
  plan.domain_delay = std::chrono::microseconds(1400);
  plan.uses_tickets = false;
  service_shape upper;
  upper.slots = 64;
  upper.mean = milliseconds(100);
  service_shape deepest;
  deepest.slots = 20;
  deepest.mean = milliseconds(59);
  plan.services = {
      {"catalogue", upper, ""}, {"orders", upper, ""}, {"finishing", upper, ""}, {"stockyard", deepest, ""}};
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
  plan.receiver.standing_share = 1;
  plan.receiver.finish_quantile = 0.5;
  plan.sender.routing = policy::routing_kind::least_time;
  plan.sender.score.domain_factor = 2;
  plan.sender.score.region_factor = 2;
  plan.sender.score.compares_regions = true;
  plan.sender.stall_least = milliseconds(500);
  plan.sender.losses_to_eject = 8;
  plan.sender.retries_leaves_only = true;
  plan.sender.hedges = {0, 0};
  // A node's part of the link.
  plan.sender.link.bytes_per_second = 14'000;
  plan.sender.link.capacity = 50'000;
  return plan;
}

/// The mix of the platform's requests, `total` a second.
std::vector<request_kind> mix(double total) {
  const double unit = total / 11.2;
  return {{browse, call_class::browse, 6.0 * unit, milliseconds(1500), milliseconds(1500), 1},
          {order, call_class::order, 2.4 * unit, milliseconds(2000), milliseconds(2000), 3},
          {queue_check, call_class::browse, 1.6 * unit, milliseconds(1500), milliseconds(3000), 1},
          {stock_check, call_class::important, 1.2 * unit, milliseconds(400), milliseconds(800), 2}};
}

/// Requests a second of the mix that fill `capacity` calls a second of the last service.
double rate_that_fills(double capacity) {
  return capacity * 11.2 / (6.0 * browse_fan_out + 2.4 * order_fan_out + 1.2 * stock_check_work);
}

/// Share of the worth of the mix at `load` times the capacity that could be earned: the last service has room
/// for the most worth for each of its calls.
double best_worth_share(double load) {
  const double all_calls = 6.0 * browse_fan_out + 2.4 * order_fan_out + 1.2 * stock_check_work;
  double room = all_calls / load;
  double earned = 1.6;
  const double stock_checks = std::min(1.2, room / stock_check_work);
  room -= stock_checks * stock_check_work;
  const double orders = std::min(2.4, room / order_fan_out);
  room -= orders * order_fan_out;
  earned += 2 * stock_checks + 3 * orders + std::min(6.0, room / browse_fan_out);
  return earned / (6.0 + 3 * 2.4 + 1.6 + 2 * 1.2);
}

void log(const mesh_callers& callers) {
  for (const std::string& region : {std::string(), rodopi, thrace}) {
    std::string text =
        (region.empty() ? "all" : region) + ": worth " + std::to_string(callers.worth_share(region));
    for (const std::string& route : {browse, order, queue_check, stock_check}) {
      const kind_result found = callers.result(route, region);
      text += ", " + route + " in time " + std::to_string(found.share_in_time()) + " refused " +
              std::to_string(found.refused / found.offered) + " failed " +
              std::to_string(found.failed / found.offered);
    }
    BOOST_TEST_MESSAGE(text);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(chain_admission_test)

BOOST_AUTO_TEST_CASE(chains_beyond_the_last_service_are_not_begun_and_lost) {
  constexpr double load = 1.7;
  deployment fleet(mesh(), 20261204);
  mesh_callers callers(fleet, mix(load * rate_that_fills(fleet.capacity(3))));
  callers.run(seconds(20), seconds(4));
  log(callers);
  BOOST_TEST(callers.worth_share() >= 0.8 * best_worth_share(load));
  BOOST_TEST(callers.result(order).share_in_time() >= 0.8);
  BOOST_TEST(callers.result(stock_check).share_in_time() >= 0.8);
  BOOST_TEST(callers.result(queue_check).share_in_time() >= 0.95);
  const kind_result browses = callers.result(browse);
  BOOST_TEST(browses.failed <= browses.refused);
}

BOOST_AUTO_TEST_CASE(a_region_with_fewer_servers_of_the_last_service_is_not_served_half_as_well) {
  deployment_plan plan = mesh();
  plan.services.back().places = {{rodopi, "chepelare"}, {thrace, "plovdiv"}, {thrace, "asenovgrad"}};
  deployment fleet(plan, 20261204);
  mesh_callers callers(fleet, mix(1.2 * rate_that_fills(fleet.capacity(3))));
  callers.run(seconds(20), seconds(4));
  log(callers);
  BOOST_TEST(callers.worth_share(rodopi) >= 0.7 * callers.worth_share(thrace));
  BOOST_TEST(callers.result(order, rodopi).share_in_time() >= 0.8);
  BOOST_TEST(callers.result(queue_check, rodopi).share_in_time() >= 0.95);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::performance_test
