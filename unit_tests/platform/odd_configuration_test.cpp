#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/routes/route_table.h"

#include "platform/published_format.h"

namespace nutmegarch::platform_adapter {

namespace {

constexpr const char* sound_route =
    R"({"ResourceType": "Routes", "Metadata": {"Name": "sound"}, "Spec": {"Host": "sound.example",
       "Prefix": "/", "Kind": "idempotent", "TimeoutMs": 900, "TargetLatencyMs": 10, "Priority": 1, "Service": "s1",
       "MaxAttempts": 2}})";
constexpr const char* sound_service =
    R"({"ResourceType": "Services", "Metadata": {"Name": "s1"}, "Spec": {"MaxConnections": 7}})";

/// A route with the given text in place of the fields behind host and prefix.
std::string route_with(const std::string& rest) {
  return R"({"ResourceType": "Routes", "Metadata": {"Name": "odd"}, "Spec": {"Host": "odd.example", "Prefix": "/p/", )" +
         rest + "}}";
}

std::string organisation_with(const std::string& spec) {
  return R"({"ResourceType": "Tenants", "Metadata": {"Name": "o"}, "Spec": )" + spec + "}";
}

/// Resources that this version does not know or can't read.
std::vector<std::string> odd_resources() {
  return {
      "null",
      "true",
      "7",
      R"("text")",
      "[]",
      "{}",
      R"({"ResourceType": 7})",
      R"({"ResourceType": null, "Metadata": {"Name": "x"}, "Spec": {}})",
      R"({"ResourceType": "Wonders", "Metadata": {"Name": "x"}, "Spec": {"A": 1}})",
      R"({"ResourceType": "Wonders"})",
      R"({"ResourceType": "Wonders", "Metadata": 7, "Spec": 9})",
      R"({"ResourceType": "Routes"})",
      R"({"ResourceType": "Routes", "Metadata": {"Name": "odd"}})",
      R"({"ResourceType": "Routes", "Metadata": {"Name": "odd"}, "Spec": []})",
      R"({"ResourceType": "Routes", "Metadata": {"Name": 9}, "Spec": {"Host": "odd.example", "Prefix": "/p/"}})",
      R"({"ResourceType": "Routes", "Spec": {"Host": "odd.example", "Prefix": "/p/", "Kind": "idempotent", "Service": "s"}})",
      R"({"ResourceType": "Routes", "Metadata": {"Name": "odd"}, "Spec": {"Host": 1, "Prefix": "/p/"}})",
      R"({"ResourceType": "Routes", "Metadata": {"Name": "odd"}, "Spec": {"Host": "odd.example", "Prefix": false}})",
      route_with(R"("Kind": "upload", "Service": "s")"),
      route_with(R"("Kind": "wonder", "Service": "s")"),
      route_with(R"("Kind": "", "Service": "s")"),
      route_with(R"("Kind": 4, "Service": "s")"),
      route_with(R"("Service": "s")"),
      route_with(R"("Kind": "idempotent")"),
      route_with(R"("Kind": "idempotent", "Service": 7)"),
      route_with(R"("Kind": "idempotent", "Service": "s", "TimeoutMs": "long")"),
      route_with(R"("Kind": "idempotent", "Service": "s", "TimeoutMs": -5)"),
      route_with(R"("Kind": "idempotent", "Service": "s", "TimeoutMs": 1e300)"),
      route_with(R"("Kind": "idempotent", "Service": "s", "Priority": null)"),
      route_with(R"("Kind": "idempotent", "Service": "s", "MaxAttempts": {})"),
      route_with(R"("Kind": "idempotent", "Service": "s", "AuthExempt": "yes")"),
      route_with(R"("Kind": "idempotent", "Service": "s", "Wonder": {"A": [1, 2]})"),
      route_with(R"("Kind": "idempotent", "Split": "s")"),
      route_with(R"("Kind": "idempotent", "Split": [7])"),
      route_with(R"("Kind": "idempotent", "Split": [{"Service": "s"}])"),
      route_with(R"("Kind": "idempotent", "Split": [{"Service": "s", "Weight": "half"}])"),
      route_with(R"("Kind": "idempotent", "Split": [{"Service": "s", "Weight": -1}])"),
      R"({"ResourceType": "Services", "Metadata": {"Name": "odd"}})",
      R"({"ResourceType": "Services", "Metadata": {"Name": "odd"}, "Spec": {"MaxConnections": "many"}})",
      R"({"ResourceType": "Services", "Metadata": {"Name": "odd"}, "Spec": {"Protocol": "h9", "Tls": 3}})",
      R"({"ResourceType": "Limits", "Metadata": {}})",
      R"({"ResourceType": "Limits", "Metadata": {}, "Spec": {"MaxBodyBytes": "large"}})",
      R"({"ResourceType": "Limits", "Spec": {"IdleTimeoutMs": []}})",
      organisation_with("7"),
      organisation_with("{}"),
      organisation_with(R"({"ApiKeys": "k"})"),
      organisation_with(R"({"ApiKeys": [""]})"),
      organisation_with(R"({"ApiKeys": [7]})"),
      organisation_with(R"({"ApiKeys": ["k"], "RatePerS": -1})"),
      organisation_with(R"({"ApiKeys": ["k"], "RatePerS": "1"})"),
      organisation_with(R"({"ApiKeys": ["k"], "Burst": -1})"),
      organisation_with(R"({"ApiKeys": ["k"], "Priority": "high"})"),
  };
}

std::string configuration_with(const std::vector<std::string>& resources) {
  std::string list;
  for (const std::string& resource : resources) {
    list += (list.empty() ? "" : ",") + resource;
  }
  return R"({"Version": 9, "Wonder": 1, "Resources": [)" + list + "]}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_configurations)

BOOST_AUTO_TEST_CASE(odd_resource_leaves_the_sound_ones_in_force) {
  for (const std::string& odd : odd_resources()) {
    BOOST_TEST_CONTEXT(odd) {
      const result<routes::route_configuration, membership::published_value_error> read =
          parse_configuration(configuration_with({sound_service, odd, sound_route}));
      BOOST_REQUIRE(succeeded(read));
      routes::route_configuration configuration = std::get<routes::route_configuration>(read);
      BOOST_TEST(configuration.version == 9U);
      BOOST_TEST(configuration.services["s1"].max_connections == 7);
      const routes::route_table table(configuration);
      const routes::route* const sound = table.find("sound.example", "/a/b");
      BOOST_REQUIRE(sound != nullptr);
      BOOST_TEST(sound->idempotent);
      BOOST_TEST(sound->max_attempts == 2);
      BOOST_TEST((sound->timeout == std::chrono::milliseconds(900)));
    }
  }
}

BOOST_AUTO_TEST_CASE(removing_an_odd_resource_changes_nothing_for_the_others) {
  const std::vector<std::string> all = odd_resources();
  for (std::size_t left_out = 0; left_out < all.size(); ++left_out) {
    std::vector<std::string> resources = all;
    resources.erase(resources.begin() + static_cast<std::ptrdiff_t>(left_out));
    resources.push_back(sound_route);
    const result<routes::route_configuration, membership::published_value_error> read =
        parse_configuration(configuration_with(resources));
    BOOST_REQUIRE(succeeded(read));
    const routes::route_table table(std::get<routes::route_configuration>(read));
    const routes::route* const sound = table.find("sound.example", "/");
    BOOST_REQUIRE(sound != nullptr);
    BOOST_TEST(sound->services.front().service == "s1");
  }
}

BOOST_AUTO_TEST_CASE(requests_of_unknown_kinds_must_not_be_repeated) {
  for (const std::string kind : {"upload", "wonder", "", "Idempotent", "non_idempotent"}) {
    const result<routes::route_configuration, membership::published_value_error> read =
        parse_configuration(configuration_with({route_with(R"("Service": "s", "Kind": ")" + kind + "\"")}));
    BOOST_REQUIRE(succeeded(read));
    const routes::route_configuration& configuration = std::get<routes::route_configuration>(read);
    BOOST_REQUIRE(configuration.routes.size() == 1U);
    BOOST_TEST(!configuration.routes.front().idempotent, kind);
    BOOST_TEST(configuration.routes.front().is_readable, kind);
    const bool is_known = kind == "upload" || kind == "non_idempotent";
    BOOST_TEST(configuration.problems.empty() == is_known, kind);
  }
}

// A request of a route that can't be read must neither get 404 nor go where a shorter prefix leads.
BOOST_AUTO_TEST_CASE(unreadable_route_keeps_its_requests_from_other_routes) {
  constexpr const char* shorter_route =
      R"({"ResourceType": "Routes", "Metadata": {"Name": "shorter"}, "Spec": {"Host": "odd.example",
         "Prefix": "/", "Kind": "idempotent", "Service": "other"}})";
  const std::string unreadable = route_with(R"("Kind": "idempotent", "Service": 7)");
  const result<routes::route_configuration, membership::published_value_error> read =
      parse_configuration(configuration_with({shorter_route, unreadable}));
  BOOST_REQUIRE(succeeded(read));
  const routes::route_table table(std::get<routes::route_configuration>(read));
  const routes::route* const found = table.find("odd.example", "/p/x");
  BOOST_REQUIRE(found != nullptr);
  const routes::route placeholder = found == nullptr ? routes::route{} : *found;
  BOOST_TEST(!placeholder.is_readable);
  BOOST_TEST(table.find("odd.example", "/q")->is_readable);
}

BOOST_AUTO_TEST_CASE(route_without_readable_prefix_keeps_the_one_that_it_had) {
  const result<routes::route_configuration, membership::published_value_error> first =
      parse_configuration(configuration_with({route_with(R"("Kind": "idempotent", "Service": "s")")}));
  const routes::route_table before(std::get<routes::route_configuration>(first));
  const result<routes::route_configuration, membership::published_value_error> second = parse_configuration(
      configuration_with({R"({"ResourceType": "Routes", "Metadata": {"Name": "odd"}, "Spec": {"Prefix": 7}})",
                          sound_route}));
  routes::route_configuration next = std::get<routes::route_configuration>(second);
  routes::add_placeholders(before, next);
  const routes::route_table after(next);
  BOOST_REQUIRE(after.find("odd.example", "/p/x") != nullptr);
  BOOST_TEST(!after.find("odd.example", "/p/x")->is_readable);
  BOOST_TEST(after.may_lack_routes());
}

// A key that can't be found may belong to the organisation that can't be read.
BOOST_AUTO_TEST_CASE(unreadable_organisation_is_named_and_its_key_is_not) {
  const result<routes::route_configuration, membership::published_value_error> read = parse_configuration(
      configuration_with({organisation_with(R"({"ApiKeys": ["secret"], "RatePerS": -1})"), sound_route}));
  const routes::route_configuration& configuration = std::get<routes::route_configuration>(read);
  BOOST_TEST(!configuration.has_all_organisations);
  BOOST_REQUIRE(configuration.problems.size() == 1U);
  BOOST_TEST(configuration.problems.front().resource == "organisation o");
  BOOST_TEST(configuration.problems.front().message.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
