#include "nutmegarch/routes/route_table.h"

#include <map>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/routes/weighted_round_robin.h"

namespace nutmegarch::routes {

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
  route result;
  result.name = name;
  result.host = host;
  result.prefix = prefix;
  result.services = {{"s", 1}};
  return result;
}

route_table make_table(std::vector<route> routes) {
  route_configuration configuration;
  configuration.version = 1;
  configuration.routes = std::move(routes);
  return route_table(configuration);
}

std::string name_of(const route* found) { return found == nullptr ? "" : found->name; }

}  // namespace

BOOST_AUTO_TEST_SUITE(route_tables)

BOOST_AUTO_TEST_CASE(selects_the_longest_matching_prefix_of_the_host) {
  const route_table table = make_table(
      {make_route("root", "a", "/"), make_route("deep", "a", "/x/y/"), make_route("other", "b", "/x/")});
  BOOST_TEST(name_of(table.find("a", "/x/y/z")) == "deep");
  BOOST_TEST(name_of(table.find("a", "/x/z")) == "root");
  BOOST_TEST(name_of(table.find("b", "/x/y/z")) == "other");
  BOOST_TEST(name_of(table.find("b", "/y")).empty());
  BOOST_TEST(name_of(table.find("c", "/x/")).empty());
}

BOOST_AUTO_TEST_CASE(prefix_matches_whole_path_segments_only) {
  const route_table table = make_table({make_route("r", "a", "/shop/")});
  BOOST_TEST(name_of(table.find("a", "/shop/1")) == "r");
  BOOST_TEST(name_of(table.find("a", "/shop/")) == "r");
  BOOST_TEST(name_of(table.find("a", "/shop")).empty());
  BOOST_TEST(name_of(table.find("a", "/shopping/1")).empty());
}

BOOST_AUTO_TEST_CASE(ignores_query_and_port_and_case_of_the_host) {
  const route_table table = make_table({make_route("r", "Shop.example", "/a/")});
  BOOST_TEST(name_of(table.find("shop.EXAMPLE:8080", "/a/b?c=/d/e/")) == "r");
  BOOST_TEST(name_of(table.find("shop.example", "/b?c=/a/")).empty());
}

BOOST_AUTO_TEST_CASE(weighted_round_robin_keeps_exact_shares_over_few_calls) {
  route split = make_route("r", "a", "/");
  split.services = {{"big", 90}, {"small", 10}};
  weighted_round_robin splitter;
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[splitter.choose(split)];
  }
  BOOST_TEST(counts["big"] == 90);
  BOOST_TEST(counts["small"] == 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::routes
