#include "nutmegarch/membership/published_state.h"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/membership/published_reader.h"

namespace nutmegarch::membership {

namespace {

constexpr time_point start{std::chrono::seconds(100)};

/// A position in the era of most tests.
constexpr store_position at(std::uint64_t revision) { return {1, revision}; }

published_item entry(const std::string& key, std::uint64_t revision, const std::string& value = "v") {
  return {key, value, at(revision), false};
}

published_item removal(const std::string& key, std::uint64_t revision) {
  return {key, "", at(revision), true};
}

struct fixture {
  published_state state{published_state_settings{}};
  random_source random{1};
  published_reader reader{published_reader_settings{}, state, random};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(published_states)

BOOST_AUTO_TEST_CASE(an_entry_is_never_replaced_by_an_older_one) {
  published_state state{published_state_settings{}};
  BOOST_TEST(state.replace({entry("a", 5, "new")}, at(7), start));
  BOOST_TEST(!state.apply({entry("a", 4, "old")}, at(7), start));
  BOOST_TEST(state.items().at("a").value == "new");

  // A listing that is older than the state neither changes nor removes an entry.
  BOOST_TEST(!state.replace({}, at(6), start));
  BOOST_TEST(!state.merge({entry("b", 3)}, at(6), start));
  BOOST_TEST(state.items().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_entry_is_not_restored_by_an_older_revision) {
  published_state state{published_state_settings{}};
  state.replace({entry("a", 5)}, at(5), start);
  BOOST_TEST(state.apply({removal("a", 6)}, at(6), start));
  BOOST_TEST(!state.apply({entry("a", 5)}, at(6), start));
  BOOST_TEST(state.items().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_expired_while_the_store_was_unreachable_stays_for_the_grace_period) {
  published_state state{published_state_settings{}};
  state.replace({entry("back", 1), entry("gone", 2)}, at(2), start);
  state.on_store_recovered(start);
  state.apply({removal("back", 3), removal("gone", 4)}, at(4), start);
  BOOST_TEST(state.items().size() == 2U);
  state.apply({entry("back", 5)}, at(5), start + std::chrono::seconds(1));
  BOOST_TEST(!state.on_tick(start + std::chrono::milliseconds(1999)));
  BOOST_TEST(state.on_tick(start + std::chrono::seconds(2)));
  BOOST_TEST(state.items().count("back") == 1U);
  BOOST_TEST(state.items().count("gone") == 0U);
}

BOOST_AUTO_TEST_CASE(without_an_outage_a_removal_takes_effect_at_once) {
  published_state state{published_state_settings{}};
  state.replace({entry("a", 1)}, at(1), start);
  BOOST_TEST(state.apply({removal("a", 2)}, at(2), start));
  BOOST_TEST(state.items().empty());
}

BOOST_FIXTURE_TEST_CASE(pages_are_joined_and_changes_are_watched_from_the_lowest_revision_of_a_page,
                        fixture) {
  BOOST_TEST((reader.next(start).what == store_request::kind::read_page));
  BOOST_TEST((reader.next(start).what == store_request::kind::none));
  reader.on_page({entry("a", 3)}, "a", at(10), start);
  const store_request second = reader.next(start);
  BOOST_TEST((second.what == store_request::kind::read_page));
  BOOST_TEST(second.after_key == "a");
  BOOST_TEST(reader.on_page({entry("b", 11)}, "", at(12), start));
  const store_request watch = reader.next(start);
  BOOST_TEST((watch.what == store_request::kind::watch));
  BOOST_TEST(watch.position.revision == 10U);

  // "c" was removed before the first page and "a" between the two.
  BOOST_TEST(reader.on_changes({removal("a", 11), entry("b", 11)}, at(12), start));
  BOOST_TEST(state.items().size() == 1U);
  BOOST_TEST(state.items().count("b") == 1U);
}

BOOST_FIXTURE_TEST_CASE(after_a_loss_of_history_the_listing_is_read_again_and_must_not_be_stale, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 3), entry("b", 4)}, "", at(4), start);
  reader.next(start);
  reader.on_history_lost(start);
  // All nodes lose the history at the same moment, and do not ask at the same moment.
  const store_request again = reader.next(start + std::chrono::milliseconds(200));
  BOOST_TEST((again.what == store_request::kind::read_page));
  BOOST_TEST(!again.may_be_stale);
  BOOST_TEST(reader.on_page({entry("a", 3)}, "", at(9), start));
  BOOST_TEST(state.items().count("b") == 0U);
}

// Guards against an old view after a start: the first listing was one that may be some seconds old, and a
// watch that could have corrected it did not return.
BOOST_FIXTURE_TEST_CASE(the_first_listing_is_stale_only_if_the_store_refused_another_one, fixture) {
  BOOST_TEST(!reader.next(start).may_be_stale);
  reader.on_failure(start);
  const time_point later = start + std::chrono::seconds(5);
  BOOST_TEST(reader.next(later).may_be_stale);
  reader.on_page({entry("a", 3)}, "", at(3), later);
  const store_request confirming = reader.next(later);
  BOOST_TEST((confirming.what == store_request::kind::watch));
  BOOST_TEST((confirming.wait < std::chrono::seconds(1)));
  reader.on_changes({}, at(3), later);
  // Later watches wait longer. Their length is random.
  constexpr std::size_t large_fleet = 100;
  reader.set_fleet_size(large_fleet);
  duration longest{};
  for (int i = 0; i < 20; ++i) {
    longest = std::max(longest, reader.next(later).wait);
    reader.on_changes({}, at(3), later);
  }
  BOOST_TEST((longest > published_reader_settings{}.watch / 2));
  BOOST_TEST((longest <= published_reader_settings{}.watch));
}

BOOST_FIXTURE_TEST_CASE(the_pause_grows_with_failures_up_to_its_limit, fixture) {
  const published_reader_settings settings;
  time_point now = start;
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE((reader.next(now).what != store_request::kind::none));
    reader.on_failure(now);
    BOOST_TEST((reader.next(now).what == store_request::kind::none));
    now += settings.longest_pause * 3 / 2;
  }
  // 30 s of failures cause few calls.
  int calls = 0;
  for (duration passed{}; passed < std::chrono::seconds(30); passed += std::chrono::milliseconds(10)) {
    if (reader.next(now + passed).what != store_request::kind::none) {
      ++calls;
      reader.on_failure(now + passed);
    }
  }
  BOOST_TEST(calls <= 16);
}

// After a pause of the process the request in progress is abandoned, but its answer may still arrive. It must
// not be taken for the answer to the next request.
BOOST_FIXTURE_TEST_CASE(an_answer_to_an_abandoned_request_is_recognized, fixture) {
  const store_request first = reader.next(start);
  reader.on_pause();
  BOOST_TEST(!reader.is_open(first));
  const store_request second = reader.next(start);
  BOOST_REQUIRE((second.what == store_request::kind::read_page));
  BOOST_TEST(!reader.is_open(first));
  BOOST_TEST(reader.is_open(second));
}

BOOST_FIXTURE_TEST_CASE(the_grace_period_starts_when_the_store_is_reachable_again, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 1)}, "", at(1), start);
  reader.next(start);
  reader.on_failure(start);
  const time_point back = start + std::chrono::seconds(20);
  BOOST_REQUIRE((reader.next(back).what == store_request::kind::watch));
  reader.on_changes({removal("a", 2)}, at(2), back);
  BOOST_TEST(state.items().count("a") == 1U);
  BOOST_TEST(state.on_tick(back + std::chrono::seconds(2)));
  BOOST_TEST(state.items().empty());
}

BOOST_FIXTURE_TEST_CASE(watch_that_did_not_return_a_change_that_a_peer_knows_is_abandoned, fixture) {
  const duration patience = published_reader_settings{}.silence_patience;
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  const store_request watch = reader.next(start);
  reader.on_peer_change(at(5), start);
  BOOST_TEST(!reader.is_silent(start + std::chrono::hours(1)));

  const time_point told = start + std::chrono::seconds(8);
  reader.on_peer_change(at(6), told);
  // Further changes do not extend the time.
  reader.on_peer_change(at(7), told + patience / 2);
  BOOST_TEST(!reader.is_silent(told + patience - std::chrono::milliseconds(1)));
  BOOST_TEST(reader.is_silent(told + patience));
  reader.on_silence(told + patience);
  BOOST_TEST(!reader.is_open(watch));
  BOOST_TEST(!reader.is_current());
  BOOST_TEST(reader.failures() == 0);
  const store_request again = reader.next(told + patience);
  BOOST_TEST((again.what == store_request::kind::watch));
  BOOST_TEST(again.position.revision == 5U);
  BOOST_TEST((again.wait < std::chrono::seconds(1)));
  reader.on_changes({entry("a", 7)}, at(7), told + patience);
  BOOST_TEST(reader.is_current());
  BOOST_TEST(!reader.is_silent(told + std::chrono::hours(1)));
}

// A store that answers nobody must not be asked more often because peers know more.
BOOST_FIXTURE_TEST_CASE(silence_after_silence_is_a_failure_with_a_pause, fixture) {
  constexpr duration answer_timeout = std::chrono::seconds(2);
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  reader.on_peer_change(at(6), start);
  int calls = 0;
  time_point answer_end = never;
  for (duration passed{}; passed < std::chrono::seconds(60); passed += std::chrono::milliseconds(10)) {
    const time_point now = start + passed;
    if (reader.is_silent(now)) {
      reader.on_silence(now);
    } else if (now >= answer_end) {
      reader.on_failure(now);
      answer_end = never;
    }
    const store_request request = reader.next(now);
    if (request.what != store_request::kind::none) {
      ++calls;
      answer_end = now + request.wait + answer_timeout;
    }
  }
  BOOST_TEST(calls >= 5);
  BOOST_TEST(calls <= 25);
  BOOST_TEST(reader.failures() > 0);
}

// A store behind a slow link answers late; a node that gave up each time would never learn of a change.
BOOST_FIXTURE_TEST_CASE(store_that_answers_after_a_second_is_read_although_a_peer_is_ahead, fixture) {
  constexpr duration answer_time = std::chrono::seconds(1);
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  reader.on_peer_change(at(6), start);
  time_point answer_due = never;
  bool is_current = false;
  for (duration passed{}; passed < std::chrono::seconds(10) && !is_current;
       passed += std::chrono::milliseconds(10)) {
    const time_point now = start + passed;
    if (reader.is_silent(now)) {
      reader.on_silence(now);
      answer_due = never;
    } else if (now >= answer_due) {
      reader.on_changes({entry("a", 6)}, at(6), now);
      is_current = reader.is_current();
      answer_due = never;
    }
    if (reader.next(now).what != store_request::kind::none) {
      answer_due = now + answer_time;
    }
  }
  BOOST_TEST(is_current);
}

// A peer that named a revision which the store never had must not make watches end early for ever.
BOOST_FIXTURE_TEST_CASE(revision_of_a_peer_is_forgotten_once_the_store_denies_it, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  reader.next(start);
  reader.on_peer_change(at(1'000), start);
  const time_point silent = start + published_reader_settings{}.silence_patience;
  BOOST_REQUIRE(reader.is_silent(silent));
  reader.on_silence(silent);
  reader.next(silent);
  reader.on_changes({}, at(5), silent);
  reader.next(silent);
  BOOST_TEST(!reader.is_silent(silent + std::chrono::hours(1)));
}

// Guards against requests to a target that has left: its removal was held back for the grace period by a node
// that had only missed one read of a store that was never away.
BOOST_FIXTURE_TEST_CASE(removal_takes_effect_at_once_after_a_single_failed_read, fixture) {
  reader.next(start);
  reader.on_failure(start);
  const time_point later = start + std::chrono::seconds(1);
  reader.next(later);
  reader.on_page({entry("a", 1), entry("b", 2)}, "", at(2), later);
  reader.next(later);
  reader.on_changes({removal("a", 3)}, at(3), later);
  BOOST_TEST(state.items().count("a") == 0U);

  reader.next(later + std::chrono::seconds(1));
  reader.on_failure(later + std::chrono::seconds(1));
  const time_point back = later + std::chrono::seconds(2);
  reader.next(back);
  reader.on_changes({removal("b", 4)}, at(4), back);
  BOOST_TEST(state.items().empty());
}

// The configuration is on the first page; a change of it while the others are read is not in the listing.
BOOST_FIXTURE_TEST_CASE(listing_that_changed_between_its_pages_is_not_current, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 1)}, "a", at(5), start);
  reader.next(start);
  reader.on_page({entry("b", 2)}, "", at(6), start);
  BOOST_TEST(!reader.is_current());
  const store_request confirming = reader.next(start);
  BOOST_TEST((confirming.what == store_request::kind::watch));
  BOOST_TEST(confirming.position.revision == 5U);
  BOOST_TEST((confirming.wait < std::chrono::seconds(1)));
}

// Guards against changes that are learned late: a pause followed when the connection of a watch turned out to
// be dead.
BOOST_FIXTURE_TEST_CASE(lost_connection_is_replaced_almost_at_once_but_only_one_time_in_a_row, fixture) {
  constexpr duration soon = std::chrono::milliseconds(200);
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  const store_request watch = reader.next(start);
  const time_point lost = start + std::chrono::seconds(2);
  reader.on_connection_lost(lost);
  BOOST_TEST(!reader.is_open(watch));
  BOOST_TEST(!reader.is_current());
  BOOST_TEST(reader.failures() == 0);
  const store_request again = reader.next(lost + soon);
  BOOST_TEST((again.what == store_request::kind::watch));
  BOOST_TEST(again.position.revision == 5U);
  BOOST_TEST((again.wait < std::chrono::seconds(1)));

  // A store that resets each connection is not asked without a pause.
  reader.on_connection_lost(lost + soon);
  BOOST_TEST(reader.failures() == 1);
  BOOST_TEST((reader.next(lost + 2 * soon).what == store_request::kind::none));
  const time_point later = lost + std::chrono::seconds(1);
  BOOST_TEST((reader.next(later).what == store_request::kind::watch));
  reader.on_changes({}, at(5), later);
  reader.next(later);
  reader.on_connection_lost(later);
  BOOST_TEST(reader.failures() == 0);
}

// While a node gathers changes it has no watch open, and being behind its peers means nothing.
BOOST_FIXTURE_TEST_CASE(watch_that_has_just_begun_is_not_silent, fixture) {
  const duration patience = published_reader_settings{}.silence_patience;
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  reader.on_peer_change(at(6), start);
  const time_point later = start + std::chrono::seconds(1);
  BOOST_TEST(!reader.is_silent(later));
  reader.next(later);
  BOOST_TEST(!reader.is_silent(later + patience - std::chrono::milliseconds(1)));
  BOOST_TEST(reader.is_silent(later + patience));
}

// Guards against a loss of all answers at once: the store answered the watches of all nodes with a change,
// the answers were lost, and nobody asked again for 30 s.
BOOST_AUTO_TEST_CASE(some_watch_of_a_fleet_ends_soon_after_all_began_at_the_same_time) {
  for (const std::size_t nodes : {16U, 64U, 6'300U}) {
    duration shortest = std::chrono::hours(1);
    constexpr duration span = std::chrono::minutes(5);
    int calls = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
      random_source random(i + 1);
      published_state state{published_state_settings{}};
      published_reader reader(published_reader_settings{}, state, random);
      reader.set_fleet_size(nodes);
      reader.next(start);
      reader.on_page({entry("a", 1)}, "", at(1), start);
      time_point now = start;
      while (now < start + span) {
        const duration wait = reader.next(now).wait;
        shortest = std::min(shortest, wait);
        now += wait;
        reader.on_changes({}, at(1), now);
        ++calls;
      }
    }
    BOOST_TEST((shortest <= std::chrono::seconds(2)));
    // Without any change, at most two calls a second for a small fleet, and two a node and watch length.
    const double calls_per_second = calls / to_seconds(span);
    BOOST_TEST(calls_per_second <= std::max(3.0, static_cast<double>(nodes) * 2.2 / 30));
  }
}

// Guards against gaps in which no node of a fleet would notice that the store's answers are lost.
BOOST_AUTO_TEST_CASE(watches_of_nodes_that_know_their_places_end_one_after_the_other) {
  const published_reader_settings settings;
  for (const std::size_t nodes : {2U, 8U, 16U, 60U}) {
    std::vector<time_point> ends;
    for (std::size_t i = 0; i < nodes; ++i) {
      random_source random(i + 1);
      published_state state{published_state_settings{}};
      published_reader reader(settings, state, random);
      reader.set_fleet(nodes, i);
      reader.next(start);
      reader.on_page({entry("a", 1)}, "", at(7), start);
      time_point now = start;
      for (int round = 0; round < 3; ++round) {
        now += reader.next(now).wait;
        reader.on_changes({}, at(7), now);
        ends.push_back(now);
      }
    }
    std::sort(ends.begin(), ends.end());
    time_point previous = start;
    for (const time_point end : ends) {
      BOOST_TEST((end - previous <= 2 * settings.watch_per_node));
      previous = end;
    }
  }
}

// Guards against changes that peers miss on dead connections: only a regular exchange told them.
BOOST_FIXTURE_TEST_CASE(peers_are_notified_of_changes_after_a_silence_and_not_before, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  reader.next(start);
  reader.on_changes({entry("a", 6)}, at(6), start);
  BOOST_TEST((reader.notice(start) == store_position()));

  const time_point silent = start + std::chrono::seconds(1);
  reader.next(silent);
  reader.on_silence(silent);
  reader.next(silent);
  BOOST_TEST((reader.notice(silent) == store_position()));
  reader.on_changes({entry("a", 7)}, at(7), silent);
  BOOST_TEST((reader.notice(silent) == at(7)));
  const time_point later = silent + std::chrono::seconds(2);
  reader.next(later);
  reader.on_changes({entry("a", 8)}, at(8), later);
  BOOST_TEST((reader.notice(later) == at(8)));
  BOOST_TEST((reader.notice(silent + published_reader_settings{}.suspicion) == store_position()));
}

// Guards against notices that circulate for ever, each time with calls to the store.
BOOST_FIXTURE_TEST_CASE(notice_is_passed_on_once_and_not_after_the_store_denied_it, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  reader.next(start);
  BOOST_TEST(!reader.on_notice(at(5), start));
  BOOST_TEST(reader.on_notice(at(6), start));
  BOOST_TEST((reader.notice(start) == at(6)));
  BOOST_TEST(!reader.on_notice(at(6), start));
  BOOST_TEST(reader.on_notice(at(9), start));
  const time_point silent = start + published_reader_settings{}.silence_patience;
  BOOST_REQUIRE(reader.is_silent(silent));
  reader.on_silence(silent);
  reader.next(silent);
  reader.on_changes({entry("a", 7)}, at(7), silent);
  reader.next(silent);
  for (const std::uint64_t revision : {6U, 8U, 9U}) {
    BOOST_TEST(!reader.on_notice(at(revision), silent));
    BOOST_TEST(!reader.is_silent(silent + std::chrono::hours(1)));
  }
  BOOST_TEST(reader.on_notice(at(10), silent));
}

// Guards against changes right after an outage that a node misses during its pause.
BOOST_FIXTURE_TEST_CASE(pause_after_failures_ends_when_a_peer_reads_newer_changes, fixture) {
  constexpr duration soon = std::chrono::milliseconds(200);
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  time_point now = start;
  for (int i = 0; i < 6; ++i) {
    now += std::chrono::seconds(10);
    reader.next(now);
    reader.on_failure(now);
  }
  reader.on_peer_change(at(5), now);
  BOOST_TEST((reader.next(now + soon).what == store_request::kind::none));
  reader.on_peer_change(at(6), now + soon);
  BOOST_TEST((reader.next(now + 2 * soon).what == store_request::kind::watch));
  // The store may still turn this node away: the same news ends no further pause.
  reader.on_failure(now + 2 * soon);
  reader.on_peer_change(at(6), now + 2 * soon);
  BOOST_TEST((reader.next(now + 3 * soon).what == store_request::kind::none));
}

// Guards against connections that went silent at all nodes: a watch was given up two seconds after its own
// end.
BOOST_FIXTURE_TEST_CASE(watch_without_an_answer_after_its_end_is_abandoned, fixture) {
  const duration patience = published_reader_settings{}.answer_patience;
  reader.next(start);
  reader.on_page({entry("a", 3)}, "", at(5), start);
  const store_request watch = reader.next(start);
  BOOST_TEST(!reader.is_overdue(start + watch.wait + patience - std::chrono::milliseconds(1)));
  const time_point overdue = start + watch.wait + patience;
  BOOST_TEST(reader.is_overdue(overdue));
  reader.on_silence(overdue);
  BOOST_TEST(!reader.is_open(watch));
  BOOST_TEST(!reader.is_current());
  const store_request again = reader.next(overdue);
  BOOST_TEST((again.what == store_request::kind::watch));
  BOOST_TEST(again.position.revision == 5U);
  // The store may be slow: this one is given up by its time-out only, and counts as failed then.
  BOOST_TEST(!reader.is_overdue(overdue + std::chrono::hours(1)));
  reader.on_failure(overdue + std::chrono::seconds(2));
  const time_point later = overdue + std::chrono::seconds(4);
  BOOST_REQUIRE((reader.next(later).what == store_request::kind::watch));
  BOOST_TEST(!reader.is_overdue(later + std::chrono::hours(1)));
}

// The store changes every 10 ms, and every node of the fleet watches it directly.
BOOST_FIXTURE_TEST_CASE(the_calls_of_all_nodes_grow_more_slowly_than_the_fleet, fixture) {
  const published_reader_settings settings;
  reader.next(start);
  reader.on_page({}, "", at(1), start);
  time_point now = start;
  std::map<std::size_t, int> calls;
  std::uint64_t revision = 1;
  for (const std::size_t nodes : {16U, 64U, 6'400U}) {
    reader.set_fleet_size(nodes);
    const time_point end = now + std::chrono::seconds(10);
    for (; now < end; now += std::chrono::milliseconds(10)) {
      if (reader.next(now).what == store_request::kind::watch) {
        ++calls[nodes];
        ++revision;
        reader.on_changes({entry("a", revision)}, at(revision), now);
      }
    }
  }
  BOOST_TEST(calls[16] <= 41);
  BOOST_TEST(calls[64] <= calls[16] / 2 + 1);
  // A change is fetched after at most a second, regardless of the fleet's size.
  BOOST_TEST(calls[6'400] >= 9);
  BOOST_TEST(calls[6'400] <= 11);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::membership
