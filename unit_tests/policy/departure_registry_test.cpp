#include "nutmegarch/policy/departure_registry.h"

#include <array>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};
constexpr std::array<departure_sign, departure_sign_count> all_signs = {
    departure_sign::published, departure_sign::answered, departure_sign::unlisted,
    departure_sign::closed_connection};

}  // namespace

BOOST_AUTO_TEST_SUITE(departures)

// Listings and signs of few instances in any order, some of them old, as peers and a slow store deliver them.
// A process that has announced that it leaves must count as leaving ever after, whatever is listed later.
RC_BOOST_PROP(process_never_returns_from_an_announced_departure, ()) {
  const std::vector<std::pair<int, int>> steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1'000'000)));
  departure_registry registry;
  std::set<std::pair<std::string, std::int64_t>> announced;
  time_point now = begin;
  for (const std::pair<int, int>& step : steps) {
    now += std::chrono::milliseconds(step.second % 5'000);
    const target_process process = {"i-" + std::to_string(step.second % 3), 1 + step.second / 3 % 4};
    if (step.first <= 1) {
      const bool is_leaving = step.first == 1;
      registry.on_listing({{process, is_leaving}}, now);
      if (is_leaving) {
        announced.insert({process.instance, process.started_ms});
      }
    } else if (step.first == 2) {
      registry.on_listing({}, now);
    } else if (step.first == 3) {
      registry.add_sign(process, departure_sign::closed_connection, now);
    } else {
      registry.add_sign(process, departure_sign::answered, now);
      announced.insert({process.instance, process.started_ms});
    }
    for (const std::pair<std::string, std::int64_t>& left : announced) {
      RC_ASSERT(registry.is_leaving({left.first, left.second}));
    }
  }
}

// The newest process of an instance that is listed as staying and has made no announcement receives calls,
// whatever was said of the processes before it.
RC_BOOST_PROP(newer_process_is_not_held_for_the_departure_of_an_older_one, ()) {
  const std::vector<int> signs = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  departure_registry registry;
  for (const int sign : signs) {
    registry.add_sign({"i-1", 1 + sign / 4}, all_signs.at(static_cast<std::size_t>(sign % 4)), begin);
  }
  registry.on_listing({{{"i-1", 4}, false}}, begin);
  RC_ASSERT(!registry.is_leaving({"i-1", 4}));
  RC_ASSERT(registry.is_leaving({"i-1", 3}));
  // A late sign of the older process changes nothing.
  RC_ASSERT(!registry.add_sign({"i-1", 3}, departure_sign::answered, begin));
  RC_ASSERT(!registry.is_leaving({"i-1", 4}));
}

BOOST_AUTO_TEST_CASE(closed_connection_alone_decides_nothing) {
  departure_registry registry;
  registry.on_listing({{{"i-1", 1}, false}}, begin);
  BOOST_TEST(registry.add_sign({"i-1", 1}, departure_sign::closed_connection, begin));
  BOOST_TEST(!registry.is_leaving({"i-1", 1}));
  BOOST_TEST(!registry.announced_start({"i-1", 1}).has_value());
}

BOOST_AUTO_TEST_CASE(process_whose_entry_was_removed_stays_away_until_it_is_listed_again) {
  departure_registry registry;
  registry.on_listing({{{"i-1", 1}, false}, {{"i-2", 1}, false}}, begin);
  registry.on_listing({{{"i-2", 1}, false}}, begin);
  BOOST_TEST(registry.is_leaving({"i-1", 1}));
  // Its peers must not hold it as announced, since the entry may come back.
  BOOST_TEST(!registry.announced_start({"i-1", 1}).has_value());
  registry.on_listing({{{"i-1", 1}, false}, {{"i-2", 1}, false}}, begin);
  BOOST_TEST(!registry.is_leaving({"i-1", 1}));
}

BOOST_AUTO_TEST_CASE(process_that_was_never_listed_is_not_leaving_without_a_sign) {
  departure_registry registry;
  registry.on_listing({}, begin);
  BOOST_TEST(!registry.is_leaving({"i-1", 0}));
  BOOST_TEST(!registry.is_leaving({"i-1", 5}));
}

BOOST_AUTO_TEST_CASE(sign_of_a_process_with_unknown_start_counts_for_the_newest_one) {
  departure_registry registry;
  registry.on_listing({{{"i-1", 7}, false}}, begin);
  BOOST_TEST(registry.add_sign({"i-1", 0}, departure_sign::answered, begin));
  BOOST_TEST(registry.is_leaving({"i-1", 7}));
  BOOST_TEST(*registry.announced_start({"i-1", 0}) == 7);
  BOOST_TEST(!registry.is_leaving({"i-1", 8}));
}

BOOST_AUTO_TEST_CASE(each_sign_is_first_once_and_its_age_is_known) {
  departure_registry registry;
  registry.on_listing({{{"i-1", 1}, false}}, begin);
  BOOST_TEST(registry.add_sign({"i-1", 1}, departure_sign::answered, begin));
  BOOST_TEST(!registry.add_sign({"i-1", 1}, departure_sign::answered, begin + std::chrono::seconds(1)));
  registry.on_listing({{{"i-1", 1}, true}}, begin + std::chrono::seconds(2));
  const time_point now = begin + std::chrono::seconds(5);
  BOOST_TEST((*registry.age_of("i-1", departure_sign::answered, now) == std::chrono::seconds(5)));
  BOOST_TEST((*registry.age_of("i-1", departure_sign::published, now) == std::chrono::seconds(3)));
  BOOST_TEST(!registry.age_of("i-1", departure_sign::unlisted, now).has_value());
}

// Releases replace all targets many times.
BOOST_AUTO_TEST_CASE(number_of_remembered_processes_is_bounded_and_the_listed_ones_are_kept) {
  departure_settings settings;
  settings.max_unlisted = 100;
  departure_registry registry(settings);
  time_point now = begin;
  constexpr int listed_count = 50;
  std::vector<listed_process> listing;
  for (int release = 0; release < 40; ++release) {
    now += std::chrono::seconds(1);
    listing.clear();
    for (int i = 0; i < listed_count; ++i) {
      listing.push_back({{std::to_string(release) + '-' + std::to_string(i), 1}, false});
    }
    registry.on_listing(listing, now);
    for (const listed_process& listed : listing) {
      registry.add_sign(listed.process, departure_sign::answered, now);
      registry.add_sign({"unlisted-" + listed.process.instance, 0}, departure_sign::answered, now);
    }
    BOOST_TEST(registry.size() <= settings.max_unlisted + listed_count);
  }
  for (const listed_process& listed : listing) {
    BOOST_TEST(registry.is_leaving(listed.process));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
