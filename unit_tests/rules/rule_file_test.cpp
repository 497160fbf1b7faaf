#include <chrono>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "nutmegarch/rules/rule_table.h"

namespace nutmegarch::rules {

namespace {

constexpr const char* rule_comment = " # who: Elena why: the season\n";

std::vector<rule_error> errors_of(const std::string& text) {
  const result<rule_file, std::vector<rule_error>> parsed = parse_rule_file(text);
  return succeeded(parsed) ? std::vector<rule_error>{} : std::get<std::vector<rule_error>>(parsed);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rule_files)

BOOST_AUTO_TEST_CASE(parses_every_rule_kind) {
  const std::string s = rule_comment;
  const std::string text =
      "version 3" + s + "shed service=a class=browse above=80%" + s +
      "limit service=a route=/x* concurrency=5" + s + "limit service=* caller=bot rate=2.5/s" + s +
      "retry service=a budget=3" + s + "hedge service=a state=off" + s + "timeout service=a after=250ms" + s +
      "quarantine fingerprint=00ff" + s + "drain host=h1" + s + "weigh host=h2 weight=0.5" + s +
      "order service=a route=/orders" + s + "class service=a route=/account* class=important" + s;
  const result<rule_file, std::vector<rule_error>> parsed = parse_rule_file(text);
  BOOST_REQUIRE(succeeded(parsed));
  const rule_file& file = std::get<rule_file>(parsed);
  BOOST_TEST(file.version == 3U);
  BOOST_REQUIRE(file.rules.size() == 11U);
  BOOST_TEST(file.rules.at(0).above == 0.8);
  BOOST_TEST(file.rules.at(0).who == "Elena");
  BOOST_TEST(file.rules.at(0).why == "the season");
  BOOST_TEST((file.rules.at(5).after == std::chrono::milliseconds(250)));
  BOOST_TEST(file.rules.at(6).fingerprint == 255U);
}

BOOST_AUTO_TEST_CASE(reports_all_errors_with_line_and_column) {
  const std::string s = rule_comment;
  const std::string text = "version 1" + s + "shedd service=a above=1" + s + "shed service=a above=lots" + s +
                           "limit service=a" + s + "timeout service=a after=250" + s + "drain host=h1\n";
  const std::vector<rule_error> errors = errors_of(text);
  BOOST_REQUIRE(errors.size() == 6U);  // The last line yields two errors: it has neither who nor why.
  BOOST_TEST(errors.at(0).line == 2);
  BOOST_TEST(errors.at(0).column == 1);
  BOOST_TEST(errors.at(1).line == 3);
  BOOST_TEST(errors.at(1).column == 22);
  BOOST_TEST(to_text(errors.at(1), "f") ==
             "f:3:22: error: expected a load from 0 to 10, or in %, found \"lots\"");
  BOOST_TEST(errors.at(2).line == 4);
  BOOST_TEST(errors.at(3).line == 5);
  BOOST_TEST(errors.at(4).line == 6);
}

BOOST_AUTO_TEST_CASE(rejects_a_file_without_version) {
  BOOST_TEST(errors_of("drain host=h1 # who: a why: b\n").size() == 1U);
  BOOST_TEST(errors_of("").size() == 1U);
}

RC_BOOST_PROP(any_text_is_parsed_or_rejected_with_a_position, (const std::string& text)) {
  for (const rule_error& error : errors_of(text)) {
    RC_ASSERT(error.line >= 1);
    RC_ASSERT(error.column >= 1);
    RC_ASSERT(!error.message.empty());
  }
}

BOOST_AUTO_TEST_CASE(last_matching_rule_applies_and_named_service_precedes_any) {
  const std::string s = rule_comment;
  const std::string text = "version 1" + s + "timeout service=a after=1s" + s +
                           "timeout service=a route=/x* after=2s" + s + "timeout service=* after=3s" + s;
  const rule_table table(std::get<rule_file>(parse_rule_file(text)));
  BOOST_TEST((table.find({"a", "/x/1", ""}).timeout->after == std::chrono::seconds(2)));
  BOOST_TEST((table.find({"a", "/y", ""}).timeout->after == std::chrono::seconds(1)));
  BOOST_TEST((table.find({"b", "/y", ""}).timeout->after == std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::rules
