#include "nutmegarch/policy/crash_suspects.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::policy {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};
constexpr duration step = std::chrono::milliseconds(10);
constexpr std::size_t capacity = 8;
const std::vector<std::uint64_t> no_fingerprints;

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_suspects_of_a_target)

BOOST_AUTO_TEST_CASE(no_call_is_blamed_when_the_target_is_reachable) {
  crash_suspects suspects(capacity);
  BOOST_TEST(!suspects.begin_check(begin));
  suspects.on_connection_lost(7, begin);
  BOOST_TEST(suspects.begin_check(begin));
  BOOST_TEST(suspects.on_check_done(true) == no_fingerprints);
  BOOST_TEST(!suspects.begin_check(begin + step));
}

BOOST_AUTO_TEST_CASE(a_check_does_not_clear_calls_that_were_lost_after_it_began) {
  crash_suspects suspects(capacity);
  suspects.on_connection_lost(7, begin);
  BOOST_TEST(suspects.begin_check(begin));
  suspects.on_connection_lost(8, begin + step);
  BOOST_TEST(!suspects.begin_check(begin + step));
  BOOST_TEST(suspects.on_check_done(true) == no_fingerprints);
  BOOST_TEST(suspects.begin_check(begin + 2 * step));
  BOOST_TEST(suspects.on_check_done(false) == std::vector<std::uint64_t>{8});
}

BOOST_AUTO_TEST_CASE(all_lost_calls_are_blamed_when_the_target_is_unreachable) {
  crash_suspects suspects(capacity);
  suspects.on_connection_lost(7, begin);
  suspects.on_connection_lost(8, begin);
  const std::vector<std::uint64_t> both = {7, 8};
  BOOST_TEST(suspects.begin_check(begin));
  BOOST_TEST(suspects.on_check_done(false) == both);
  BOOST_TEST(!suspects.begin_check(begin + step));
}

BOOST_AUTO_TEST_CASE(the_table_is_bounded) {
  crash_suspects suspects(capacity);
  for (std::uint64_t fingerprint = 0; fingerprint < 2 * capacity; ++fingerprint) {
    suspects.on_connection_lost(fingerprint, begin);
  }
  BOOST_TEST(suspects.begin_check(begin));
  BOOST_TEST(suspects.on_check_done(false).size() == capacity);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
