#include "nutmegarch/organisations/organisation_table.h"

#include <boost/test/unit_test.hpp>

#include "nutmegarch/organisations/owner_table.h"

namespace nutmegarch::organisations {

namespace {

organisation make_organisation(const std::string& name, std::vector<std::string> keys) {
  organisation made;
  made.name = name;
  made.keys = std::move(keys);
  return made;
}

std::vector<std::string> node_addresses(int count) {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i) + ":7000");
  }
  return addresses;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(organisation_tables)

BOOST_AUTO_TEST_CASE(each_key_leads_to_its_holder) {
  const organisation_table table({make_organisation("a", {"k1", "k2"}), make_organisation("b", {"k3"})});
  BOOST_TEST(table.find_by_key("k1")->name == "a");
  BOOST_TEST(table.find_by_key("k2")->name == "a");
  BOOST_TEST(table.find_by_key("k3")->name == "b");
  BOOST_TEST(table.find_by_key("k4") == nullptr);
  BOOST_TEST(table.find_by_key("") == nullptr);
  BOOST_TEST(table.find_by_key("k") == nullptr);
  BOOST_TEST(table.find_by_name("b")->keys.front() == "k3");
  BOOST_TEST(table.find_by_name("c") == nullptr);
}

BOOST_AUTO_TEST_CASE(key_of_two_organisations_lets_nobody_in) {
  const organisation_table table({make_organisation("a", {"shared", "k1"}),
                                  make_organisation("b", {"shared"}), make_organisation("c", {"k3"})});
  BOOST_TEST(table.find_by_key("shared") == nullptr);
  BOOST_TEST(table.find_by_key("k1")->name == "a");
  BOOST_TEST(table.find_by_key("k3")->name == "c");
  BOOST_TEST(table.with_shared_keys().size() == 2U);
}

BOOST_AUTO_TEST_CASE(key_listed_twice_by_its_holder_is_valid) {
  const organisation_table table({make_organisation("a", {"k", "k"})});
  BOOST_REQUIRE(table.find_by_key("k") != nullptr);
  BOOST_TEST(table.with_shared_keys().empty());
}

// Without that, each change of the fleet would give most allowances a keeper that starts them anew.
BOOST_AUTO_TEST_CASE(node_that_leaves_moves_only_the_allowances_that_it_kept) {
  constexpr int organisation_count = 600;
  constexpr int node_count = 66;
  owner_table table;
  table.set_nodes(node_addresses(node_count));
  std::vector<std::string> before;
  before.reserve(organisation_count);
  for (int i = 0; i < organisation_count; ++i) {
    before.push_back(table.find("organisation-" + std::to_string(i)).front());
  }
  std::vector<std::string> remaining = node_addresses(node_count);
  const std::string gone = remaining.at(17);
  remaining.erase(remaining.begin() + 17);
  BOOST_TEST(table.set_nodes(remaining));
  BOOST_TEST(!table.set_nodes(remaining));
  for (int i = 0; i < organisation_count; ++i) {
    const std::string now = table.find("organisation-" + std::to_string(i)).front();
    BOOST_TEST((now == before.at(static_cast<std::size_t>(i))) ==
               (before.at(static_cast<std::size_t>(i)) != gone));
  }
}

BOOST_AUTO_TEST_CASE(second_keeper_becomes_the_first_when_the_first_is_gone) {
  owner_table table;
  table.set_nodes(node_addresses(9));
  const owner_table::keepers both = table.find("o");
  std::vector<std::string> remaining = node_addresses(9);
  remaining.erase(std::find(remaining.begin(), remaining.end(), both.front()));
  table.set_nodes(remaining);
  BOOST_TEST(table.find("o").front() == both.back());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::organisations
