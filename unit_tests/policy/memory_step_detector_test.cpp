#include "nutmegarch/policy/memory_step_detector.h"

#include <cstdint>

#include <boost/test/unit_test.hpp>

namespace nutmegarch::policy {

namespace {

constexpr std::size_t megabyte = 1U << 20U;

}  // namespace

BOOST_AUTO_TEST_SUITE(memory_steps)

BOOST_AUTO_TEST_CASE(each_step_is_reported_once_while_the_memory_grows) {
  memory_step_detector detector;
  int reports = 0;
  for (std::size_t size = 1; size <= 1'000; ++size) {
    reports += detector.update(size * megabyte) ? 1 : 0;
    reports += detector.update(size * megabyte) ? 1 : 0;
  }
  // 32, 64, 128, 256, 512.
  BOOST_TEST(reports == 5);
}

BOOST_AUTO_TEST_CASE(jump_over_steps_reports_the_highest) {
  memory_step_detector detector;
  BOOST_TEST(!detector.update(31 * megabyte));
  BOOST_TEST(detector.update(200 * megabyte).value_or(0) == 128 * megabyte);
  BOOST_TEST(!detector.update(200 * megabyte));
}

BOOST_AUTO_TEST_CASE(memory_that_swings_around_a_step_is_reported_once) {
  memory_step_detector detector;
  int reports = 0;
  for (int i = 0; i < 100; ++i) {
    reports += detector.update(66 * megabyte) ? 1 : 0;
    reports += detector.update(50 * megabyte) ? 1 : 0;
  }
  BOOST_TEST(reports == 1);
  BOOST_TEST(!detector.update(20 * megabyte));
  BOOST_TEST(detector.update(64 * megabyte).value_or(0) == 64 * megabyte);
}

BOOST_AUTO_TEST_CASE(sizes_near_the_largest_number_end) {
  memory_step_detector detector;
  BOOST_TEST(detector.update(SIZE_MAX).has_value());
  BOOST_TEST(!detector.update(SIZE_MAX));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
