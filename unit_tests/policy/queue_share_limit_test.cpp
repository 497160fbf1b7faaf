#include "nutmegarch/policy/queue_share_limit.h"

#include <cstdint>

#include <boost/test/unit_test.hpp>

namespace nutmegarch::policy {

BOOST_AUTO_TEST_SUITE(queue_share_limits)

BOOST_AUTO_TEST_CASE(one_queue_takes_half_of_the_budget_and_leaves_room_for_others) {
  const queue_share_limit limit({1'000});
  std::size_t queue = 0;
  while (limit.may_add(queue, queue, 10)) {
    queue += 10;
  }
  BOOST_TEST(queue == 500U);
  BOOST_TEST(limit.may_add(0, queue, 10));
}

BOOST_AUTO_TEST_CASE(many_queues_never_exceed_the_budget) {
  const queue_share_limit limit({1'000});
  std::size_t total = 0;
  for (int round = 0; round < 100; ++round) {
    total += limit.may_add(0, total, 90) ? 90 : 0;
  }
  BOOST_TEST(total == 990U);
}

BOOST_AUTO_TEST_CASE(large_message_joins_an_empty_queue_while_it_fits) {
  const queue_share_limit limit({1'000});
  BOOST_TEST(limit.may_add(0, 1, 999));
  BOOST_TEST(!limit.may_add(0, 1, 1'000));
  BOOST_TEST(!limit.may_add(10, 10, 600));
  BOOST_TEST(!limit.may_add(0, 400, 601));
  BOOST_TEST(!limit.may_add(0, 2'000, 1));
}

BOOST_AUTO_TEST_CASE(message_larger_than_the_budget_passes_while_nothing_waits) {
  const queue_share_limit limit({1'000});
  BOOST_TEST(limit.may_add(0, 0, 5'000));
  BOOST_TEST(!limit.may_add(0, 10, 5'000));
}

BOOST_AUTO_TEST_CASE(sizes_near_the_largest_number_are_refused) {
  const queue_share_limit limit({1'000});
  BOOST_TEST(!limit.may_add(SIZE_MAX, SIZE_MAX, 1));
  BOOST_TEST(!limit.may_add(10, 10, SIZE_MAX));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
