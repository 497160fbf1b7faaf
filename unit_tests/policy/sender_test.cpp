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
    made->joined = time_point(std::chrono::nanoseconds(1));
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

// One call over attempts that end in every way, with events in any order: it is completed once, and "not run"
// is said only when no attempt can ever have reached a target.
RC_BOOST_PROP(not_run_is_true_and_each_call_completes_once, ()) {
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
  // An attempt that is open, or that ended without a word, may have run.
  std::vector<bool> may_have_run;
  std::size_t seen = 0;
  int completions = 0;
  call_outcome told = call_outcome::ok;
  bool home_sealed = false;
  const std::function<void()> drain = [&]() {
    for (; seen < actions.size(); ++seen) {
      const sender_action& action = actions.at(seen);
      if (action.what == sender_action::kind::send) {
        may_have_run.push_back(true);
      }
      if (action.what == sender_action::kind::complete) {
        ++completions;
        told = action.outcome;
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
      // Refused by the node; the home of a ticket seals it before it says so.
      may_have_run.at(index) = false;
      home_sealed = true;
      tested.on_answer(call, index, make_answer(call_outcome::not_run, call_reason::queue_full), now,
                       actions);
    } else if (step.first == 2 && is_open) {
      // No connection came about, so nothing was written.
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
      tested.on_time(now, actions);
    }
    drain();
  }
  now += std::chrono::seconds(5);
  tested.on_time(now, actions);
  drain();
  RC_ASSERT(completions == 1);
  if (told == call_outcome::not_run && !is_order) {
    RC_ASSERT(std::count(may_have_run.begin(), may_have_run.end(), true) == 0);
  }
  if (told == call_outcome::not_run && is_order) {
    // Copies of the order may be under way by other nodes. Only the home, which seals the ticket, may say so.
    RC_ASSERT(home_sealed);
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
  endpoints.at(0)->said_leaving = true;
  for (int i = 0; i < 50; ++i) {
    const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), true);
    tested.start(call, begin, actions);
    BOOST_TEST(call->attempts.front().to == endpoints.at(1));
  }
}

BOOST_FIXTURE_TEST_CASE(ejection_leaves_half_of_the_endpoints_in, fixture) {
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

BOOST_FIXTURE_TEST_CASE(after_a_pause_what_answers_said_counts_no_more, fixture) {
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

// A pause of any length: what waited is dropped by its deadline before anything is started.
BOOST_FIXTURE_TEST_CASE(a_late_wake_up_tells_of_deadlines_first, fixture) {
  tested.set_endpoints("s", make_endpoints(2));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(1), false);
  tested.start(call, begin, actions);
  tested.on_time(begin + std::chrono::seconds(30), actions);
  BOOST_REQUIRE(find(sender_action::kind::complete) != nullptr);
  BOOST_TEST((find(sender_action::kind::complete)->outcome == call_outcome::unknown));
  // The answer of before the pause comes late, and changes nothing.
  const std::size_t seen = actions.size();
  tested.on_answer(call, 0, make_answer(call_outcome::ok), begin + std::chrono::seconds(30), actions);
  BOOST_TEST(actions.size() == seen);
}

BOOST_FIXTURE_TEST_CASE(calls_stay_in_the_region_while_it_has_a_target, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  for (int i = 0; i < 100; ++i) {
    const outbound_call_ptr call = make_call(never, true);
    tested.start(call, begin, actions);
    BOOST_TEST(call->attempts.front().to == endpoints.at(0));
    tested.on_answer(call, 0, make_answer(call_outcome::ok), begin, actions);
  }
  endpoints.at(0)->said_leaving = true;
  const outbound_call_ptr call = make_call(never, true);
  tested.start(call, begin, actions);
  BOOST_TEST(call->attempts.front().to == endpoints.at(1));
}

// Found on the platform: a hedge took a call to a second target though its route allows one.
BOOST_FIXTURE_TEST_CASE(a_hedge_does_not_take_a_call_to_more_targets_than_allowed, fixture) {
  tested.set_endpoints("s", make_endpoints(3));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(5), true);
  call->most_attempts = 1;
  tested.start(call, begin, actions);
  tested.on_time(begin + std::chrono::seconds(4), actions);
  BOOST_TEST(call->attempts.size() == 1U);
}

// A node that refuses a call has not let it reach its target: others may be asked, and that is free.
BOOST_FIXTURE_TEST_CASE(a_refusal_between_nodes_counts_neither_as_an_attempt_nor_as_a_retry, fixture) {
  tested.set_endpoints("s", make_endpoints(3));
  const outbound_call_ptr call = make_call(begin + std::chrono::seconds(5), false);
  call->most_attempts = 1;
  call->ledger = retry_ledger_ptr(new retry_ledger(0));
  tested.start(call, begin, actions);
  attempt_answer refused = make_answer(call_outcome::not_run, call_reason::queue_full);
  refused.reached_target = false;
  tested.on_answer(call, 0, refused, begin, actions);
  BOOST_REQUIRE(call->attempts.size() == 2U);
  tested.on_answer(call, 1, refused, begin, actions);
  BOOST_REQUIRE(call->attempts.size() == 3U);

  // A target that has refused it has been reached.
  attempt_answer shed = make_answer(call_outcome::not_run, call_reason::target_refused);
  tested.on_answer(call, 2, shed, begin, actions);
  BOOST_TEST(call->done);
  BOOST_TEST((actions.back().outcome == call_outcome::not_run));
}

// Found on the platform: a call with little time left was refused by each endpoint in turn, over the link
// between regions, too.
BOOST_FIXTURE_TEST_CASE(a_call_that_came_too_late_for_near_endpoints_is_not_sent_further_away, fixture) {
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

// Found by stopping a process: each hedge hid the silent endpoint, until the hedges were used up.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_only_hedges_answer_for_is_ejected, fixture) {
  const std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  tested.set_endpoints("s", endpoints);
  time_point now = begin;
  for (int i = 0; i < 200; ++i) {
    const outbound_call_ptr call = make_call(now + std::chrono::seconds(1), true);
    sender_actions made;
    tested.start(call, now, made);
    if (call->attempts.front().to == endpoints.at(0)) {
      now += std::chrono::milliseconds(500);
      tested.on_time(now, made);
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

// The near endpoint is crowded and the one of the other region is not: calls go there as far as the link's
// budget for them and their answers goes, and stay near beyond it.
BOOST_AUTO_TEST_CASE(calls_go_to_the_other_region_by_expected_time_within_the_links_budget) {
  sender_settings settings;
  settings.routing = routing_kind::least_time;
  settings.score.compares_regions = true;
  settings.link = {0, 10'000, 0};
  random_source random(1);
  sender tested(settings, random);
  std::vector<endpoint_ptr> endpoints = make_endpoints(2);
  endpoints.at(1)->distance = proximity::other_region;
  tested.set_endpoints("s", endpoints);
  int crossed = 0;
  for (int i = 0; i < 20; ++i) {
    endpoints.at(0)->carried_load = 3;
    endpoints.at(0)->carried_at = begin;
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
  // 2,000 bytes a call, but for the first: before its answer the size of answers is only assumed.
  BOOST_TEST(crossed >= 5);
  BOOST_TEST(crossed <= 6);
}

BOOST_AUTO_TEST_CASE(the_link_keeps_room_for_orders) {
  byte_bucket link({1'000, 1'000, 0.3});
  BOOST_TEST(link.withdraw(600, call_class::browse, begin));
  BOOST_TEST(!link.withdraw(200, call_class::browse, begin));
  BOOST_TEST(link.withdraw(200, call_class::order, begin));
}

BOOST_AUTO_TEST_CASE(a_stalled_near_endpoint_is_used_when_the_link_has_no_room) {
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

BOOST_AUTO_TEST_CASE(an_idle_endpoint_that_calls_do_not_reach_does_not_hide_that_the_others_shed) {
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
