#include "nutmegarch/policy/crash_registry.h"

#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};
constexpr std::uint64_t killer = 42;

}  // namespace

BOOST_AUTO_TEST_SUITE(crashes)

// A caller sends the request again and again to any node, each time after the last one failed. Nodes tell
// their peers of a crash before the caller can know of it.
RC_BOOST_PROP(at_most_two_targets_crash_for_one_request, ()) {
  const std::size_t nodes = *rc::gen::inRange<std::size_t>(1, 20);
  const std::vector<std::size_t> sends =
      *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 100));
  std::vector<crash_registry> registries(nodes, crash_registry(crash_settings{}));
  int crashed = 0;
  time_point now = begin;
  for (const std::size_t send : sends) {
    now += std::chrono::milliseconds(500);
    crash_registry& at = registries.at(send % nodes);
    if (at.refused(killer, now)) {
      continue;
    }
    ++crashed;
    at.on_crash(killer, now);
    for (crash_registry& other : registries) {
      for (const crash_mark& mark : at.news(now)) {
        other.merge(mark, now);
      }
    }
  }
  RC_ASSERT(crashed <= 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_ran_to_its_end_is_not_blamed) {
  crash_registry registry(crash_settings{});
  registry.on_success(7, begin);
  registry.on_crash(7, begin + std::chrono::seconds(1));
  registry.merge({7, 2}, begin + std::chrono::seconds(2));
  BOOST_TEST(!registry.refused(7, begin + std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(marks_expire_and_the_table_is_bounded) {
  crash_settings settings;
  settings.capacity = 2;
  crash_registry registry(settings);
  for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
    registry.on_crash(fingerprint, begin);
    registry.on_crash(fingerprint, begin);
  }
  BOOST_TEST(registry.news(begin).size() == 2U);
  BOOST_TEST(registry.refused(3, begin));
  BOOST_TEST(!registry.refused(1, begin));
  BOOST_TEST(!registry.refused(3, begin + settings.lifetime));
}

// A target that ends with many open calls, or loses many answers, makes many marks at once.
BOOST_AUTO_TEST_CASE(peers_are_told_of_recent_crashes_and_of_refused_requests_only) {
  crash_settings settings;
  settings.most_news = 16;
  crash_registry registry(settings);
  registry.on_crash(killer, begin);
  registry.on_crash(killer, begin);
  for (std::uint64_t fingerprint = 1000; fingerprint < 2000; ++fingerprint) {
    registry.on_crash(fingerprint, begin + std::chrono::milliseconds(fingerprint - 1000));
  }
  const std::vector<crash_mark> told = registry.news(begin + std::chrono::seconds(1));
  BOOST_TEST(told.size() == settings.most_news);
  BOOST_TEST(told.front().fingerprint == 1999U);

  // Later only the one that must not run is left.
  const std::vector<crash_mark> later =
      registry.news(begin + settings.news_lifetime + std::chrono::seconds(2));
  BOOST_TEST(later.size() == 1U);
  BOOST_TEST(later.front().fingerprint == killer);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
