#include "platform/http_dialect.h"

#include <string>

#include <boost/test/unit_test.hpp>

namespace nutmegarch::platform_adapter {

namespace {

answer_message make_answer(int status, const std::string& limit, const std::string& mark) {
  answer_message answer;
  answer.status = status;
  if (!limit.empty()) {
    answer.fields.push_back({"Server-Limit", limit});
  }
  if (!mark.empty()) {
    answer.fields.push_back({mark, "1"});
  }
  return answer;
}

const std::string signature = "Nutmegarch-Response-Signature";
const std::string not_executed = "Nutmegarch-Not-Executed";

}  // namespace

BOOST_AUTO_TEST_SUITE(http_dialect_fields)

BOOST_AUTO_TEST_CASE(limit_is_read_from_answers_of_the_server_itself_only) {
  const http_dialect tested;
  BOOST_TEST(tested.read_target_answer(make_answer(200, "34.5", signature)).max_request_rate.value() == 34.5);
  BOOST_TEST(tested.read_target_answer(make_answer(500, "0", signature)).max_request_rate.value() == 0);
  BOOST_TEST(tested.read_target_answer(make_answer(503, "17", not_executed)).max_request_rate.value() == 17);
  BOOST_TEST(!tested.read_target_answer(make_answer(200, "34.5", "")).max_request_rate);
  BOOST_TEST(!tested.read_target_answer(make_answer(421, "34.5", not_executed)).max_request_rate);
}

BOOST_AUTO_TEST_CASE(unreadable_limit_neither_begins_nor_ends_one) {
  const http_dialect tested;
  for (const char* const text : {"-1", "many", "1e9", "inf", "nan", "34 ", "34,5", "99999999999"}) {
    const node::target_answer_fields fields = tested.read_target_answer(make_answer(200, text, signature));
    BOOST_TEST(!fields.max_request_rate, text);
    BOOST_TEST(!fields.names_no_rate, text);
  }
}

BOOST_AUTO_TEST_CASE(only_a_complete_answer_says_that_no_limit_holds) {
  const http_dialect tested;
  BOOST_TEST(tested.read_target_answer(make_answer(200, "", signature)).names_no_rate);
  BOOST_TEST(!tested.read_target_answer(make_answer(503, "", not_executed)).names_no_rate);
  BOOST_TEST(!tested.read_target_answer(make_answer(200, "", "")).names_no_rate);
  BOOST_TEST(!tested.read_target_answer(make_answer(200, "34", signature)).names_no_rate);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::platform_adapter
