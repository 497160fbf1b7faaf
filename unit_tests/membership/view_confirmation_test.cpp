#include "nutmegarch/membership/view_confirmation.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::membership {

namespace {

using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

struct fixture {
  fixture() { view.on_start(start); }

  view_confirmation_settings settings;
  view_confirmation view{settings};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(view_confirmation_test)

BOOST_FIXTURE_TEST_CASE(view_is_used_once_the_store_has_confirmed_it, fixture) {
  BOOST_TEST(!view.may_serve(start));
  BOOST_TEST(!view.is_confirmed(start));
  view.on_store_answer(start + milliseconds(4));
  BOOST_TEST(view.may_serve(start + milliseconds(4)));
  BOOST_TEST(view.is_confirmed(start + milliseconds(4)));
  BOOST_TEST(view.is_confirmed_by_store());
}

BOOST_FIXTURE_TEST_CASE(view_without_confirmation_is_used_after_the_longest_refusal_but_denies_nothing,
                        fixture) {
  const time_point end = start + settings.max_refusal;
  BOOST_TEST(!view.may_serve(end - milliseconds(1)));
  BOOST_TEST(view.may_serve(end));
  BOOST_TEST(!view.is_confirmed(end));
}

BOOST_FIXTURE_TEST_CASE(peer_confirms_a_first_view_only_if_the_store_has_not_answered_in_time, fixture) {
  view.on_peer_view(start + settings.store_patience - milliseconds(1));
  BOOST_TEST(!view.may_serve(start + settings.store_patience));
  BOOST_TEST(!view.is_confirmed(start + settings.store_patience));
  view.on_peer_view(start + settings.store_patience);
  BOOST_TEST(view.may_serve(start + settings.store_patience));
  BOOST_TEST(view.is_confirmed(start + settings.store_patience));
  // Confirmations are not passed on from peer to peer, which could keep an old view alive.
  BOOST_TEST(!view.is_confirmed_by_store());
}

BOOST_FIXTURE_TEST_CASE(confirmation_by_a_peer_ends_and_the_view_stays_in_use, fixture) {
  const time_point confirmed = start + settings.store_patience;
  view.on_peer_view(confirmed);
  const time_point end = confirmed + settings.peer_validity;
  BOOST_TEST(view.is_confirmed(end - milliseconds(1)));
  BOOST_TEST(!view.is_confirmed(end));
  BOOST_TEST(view.may_serve(end));
}

// A node whose reads fail may have missed a route that the store has acknowledged to others.
BOOST_FIXTURE_TEST_CASE(view_denies_nothing_while_the_store_fails_and_no_peer_confirms_it, fixture) {
  view.on_store_answer(start);
  view.on_store_doubtful();
  BOOST_TEST(!view.is_confirmed(start));
  BOOST_TEST(view.may_serve(start));
  view.on_peer_view(start);
  BOOST_TEST(view.is_confirmed(start));
  view.on_store_answer(start + settings.peer_validity);
  BOOST_TEST(view.is_confirmed(start + std::chrono::hours(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::membership
