#include "nutmegarch/policy/stop_schedule.h"

#include <boost/test/unit_test.hpp>

#include "nutmegarch/core/random.h"

namespace nutmegarch::policy {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point begin{seconds(100)};
constexpr stop_settings six_seconds{milliseconds(2500), seconds(6)};

}  // namespace

BOOST_AUTO_TEST_SUITE(planned_stops)

BOOST_AUTO_TEST_CASE(every_request_may_begin_before_the_stop_and_in_the_time_of_notice) {
  stop_schedule tested(six_seconds);
  BOOST_TEST(tested.may_begin(begin + seconds(60), false, begin));
  BOOST_TEST(tested.may_begin(never, false, begin));
  tested.start(begin);
  BOOST_TEST(tested.may_begin(begin + seconds(60), false, begin + milliseconds(2499)));
}

BOOST_AUTO_TEST_CASE(only_requests_that_end_in_time_begin_later) {
  stop_schedule tested(six_seconds);
  tested.start(begin);
  const time_point late = begin + seconds(4);
  BOOST_TEST(tested.may_begin(late + seconds(1), false, late));
  BOOST_TEST(!tested.may_begin(late + seconds(2), false, late));
  BOOST_TEST(!tested.may_begin(never, false, late));
  BOOST_TEST(tested.may_begin(late + seconds(2), true, late));
}

BOOST_AUTO_TEST_CASE(a_second_signal_does_not_prolong_the_stop) {
  stop_schedule tested(six_seconds);
  tested.start(begin);
  const time_point end = tested.end();
  tested.start(begin + seconds(3));
  BOOST_TEST((tested.end() == end));
  BOOST_TEST((end < begin + six_seconds.limit));
}

// Callers keep sending through the whole stop, as when too few other hosts take requests. Whatever is begun
// after the notice must end before the process does.
BOOST_AUTO_TEST_CASE(no_request_that_begins_late_is_cut_off) {
  stop_schedule tested(six_seconds);
  random_source random(5);
  tested.start(begin);
  int refused = 0;
  int cut_off = 0;
  for (time_point now = begin + six_seconds.notice; now < begin + six_seconds.limit; now += milliseconds(5)) {
    const duration timeout = milliseconds(100 + static_cast<int>(random.below(5000)));
    if (!tested.may_begin(now + timeout, false, now)) {
      ++refused;
      continue;
    }
    cut_off += now + timeout > tested.end() ? 1 : 0;
  }
  BOOST_TEST(cut_off == 0);
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
