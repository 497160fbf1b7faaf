#include "nutmegarch/policy/rule_enforcer.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::policy {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};

rules::rule_table make_table(const std::string& line) {
  const std::string text = "version 1 # who: a why: b\n" + line + " # who: a why: b\n";
  return rules::rule_table(std::get<rules::rule_file>(rules::parse_rule_file(text)));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rule_enforcement)

BOOST_AUTO_TEST_CASE(a_shed_rule_refuses_its_class_from_its_load_on) {
  const rules::rule_table table = make_table("shed service=s class=browse above=80%");
  const rules::call_rules rules = table.find({"s", "/a", ""});
  rule_enforcer tested;
  BOOST_TEST((tested.admit(rules, call_class::browse, 0.7, 1, begin).refused_by == nullptr));
  BOOST_TEST((tested.admit(rules, call_class::browse, 0.8, 1, begin).refused_by != nullptr));
  BOOST_TEST((tested.admit(rules, call_class::order, 0.8, 1, begin).refused_by == nullptr));
}

BOOST_AUTO_TEST_CASE(a_concurrency_rule_counts_calls_until_release) {
  const rules::rule_table table = make_table("limit service=s concurrency=2");
  const rules::call_rules rules = table.find({"s", "/a", ""});
  rule_enforcer tested;
  BOOST_TEST((tested.admit(rules, call_class::browse, 0, 1, begin).refused_by == nullptr));
  BOOST_TEST((tested.admit(rules, call_class::browse, 0, 1, begin).refused_by == nullptr));
  BOOST_TEST((tested.admit(rules, call_class::browse, 0, 1, begin).reason == call_reason::concurrency_rule));
  tested.release(rules);
  BOOST_TEST((tested.admit(rules, call_class::browse, 0, 1, begin).refused_by == nullptr));
}

BOOST_AUTO_TEST_CASE(a_rate_rule_is_divided_among_the_targets) {
  const rules::rule_table table = make_table("limit service=s rate=100/s");
  const rules::call_rules rules = table.find({"s", "/a", ""});
  rule_enforcer tested;
  int admitted = 0;
  for (int i = 0; i < 10'000; ++i) {
    const time_point now = begin + std::chrono::milliseconds(i);
    admitted += tested.admit(rules, call_class::browse, 0, 4, now).refused_by == nullptr ? 1 : 0;
  }
  // 10 s at a quarter of 100/s, plus the initial burst.
  BOOST_TEST(admitted >= 245);
  BOOST_TEST(admitted <= 256);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
