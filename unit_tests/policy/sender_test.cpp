#include "nutmegarch/policy/sender.h"

#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

std::vector<endpoint_ptr> make_endpoints(int count) {
  std::vector<endpoint_ptr> endpoints;
  for (int i = 0; i < count; ++i) {
    const endpoint_ptr made(new endpoint());
    made->host = "host-" + std::to_string(i);
    made->incarnation = static_cast<std::uint64_t>(i) + 1;
    made->first_used_at = time_point(std::chrono::nanoseconds(1));
    endpoints.push_back(made);
  }
  return endpoints;
}

outbound_call_ptr make_call(time_point deadline, bool idempotent) {
  const outbound_call_ptr call(new outbound_call());
  call->context.service = "s";
  call->context.route = "GET /a";
  call->context.idempotent = idempotent;
  call->deadline = deadline;
  return call;
}

attempt_answer make_answer(call_outcome outcome, call_reason reason = call_reason::none) {
  attempt_answer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.report = node_report{};
  return answer;
}

constexpr time_point begin{std::chrono::seconds(100)};

struct fixture {
  random_source random{7};
  sender_settings settings;
  sender tested{settings, random};
  sender_actions actions;

  const sender_action* find(sender_action::kind what) const {
    for (const sender_action& action : actions) {
      if (action.what == what) {
        return &action;
      }
    }
    return nullptr;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(sender_decisions)

// Ends the attempts of one call in every way and in any order. The call must complete exactly once, and with
// "not run" only when no attempt can have reached a target.
RC_BOOST_PROP(a_call_completes_once_and_reports_not_run_correctly, ()) {
  const bool idempotent = *rc::gen::arbitrary<bool>();
  const bool is_order = !idempotent && *rc::gen::arbitrary<bool>();
  const std::vector<std::pair<int, int>> steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(1, 400)));
  random_source random(3);
  sender_settings settings;
  settings.retry_budget = 5;
  sender tested(settings, random);
  tested.set_endpoints("s", make_endpoints(3));
  time_point now = begin;
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), idempotent);
  if (is_order) {
    call->context.ticket = order_ticket{2, 5};
  }

  sender_actions actions;
  tested.start(call, now, actions);
  // For each attempt: true when it is open or was lost, so that it may have run.
  std::vector<bool> may_have_run;
  std::size_t seen = 0;
  int completions = 0;
  call_outcome reported_outcome = call_outcome::ok;
  bool issuer_refused = false;
  const std::function<void()> drain = [&]() {
    for (; seen < actions.size(); ++seen) {
      const sender_action& action = actions.at(seen);
      if (action.what == sender_action::kind::send) {
        may_have_run.push_back(true);
      }
      if (action.what == sender_action::kind::complete) {
        ++completions;
        reported_outcome = action.outcome;
      }
    }
  };
  drain();
  for (const std::pair<int, int>& step : steps) {
    now += std::chrono::milliseconds(step.second);
    const std::size_t index =
        may_have_run.empty() ? 0 : static_cast<std::size_t>(step.second) % may_have_run.size();
    const bool has_attempt = !may_have_run.empty();
    const bool is_open = has_attempt && call->attempts.at(index).open;
    if (step.first <= 1 && is_open) {
      // The node refuses the attempt. The issuer of a ticket seals the ticket before it refuses.
      may_have_run.at(index) = false;
      issuer_refused = true;
      tested.on_answer(call, index, make_answer(call_outcome::not_run, call_reason::queue_full), now,
                       actions);
    } else if (step.first == 2 && is_open) {
      // The connection failed, so that nothing was written.
      may_have_run.at(index) = false;
      attempt_answer unreachable;
      unreachable.outcome = call_outcome::not_run;
      unreachable.reason = call_reason::no_target;
      tested.on_answer(call, index, unreachable, now, actions);
    } else if (step.first <= 4 && is_open) {
      attempt_answer lost;
      lost.outcome = call_outcome::unknown;
      tested.on_answer(call, index, lost, now, actions);
    } else if (step.first == 5 && is_open) {
      tested.on_answer(call, index, make_answer(call_outcome::ok), now, actions);
    } else if (step.first == 6) {
      tested.cancel(call, now, actions);
    } else {
      tested.on_tick(now, actions);
    }
    drain();
  }
  now += std::chrono::seconds(5);
  tested.on_tick(now, actions);
  drain();
  RC_ASSERT(completions == 1);
  if (reported_outcome == call_outcome::not_run && !is_order) {
    RC_ASSERT(std::count(may_have_run.begin(), may_have_run.end(), true) == 0);
  }
  if (reported_outcome == call_outcome::not_run && is_order) {
    // Copies of the order may be in flight through other nodes. Only the issuer, which seals the ticket, can
    // tell that none has run.
    RC_ASSERT(issuer_refused);
  }
}

BOOST_FIXTURE_TEST_CASE(a_refused_call_goes_to_another_endpoint, fixture) {
  tested.set_endpoints("s", make_endpoints(2));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), false);
  tested.start(call, begin, actions);
  tested.on_answer(call, 0, make_answer(call_outcome::not_run, call_reason::leaving), begin, actions);
  BOOST_REQUIRE(call->attempts.size() == 2U);
  BOOST_TEST(call->attempts.at(0).to != call->attempts.at(1).to);
}

BOOST_FIXTURE_TEST_CASE(a_call_that_may_have_run_is_not_repeated_unless_idempotent, fixture) {
  tested.set_endpoints("s", make_endpoints(2));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), false);
  tested.start(call, begin, actions);
  tested.on_answer(call, 0, make_answer(call_outcome::unknown), begin, actions);
  BOOST_TEST(call->attempts.size() == 1U);
  BOOST_REQUIRE(find(sender_action::kind::complete) != nullptr);
  BOOST_TEST((find(sender_action::kind::complete)->outcome == call_outcome::unknown));
}

BOOST_FIXTURE_TEST_CASE(a_leaving_endpoint_gets_no_new_work, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  tested.set_endpoints("s", endpoints);
  endpoints.at(0)->reported_leaving = true;
  for (int i = 0; i < 50; ++i) {
    const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), true);
    tested.start(call, begin, actions);
    BOOST_TEST(call->attempts.front().to == endpoints.at(1));
  }
}

// Guards against calls that reach a target after its answer said that it leaves: as retries, as hedges, by
// tickets, and after a pause of the node.
BOOST_FIXTURE_TEST_CASE(target_that_says_that_it_leaves_gets_no_call_of_any_kind, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  tested.set_endpoints("s", endpoints);
  const outbound_call_ptr first = make_call(begin + std::chrono::seconds(1), true);
  tested.start(first, begin, actions);
  const endpoint_ptr left = first->attempts.front().to;
  attempt_answer refused = make_answer(call_outcome::not_run, call_reason::target_refused);
  refused.target_leaving = true;
  tested.on_answer(first, 0, refused, begin, actions);
  BOOST_REQUIRE(first->attempts.size() == 2U);
  BOOST_TEST(first->attempts.at(1).to != left);

  tested.forget_reports();
  time_point now = begin;
  for (int i = 0; i < 50; ++i) {
    now += std::chrono::minutes(1);
    const outbound_call_ptr call = make_call(now + std::chrono::seconds(1), true);
    BOOST_TEST(tested.choose_ticket_issuer(call->context, now) != left);
    sender_actions made;
    tested.start(call, now, made);
    tested.on_tick(now + std::chrono::milliseconds(500), made);
    BOOST_TEST(call->attempts.size() == 1U);
    BOOST_TEST(call->attempts.front().to != left);
    tested.on_answer(call, 0, make_answer(call_outcome::ok), now, made);
  }
}

BOOST_FIXTURE_TEST_CASE(call_of_a_service_whose_targets_all_leave_is_not_sent, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  tested.set_endpoints("s", endpoints);
  for (const endpoint_ptr& leaving : endpoints) {
    leaving->target_leaving = true;
  }
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), false);
  tested.start(call, begin, actions);
  BOOST_TEST(call->attempts.empty());
  BOOST_REQUIRE(find(sender_action::kind::complete) != nullptr);
  BOOST_TEST((find(sender_action::kind::complete)->outcome == call_outcome::not_run));
}

BOOST_FIXTURE_TEST_CASE(at_most_half_of_the_endpoints_are_ejected, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(4);
  tested.set_endpoints("s", endpoints);
  time_point now = begin;
  for (int i = 0; i < 400; ++i) {
    const outbound_call_ptr call = make_call(never, false);
    tested.start(call, now, actions);
    attempt_answer lost;
    tested.on_answer(call, 0, lost, now, actions);
    now += std::chrono::milliseconds(1);
  }
  const std::ptrdiff_t out =
      std::count_if(endpoints.begin(), endpoints.end(),
                    [&](const endpoint_ptr& known) { return now < known->ejected_until; });
  BOOST_TEST(out > 0);
  BOOST_TEST(out <= 2);
}

BOOST_FIXTURE_TEST_CASE(a_level_sheds_at_the_sender_until_it_expires, fixture) {
  tested.set_endpoints("s", make_endpoints(1));
  const outbound_call_ptr first = make_call(never, true);
  tested.start(first, begin, actions);
  attempt_answer answer = make_answer(call_outcome::ok);
  answer.report->level.cutoff = level_position(call_class::browse, 0);
  tested.on_answer(first, 0, answer, begin, actions);

  const outbound_call_ptr shed = make_call(never, true);
  tested.start(shed, begin + std::chrono::milliseconds(500), actions);
  BOOST_TEST(shed->attempts.empty());
  const outbound_call_ptr later = make_call(never, true);
  tested.start(later, begin + std::chrono::seconds(2), actions);
  BOOST_TEST(later->attempts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(forget_reports_discards_levels_and_ejections, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(1);
  tested.set_endpoints("s", endpoints);
  const outbound_call_ptr first = make_call(never, true);
  tested.start(first, begin, actions);
  attempt_answer answer = make_answer(call_outcome::ok);
  answer.report->level.cutoff = 1;
  answer.route_level.cutoff = 1;
  tested.on_answer(first, 0, answer, begin, actions);
  endpoints.front()->ejected_until = begin + std::chrono::seconds(30);

  tested.forget_reports();
  const outbound_call_ptr later = make_call(never, true);
  tested.start(later, begin, actions);
  BOOST_TEST(later->attempts.size() == 1U);
  BOOST_TEST((tested.level_of("s", "GET /a", begin) == admit_all_level));
}

// After a pause of the process, expired calls are completed before any late answer is handled.
BOOST_FIXTURE_TEST_CASE(expired_calls_complete_before_late_answers, fixture) {
  tested.set_endpoints("s", make_endpoints(2));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), false);
  tested.start(call, begin, actions);
  tested.on_tick(begin + std::chrono::seconds(30), actions);
  BOOST_REQUIRE(find(sender_action::kind::complete) != nullptr);
  BOOST_TEST((find(sender_action::kind::complete)->outcome == call_outcome::unknown));
  // The late answer has no effect.
  const std::size_t seen = actions.size();
  tested.on_answer(call, 0, make_answer(call_outcome::ok), begin + std::chrono::seconds(30), actions);
  BOOST_TEST(actions.size() == seen);
}

BOOST_FIXTURE_TEST_CASE(calls_stay_in_the_region_while_it_has_a_usable_endpoint, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  for (int i = 0; i < 100; ++i) {
    const outbound_call_ptr call = make_call(never, true);
    tested.start(call, begin, actions);
    BOOST_TEST(call->attempts.front().to == endpoints.at(0));
    tested.on_answer(call, 0, make_answer(call_outcome::ok), begin, actions);
  }
  endpoints.at(0)->reported_leaving = true;
  const outbound_call_ptr call = make_call(never, true);
  tested.start(call, begin, actions);
  BOOST_TEST(call->attempts.front().to == endpoints.at(1));
}

// Guards against a hedge that sends a call to a second target although its route allows only one attempt.
BOOST_FIXTURE_TEST_CASE(a_hedge_does_not_exceed_the_attempt_limit, fixture) {
  tested.set_endpoints("s", make_endpoints(3));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(5), true);
  call->max_attempts = 1;
  tested.start(call, begin, actions);
  tested.on_tick(begin + std::chrono::seconds(4), actions);
  BOOST_TEST(call->attempts.size() == 1U);
}

// A call that a node refuses has not reached its target, so that further nodes may be asked without a token.
BOOST_FIXTURE_TEST_CASE(a_refusal_by_a_node_counts_neither_as_an_attempt_nor_as_a_retry, fixture) {
  tested.set_endpoints("s", make_endpoints(3));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(5), false);
  call->max_attempts = 1;
  call->token_pool = retry_token_pool_ptr(new retry_token_pool(0));
  tested.start(call, begin, actions);
  attempt_answer refused = make_answer(call_outcome::not_run, call_reason::queue_full);
  refused.reached_target = false;
  tested.on_answer(call, 0, refused, begin, actions);
  BOOST_REQUIRE(call->attempts.size() == 2U);
  tested.on_answer(call, 1, refused, begin, actions);
  BOOST_REQUIRE(call->attempts.size() == 3U);

  // A refusal by the target itself counts as an attempt.
  attempt_answer shed = make_answer(call_outcome::not_run, call_reason::target_refused);
  tested.on_answer(call, 2, shed, begin, actions);
  BOOST_TEST(call->done);
  BOOST_TEST((actions.back().outcome == call_outcome::not_run));
}

// Guards against a call with little time left that is refused by each endpoint in turn and even sent over the
// link between regions.
BOOST_FIXTURE_TEST_CASE(a_call_with_too_little_time_for_this_region_is_not_sent_to_another, fixture) {
  std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  const outbound_call_ptr call = make_call(begin + std::chrono::milliseconds(100), true);
  tested.start(call, begin, actions);
  attempt_answer refused = make_answer(call_outcome::not_run, call_reason::deadline);
  refused.reached_target = false;
  tested.on_answer(call, 0, refused, begin, actions);
  BOOST_TEST(call->done);
  BOOST_TEST(call->attempts.size() == 1U);
  BOOST_TEST((actions.back().outcome == call_outcome::not_run));
}

// Guards against a stopped process that is never ejected, because each call to it is completed by the answer
// to its hedge.
BOOST_FIXTURE_TEST_CASE(a_silent_endpoint_is_ejected_when_hedges_are_answered, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  tested.set_endpoints("s", endpoints);
  time_point now = begin;
  for (int i = 0; i < 200; ++i) {
    const outbound_call_ptr call = make_call(now + std::chrono::seconds(1), true);
    sender_actions made;
    tested.start(call, now, made);
    if (call->attempts.front().to == endpoints.at(0)) {
      now += std::chrono::milliseconds(500);
      tested.on_tick(now, made);
      BOOST_REQUIRE(call->attempts.size() == 2U);
    }
    now += std::chrono::milliseconds(5);
    tested.on_answer(call, call->attempts.size() - 1, make_answer(call_outcome::ok), now, made);
    if (now < endpoints.at(0)->ejected_until) {
      return;
    }
  }
  BOOST_FAIL("never ejected");
}

// The endpoint of this region is overloaded and the one of the other region is idle. Calls go to the other
// region until the link budget for them and their answers is used up, and stay in this region after that.
BOOST_AUTO_TEST_CASE(calls_go_to_the_other_region_by_expected_latency_within_the_link_budget) {
  sender_settings settings;
  settings.routing = routing_kind::least_time;
  settings.score.cross_region_balancing = true;
  settings.link = {0, 10'000, 0};
  random_source random(1);
  sender tested(settings, random);
  std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  int crossed = 0;
  for (int i = 0; i < 20; ++i) {
    endpoints.at(0)->reported_load = 3;
    endpoints.at(0)->load_reported_at = begin;
    const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), true);
    call->size = 500;
    sender_actions actions;
    tested.start(call, begin, actions);
    BOOST_REQUIRE(!call->done);
    crossed += call->attempts.front().to == endpoints.at(1) ? 1 : 0;
    attempt_answer answer = make_answer(call_outcome::ok);
    answer.size = 1'500;
    tested.on_answer(call, 0, answer, begin + std::chrono::milliseconds(1), actions);
  }
  // Each call takes 2,000 bytes of the budget, except the first: the size of its answer is a default.
  BOOST_TEST(crossed >= 5);
  BOOST_TEST(crossed <= 6);
}

BOOST_AUTO_TEST_CASE(the_link_budget_reserves_bytes_for_orders) {
  byte_bucket link({1'000, 1'000, 0.3});
  BOOST_TEST(link.withdraw(600, call_class::browse, begin));
  BOOST_TEST(!link.withdraw(200, call_class::browse, begin));
  BOOST_TEST(link.withdraw(200, call_class::order, begin));
}

BOOST_AUTO_TEST_CASE(an_ejected_endpoint_is_used_when_the_link_budget_is_empty) {
  sender_settings settings;
  settings.link = {0, 0, 0};
  random_source random(7);
  sender tested(settings, random);
  std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(0)->ejected_until = begin + std::chrono::seconds(1);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), true);
  sender_actions actions;
  tested.start(call, begin, actions);
  BOOST_REQUIRE(actions.front().what == sender_action::kind::send);
  BOOST_TEST(call->attempts.front().to.get() == endpoints.at(0).get());
}

BOOST_AUTO_TEST_CASE(calls_carry_the_rate_that_answers_of_their_endpoint_have_named) {
  fixture used;
  used.tested.set_endpoints("s", make_endpoints(1));
  const outbound_call_ptr first = make_call(begin + std::chrono::seconds(1), true);
  used.tested.start(first, begin, used.actions);
  BOOST_TEST(!used.actions.back().context.known_target_rate);
  attempt_answer answer = make_answer(call_outcome::ok);
  answer.report->rate = target_rate{34, std::chrono::milliseconds(200)};
  used.tested.on_answer(first, 0, answer, begin, used.actions);

  const time_point later = begin + std::chrono::seconds(1);
  used.tested.start(make_call(later + std::chrono::seconds(1), true), later, used.actions);
  BOOST_REQUIRE(used.actions.back().context.known_target_rate.has_value());
  BOOST_TEST(used.actions.back().context.known_target_rate->per_second == 34);
  BOOST_TEST((used.actions.back().context.known_target_rate->age == std::chrono::milliseconds(1200)));
}

BOOST_AUTO_TEST_CASE(an_unused_idle_endpoint_does_not_affect_the_level_of_a_route) {
  sender_settings settings;
  settings.link = {0, 0, 0};
  random_source random(7);
  sender tested(settings, random);
  std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  for (int i = 0; i < 50; ++i) {
    const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), true);
    call->context.inner = true;
    sender_actions actions;
    tested.start(call, begin, actions);
    attempt_answer answer = make_answer(call_outcome::ok);
    answer.report->level = {70};
    tested.on_answer(call, 0, answer, begin, actions);
  }
  BOOST_TEST(tested.level_of("s", "GET /a", begin).cutoff == 70);
}

// A node that has just started answers that it can't tell yet.
BOOST_FIXTURE_TEST_CASE(a_route_stays_inner_while_some_answers_tell_so, fixture) {
  tested.set_endpoints("s", make_endpoints(2));
  BOOST_TEST(!tested.is_inner_route("s", "GET /a", begin));
  for (const bool is_inner : {true, false}) {
    const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), true);
    tested.start(call, begin, actions);
    attempt_answer answer = make_answer(call_outcome::ok);
    answer.is_inner_route = is_inner;
    tested.on_answer(call, 0, answer, begin, actions);
    BOOST_TEST(tested.is_inner_route("s", "GET /a", begin + std::chrono::seconds(9)));
  }
  BOOST_TEST(!tested.is_inner_route("s", "GET /a", begin + std::chrono::seconds(11)));
  BOOST_TEST(!tested.is_inner_route("s", "GET /b", begin));
  BOOST_TEST(!tested.is_inner_route("other", "GET /a", begin));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
