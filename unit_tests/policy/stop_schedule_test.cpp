#include "nutmegarch/policy/stop_schedule.h"

#include <optional>

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
  BOOST_TEST((tested.admit(begin + seconds(60), false, begin) == begin + seconds(60)));
  BOOST_TEST((tested.admit(never, false, begin) == never));
  tested.start(begin);
  BOOST_TEST((tested.admit(begin + seconds(60), false, begin + milliseconds(2499)) == begin + seconds(60)));
}

BOOST_AUTO_TEST_CASE(only_requests_that_end_in_time_begin_later) {
  stop_schedule tested(six_seconds);
  tested.start(begin);
  const time_point late = begin + seconds(4);
  BOOST_TEST((tested.admit(late + seconds(1), false, late) == late + seconds(1)));
  BOOST_TEST(!tested.admit(late + seconds(2), false, late));
  BOOST_TEST(!tested.admit(never, false, late));
}

// Guards against calls of the local target that are begun late and cut off.
BOOST_AUTO_TEST_CASE(late_calls_of_a_running_call_begin_with_a_deadline_in_time) {
  stop_schedule tested(six_seconds);
  tested.start(begin);
  const time_point late = begin + seconds(4);
  BOOST_TEST((tested.admit(late + milliseconds(500), true, late) == late + milliseconds(500)));
  BOOST_TEST((tested.admit(late + seconds(2), true, late) == tested.answers_due()));
  BOOST_TEST((tested.admit(never, true, late) == tested.answers_due()));
  BOOST_TEST(!tested.admit(never, true, tested.answers_due()));
  BOOST_TEST((tested.answers_due() < tested.abort_at()));
  BOOST_TEST((tested.abort_at() < tested.end()));
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
    const bool has_running_parent = random.below(4) == 0;
    const std::optional<time_point> deadline = tested.admit(now + timeout, has_running_parent, now);
    if (!deadline) {
      ++refused;
      continue;
    }
    cut_off += *deadline > tested.answers_due() ? 1 : 0;
  }
  BOOST_TEST(cut_off == 0);
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
