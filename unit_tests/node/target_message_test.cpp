#include "nutmegarch/node/target_message.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::node {

BOOST_AUTO_TEST_SUITE(target_messages)

BOOST_AUTO_TEST_CASE(only_a_call_that_was_not_sent_counts_as_not_run) {
  for (const http::client_error error :
       {http::client_error::unreachable, http::client_error::lost, http::client_error::timed_out,
        http::client_error::too_large, http::client_error::malformed, http::client_error::over_budget}) {
    for (const bool is_cancelled : {false, true}) {
      const target_answer answer = interpret_target_answer(error, true, is_cancelled);
      const bool is_unsent = error == http::client_error::unreachable;
      BOOST_TEST((answer.content.outcome == (is_unsent ? call_outcome::not_run : call_outcome::unknown)));
    }
  }
}

BOOST_AUTO_TEST_CASE(the_answer_of_the_target_is_passed_on) {
  const target_answer good = interpret_target_answer(answer_message{404, {}, "no such stone"}, false, false);
  BOOST_TEST((good.content.outcome == call_outcome::ok));
  BOOST_TEST(good.content.message.body == "no such stone");
  const target_answer bad = interpret_target_answer(answer_message{500, {}, "oops"}, false, false);
  BOOST_TEST((bad.content.outcome == call_outcome::failed));
  BOOST_TEST(bad.content.message.body == "oops");
}

BOOST_AUTO_TEST_CASE(a_call_that_the_target_sheds_does_not_count_as_not_run) {
  const target_answer order = interpret_target_answer(answer_message{503, {}, ""}, false, false);
  BOOST_TEST((order.content.outcome == call_outcome::failed));
  BOOST_TEST((order.result == policy::target_result::refused));
  const target_answer read = interpret_target_answer(answer_message{503, {}, ""}, true, false);
  BOOST_TEST((read.content.outcome == call_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(the_target_gets_the_remaining_time_and_the_request_id) {
  policy::inbound_call call;
  call.context.id = {1, 2};
  call.deadline = time_point(std::chrono::milliseconds(1'250));
  const request_message request = make_target_request({"GET", "/a", {{"Nutmegarch-Timeout", "9s"}}, ""}, call,
                                                      time_point(std::chrono::seconds(1)));
  BOOST_TEST(find_header(request.fields, "Nutmegarch-Timeout") == "250ms");
  BOOST_TEST(find_header(request.fields, "traceparent").find("00-00000000000000010000000000000002-") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::node
