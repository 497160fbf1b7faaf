#include "nutmegarch/membership/published_state.h"

#include <map>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/membership/published_reader.h"

namespace nutmegarch::membership {

namespace {

constexpr time_point start{std::chrono::seconds(100)};

published_item entry(const std::string& key, std::uint64_t revision, const std::string& value = "v") {
  return {key, value, revision, false};
}

published_item removal(const std::string& key, std::uint64_t revision) { return {key, "", revision, true}; }

struct fixture {
  published_state state{published_state_settings{}};
  random_source random{1};
  published_reader reader{published_reader_settings{}, state, random};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(published_states)

BOOST_AUTO_TEST_CASE(entries_never_step_back) {
  published_state state{published_state_settings{}};
  BOOST_TEST(state.replace({entry("a", 5, "new")}, 7, start));
  BOOST_TEST(!state.apply({entry("a", 4, "old")}, 7, start));
  BOOST_TEST(state.items().at("a").value == "new");

  // A listing that is older than what is held neither changes nor removes anything.
  BOOST_TEST(!state.replace({}, 6, start));
  BOOST_TEST(!state.merge({entry("b", 3)}, 6, start));
  BOOST_TEST(state.items().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_removed_entry_is_not_brought_back_by_an_older_one) {
  published_state state{published_state_settings{}};
  state.replace({entry("a", 5)}, 5, start);
  BOOST_TEST(state.apply({removal("a", 6)}, 6, start));
  BOOST_TEST(!state.apply({entry("a", 5)}, 6, start));
  BOOST_TEST(state.items().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_lapsed_while_the_store_was_away_has_two_seconds_to_come_back) {
  published_state state{published_state_settings{}};
  state.replace({entry("back", 1), entry("gone", 2)}, 2, start);
  state.on_return(start);
  state.apply({removal("back", 3), removal("gone", 4)}, 4, start);
  BOOST_TEST(state.items().size() == 2U);
  state.apply({entry("back", 5)}, 5, start + std::chrono::seconds(1));
  BOOST_TEST(!state.on_time(start + std::chrono::milliseconds(1999)));
  BOOST_TEST(state.on_time(start + std::chrono::seconds(2)));
  BOOST_TEST(state.items().count("back") == 1U);
  BOOST_TEST(state.items().count("gone") == 0U);
}

BOOST_AUTO_TEST_CASE(without_an_outage_a_removal_holds_at_once) {
  published_state state{published_state_settings{}};
  state.replace({entry("a", 1)}, 1, start);
  BOOST_TEST(state.apply({removal("a", 2)}, 2, start));
  BOOST_TEST(state.items().empty());
}

BOOST_FIXTURE_TEST_CASE(pages_are_joined_and_changes_watched_from_the_earliest_of_them, fixture) {
  BOOST_TEST((reader.next(start).what == store_request::kind::read_page));
  BOOST_TEST((reader.next(start).what == store_request::kind::none));
  reader.on_page({entry("a", 3)}, "a", 10, start);
  const store_request second = reader.next(start);
  BOOST_TEST((second.what == store_request::kind::read_page));
  BOOST_TEST(second.after_key == "a");
  BOOST_TEST(reader.on_page({entry("b", 11)}, "", 12, start));
  const store_request watch = reader.next(start);
  BOOST_TEST((watch.what == store_request::kind::watch));
  BOOST_TEST(watch.revision == 10U);

  // "c" was removed before the first page and "a" between the two.
  BOOST_TEST(reader.on_changes({removal("a", 11), entry("b", 11)}, 12, start));
  BOOST_TEST(state.items().size() == 1U);
  BOOST_TEST(state.items().count("b") == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_lost_history_is_read_anew_and_not_from_a_stale_copy, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 3), entry("b", 4)}, "", 4, start);
  reader.next(start);
  reader.on_history_lost(start);
  const store_request again = reader.next(start);
  BOOST_TEST((again.what == store_request::kind::read_page));
  BOOST_TEST(!again.may_be_stale);
  BOOST_TEST(reader.on_page({entry("a", 3)}, "", 9, start));
  BOOST_TEST(state.items().count("b") == 0U);
}

BOOST_FIXTURE_TEST_CASE(failures_lengthen_the_pause_up_to_its_bound, fixture) {
  const published_reader_settings settings;
  time_point now = start;
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE((reader.next(now).what != store_request::kind::none));
    reader.on_failure(now);
    BOOST_TEST((reader.next(now).what == store_request::kind::none));
    now += settings.longest_pause * 3 / 2;
  }
  // Half a minute of failures costs few calls.
  int calls = 0;
  for (duration passed{}; passed < std::chrono::seconds(30); passed += std::chrono::milliseconds(10)) {
    if (reader.next(now + passed).what != store_request::kind::none) {
      ++calls;
      reader.on_failure(now + passed);
    }
  }
  BOOST_TEST(calls <= 16);
}

// After a pause the open request is given up; its answer may come all the same.
BOOST_FIXTURE_TEST_CASE(an_answer_to_a_request_that_was_given_up_is_told_apart, fixture) {
  const store_request first = reader.next(start);
  reader.on_pause();
  BOOST_TEST(!reader.is_open(first));
  const store_request second = reader.next(start);
  BOOST_REQUIRE((second.what == store_request::kind::read_page));
  BOOST_TEST(!reader.is_open(first));
  BOOST_TEST(reader.is_open(second));
}

BOOST_FIXTURE_TEST_CASE(the_return_of_the_store_starts_the_grace, fixture) {
  reader.next(start);
  reader.on_page({entry("a", 1)}, "", 1, start);
  reader.next(start);
  reader.on_failure(start);
  const time_point back = start + std::chrono::seconds(20);
  BOOST_REQUIRE((reader.next(back).what == store_request::kind::watch));
  reader.on_changes({removal("a", 2)}, 2, back);
  BOOST_TEST(state.items().count("a") == 1U);
  BOOST_TEST(state.on_time(back + std::chrono::seconds(2)));
  BOOST_TEST(state.items().empty());
}

// Changes come every 10 ms; every node of the fleet watches them by itself.
BOOST_FIXTURE_TEST_CASE(the_calls_of_all_nodes_grow_more_slowly_than_the_fleet, fixture) {
  const published_reader_settings settings;
  reader.next(start);
  reader.on_page({}, "", 1, start);
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
        reader.on_changes({entry("a", revision)}, revision, now);
      }
    }
  }
  BOOST_TEST(calls[16] <= 41);
  BOOST_TEST(calls[64] <= calls[16] / 2 + 1);
  // A change waits a second at most, however large the fleet is.
  BOOST_TEST(calls[6'400] >= 9);
  BOOST_TEST(calls[6'400] <= 11);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::membership
