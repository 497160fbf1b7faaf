#include "nutmegarch/policy/request_rate_limiter.h"

#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point begin{seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(request_rate_limiter_decisions)

RC_BOOST_PROP(calls_in_any_window_stay_within_the_rate_and_a_burst, ()) {
  const double rate = *rc::gen::inRange(1, 2'000) / 4.0;
  const std::vector<int> gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  request_rate_settings settings;
  request_rate_limiter tested(settings);
  time_point now = begin;
  tested.on_named(rate, now);
  std::vector<time_point> sent;
  for (const int gap : gaps) {
    now += milliseconds(gap);
    while (tested.has_token(now)) {
      tested.on_sent(now);
      sent.push_back(now);
    }
  }
  const double burst = 1 + rate * to_seconds(settings.burst);
  for (std::size_t first = 0; first < sent.size(); ++first) {
    for (std::size_t last = first; last < sent.size(); ++last) {
      const double allowed = burst + rate * to_seconds(sent.at(last) - sent.at(first));
      RC_ASSERT(static_cast<double>(last - first + 1) <= allowed + 1e-6);
    }
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_limited_before_a_rate_is_named) {
  request_rate_limiter tested;
  for (int i = 0; i < 1'000; ++i) {
    BOOST_TEST(tested.has_token(begin));
    tested.on_sent(begin);
  }
  BOOST_TEST(!tested.rate());
  BOOST_TEST(!tested.report(begin));
  BOOST_TEST((tested.time_for(1'000, begin) == duration{}));
}

BOOST_AUTO_TEST_CASE(only_an_answer_to_a_call_sent_after_the_last_naming_ends_the_limit) {
  request_rate_limiter tested;
  BOOST_TEST((tested.on_named(34, begin) == rate_change::begun));
  BOOST_TEST((tested.on_named(34, begin + seconds(1)) == rate_change::none));
  BOOST_TEST((tested.on_named(17, begin + seconds(2)) == rate_change::changed));
  BOOST_TEST((tested.on_not_named(begin + seconds(1)) == rate_change::none));
  BOOST_TEST((tested.on_not_named(begin + seconds(2)) == rate_change::none));
  BOOST_TEST(*tested.rate() == 17);
  BOOST_TEST((tested.on_not_named(begin + seconds(2) + milliseconds(1)) == rate_change::ended));
  BOOST_TEST(!tested.rate());
}

BOOST_AUTO_TEST_CASE(a_target_that_takes_none_is_asked_rarely) {
  request_rate_limiter tested;
  tested.on_named(0, begin);
  int sent = 0;
  for (time_point now = begin; now < begin + seconds(40); now += milliseconds(10)) {
    if (tested.has_token(now)) {
      tested.on_sent(now);
      ++sent;
    }
  }
  BOOST_TEST(sent >= 8);
  BOOST_TEST(sent <= 11);
}

BOOST_AUTO_TEST_CASE(the_freshest_rate_of_peers_counts_until_the_first_own_answer) {
  request_rate_limiter tested;
  BOOST_TEST((tested.on_peer_rate({50, std::chrono::hours(1)}, begin) == rate_change::none));
  BOOST_TEST((tested.on_peer_rate({34, seconds(2)}, begin) == rate_change::adopted));
  BOOST_TEST((tested.on_peer_rate({68, seconds(3)}, begin) == rate_change::none));
  BOOST_TEST((tested.on_peer_rate({17, seconds(1)}, begin) == rate_change::changed));
  BOOST_TEST((tested.report(begin)->age == seconds(1)));
  BOOST_TEST((tested.on_not_named(begin) == rate_change::ended));
  BOOST_TEST((tested.on_peer_rate({17, duration{}}, begin + seconds(1)) == rate_change::none));
  BOOST_TEST(!tested.rate());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
