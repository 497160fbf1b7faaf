#include "nutmegarch/policy/crash_registry.h"

#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::policy {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};
constexpr std::uint64_t crashing_request = 42;

}  // namespace

BOOST_AUTO_TEST_SUITE(crashes)

// A caller resends a request that crashes its target to arbitrary nodes, each time after the previous attempt
// failed. Each crash is gossiped to all nodes before the next attempt.
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
    if (at.is_quarantined(crashing_request, now)) {
      continue;
    }
    ++crashed;
    at.on_crash(crashing_request, now);
    for (crash_registry& other : registries) {
      for (const crash_mark& mark : at.gossip_marks(now)) {
        other.merge(mark, now);
      }
    }
  }
  RC_ASSERT(crashed <= 2);
}

BOOST_AUTO_TEST_CASE(a_request_that_completed_recently_is_not_quarantined) {
  crash_registry registry(crash_settings{});
  registry.on_success(7, begin);
  registry.on_crash(7, begin + std::chrono::seconds(1));
  registry.merge({7, 2}, begin + std::chrono::seconds(2));
  BOOST_TEST(!registry.is_quarantined(7, begin + std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(crash_counts_expire_and_the_table_is_bounded) {
  crash_settings settings;
  settings.capacity = 2;
  crash_registry registry(settings);
  for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
    registry.on_crash(fingerprint, begin);
    registry.on_crash(fingerprint, begin);
  }
  BOOST_TEST(registry.gossip_marks(begin).size() == 2U);
  BOOST_TEST(registry.is_quarantined(3, begin));
  BOOST_TEST(!registry.is_quarantined(1, begin));
  BOOST_TEST(!registry.is_quarantined(3, begin + settings.lifetime));
}

// A target that exits with many open calls, or loses many answers, produces many marks at once; the messages
// to peers must stay bounded.
BOOST_AUTO_TEST_CASE(gossip_has_recent_crashes_and_quarantined_requests_only) {
  crash_settings settings;
  settings.max_gossip_marks = 16;
  crash_registry registry(settings);
  registry.on_crash(crashing_request, begin);
  registry.on_crash(crashing_request, begin);
  for (std::uint64_t fingerprint = 1000; fingerprint < 2000; ++fingerprint) {
    registry.on_crash(fingerprint, begin + std::chrono::milliseconds(fingerprint - 1000));
  }
  const std::vector<crash_mark> marks = registry.gossip_marks(begin + std::chrono::seconds(1));
  BOOST_TEST(marks.size() == settings.max_gossip_marks);
  BOOST_TEST(marks.front().fingerprint == 1999U);

  // Later only the quarantined request is left.
  const std::vector<crash_mark> later =
      registry.gossip_marks(begin + settings.gossip_lifetime + std::chrono::seconds(2));
  BOOST_TEST(later.size() == 1U);
  BOOST_TEST(later.front().fingerprint == crashing_request);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
