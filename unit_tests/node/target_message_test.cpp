#include "nutmegarch/node/target_message.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::node {

BOOST_AUTO_TEST_SUITE(target_messages)

BOOST_AUTO_TEST_CASE(only_a_call_of_which_nothing_was_written_is_not_run) {
  for (const http::client_error error :
       {http::client_error::unreachable, http::client_error::lost, http::client_error::timed_out,
        http::client_error::too_large, http::client_error::malformed, http::client_error::over_budget}) {
    for (const bool is_cancelled : {false, true}) {
      const target_answer answer = interpret(error, true, is_cancelled);
      const bool is_unwritten = error == http::client_error::unreachable;
      BOOST_TEST((answer.content.outcome == (is_unwritten ? call_outcome::not_run : call_outcome::unknown)));
    }
  }
}

BOOST_AUTO_TEST_CASE(what_the_target_says_is_passed_on) {
  const target_answer good = interpret(answer_message{404, {}, "no such stone"}, false, false);
  BOOST_TEST((good.content.outcome == call_outcome::ok));
  BOOST_TEST(good.content.message.body == "no such stone");
  const target_answer bad = interpret(answer_message{500, {}, "oops"}, false, false);
  BOOST_TEST((bad.content.outcome == call_outcome::failed));
  BOOST_TEST(bad.content.message.body == "oops");
}

BOOST_AUTO_TEST_CASE(a_target_that_sheds_has_seen_the_call) {
  const target_answer order = interpret(answer_message{503, {}, ""}, false, false);
  BOOST_TEST((order.content.outcome == call_outcome::failed));
  BOOST_TEST((order.result == policy::target_result::refused));
  const target_answer read = interpret(answer_message{503, {}, ""}, true, false);
  BOOST_TEST((read.content.outcome == call_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(the_target_learns_its_remaining_time_and_its_place) {
  policy::inbound_call call;
  call.context.id = {1, 2};
  call.deadline = time_point(std::chrono::milliseconds(1'250));
  const request_message request =
      to_target({"GET", "/a", {{"Nutmegarch-Timeout", "9s"}}, ""}, call, time_point(std::chrono::seconds(1)));
  BOOST_TEST(find_header(request.fields, "Nutmegarch-Timeout") == "250ms");
  BOOST_TEST(find_header(request.fields, "traceparent").find("00-00000000000000010000000000000002-") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::node
