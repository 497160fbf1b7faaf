#include "nutmegarch/routes/route_table.h"

#include <map>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/routes/split_choice.h"

namespace nutmegarch::routes {

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
  route made;
  made.name = name;
  made.host = host;
  made.prefix = prefix;
  made.services = {{"s", 1}};
  return made;
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

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  const route_table table = make_table(
      {make_route("root", "a", "/"), make_route("deep", "a", "/x/y/"), make_route("other", "b", "/x/")});
  BOOST_TEST(name_of(table.find("a", "/x/y/z")) == "deep");
  BOOST_TEST(name_of(table.find("a", "/x/z")) == "root");
  BOOST_TEST(name_of(table.find("b", "/x/y/z")) == "other");
  BOOST_TEST(name_of(table.find("b", "/y")).empty());
  BOOST_TEST(name_of(table.find("c", "/x/")).empty());
}

BOOST_AUTO_TEST_CASE(a_prefix_ends_at_a_slash) {
  const route_table table = make_table({make_route("r", "a", "/shop/")});
  BOOST_TEST(name_of(table.find("a", "/shop/1")) == "r");
  BOOST_TEST(name_of(table.find("a", "/shop/")) == "r");
  BOOST_TEST(name_of(table.find("a", "/shop")).empty());
  BOOST_TEST(name_of(table.find("a", "/shopping/1")).empty());
}

BOOST_AUTO_TEST_CASE(the_query_the_port_and_the_case_of_the_host_do_not_matter) {
  const route_table table = make_table({make_route("r", "Shop.example", "/a/")});
  BOOST_TEST(name_of(table.find("shop.EXAMPLE:8080", "/a/b?c=/d/e/")) == "r");
  BOOST_TEST(name_of(table.find("shop.example", "/b?c=/a/")).empty());
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_shares_over_short_spans) {
  route split = make_route("r", "a", "/");
  split.services = {{"big", 90}, {"small", 10}};
  split_choice choice;
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i) {
    ++counts[choice.choose(split)];
  }
  BOOST_TEST(counts["big"] == 90);
  BOOST_TEST(counts["small"] == 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::routes
