#include "nutmegarch/policy/buffer_budget.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::policy {

BOOST_AUTO_TEST_SUITE(buffer_budgets)

// The load: many callers that hold as much as they may, and move no further.
BOOST_AUTO_TEST_CASE(first_of_equals_is_evicted) {
  buffer_budget budget({100, 1});
  BOOST_TEST(!budget.update(1, 40, true));
  BOOST_TEST(!budget.update(2, 40, true));
  BOOST_TEST((budget.update(3, 40, true) == 1U));
  BOOST_TEST(budget.total() == 80U);
}

BOOST_AUTO_TEST_CASE(what_is_pinned_takes_room_and_is_never_evicted) {
  buffer_budget budget({100, 1});
  budget.add_pinned(90);
  BOOST_TEST((budget.update(1, 20, true) == 1U));
  BOOST_TEST(budget.total() == 90U);
  budget.add_pinned(-90);
  BOOST_TEST(!budget.update(1, 20, true));
}

BOOST_AUTO_TEST_CASE(more_than_the_limit_may_be_pinned) {
  buffer_budget budget({100, 1});
  BOOST_TEST(!budget.update(1, 10, false));
  BOOST_TEST(!budget.update(2, 10, false));
  budget.add_pinned(150);
  BOOST_TEST((budget.update(2, 11, false) == 2U));
  BOOST_TEST((budget.update(1, 10, false) == 1U));
  BOOST_TEST(budget.total() == 150U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
