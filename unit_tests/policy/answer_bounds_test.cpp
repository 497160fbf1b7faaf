#include <map>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "nutmegarch/policy/answer_meter.h"
#include "nutmegarch/policy/held_bytes.h"

namespace nutmegarch::policy {

BOOST_AUTO_TEST_SUITE(answer_bounds_decisions)

BOOST_AUTO_TEST_CASE(a_body_in_chunks_of_one_byte_passes_and_mere_framing_does_not) {
  constexpr std::size_t chunk = 6;
  answer_meter small_chunks(answer_bounds{});
  BOOST_TEST(small_chunks.on_read(answer_bounds{}.most_head_bytes, 0));
  for (std::size_t body = 1; body <= 100'000; ++body) {
    BOOST_REQUIRE(small_chunks.on_read(chunk, body));
  }
  answer_meter framing(answer_bounds{});
  std::size_t body = 0;
  while (framing.on_read(1'000, body)) {
    ++body;
    BOOST_REQUIRE(body < 100U);
  }
}

BOOST_AUTO_TEST_CASE(answers_before_the_one_that_is_due_are_counted) {
  answer_bounds bounds;
  bounds.most_interim_answers = 2;
  bounds.most_stale_answers = 1;
  answer_meter tested(bounds);
  BOOST_TEST(tested.on_interim_answer());
  BOOST_TEST(tested.on_interim_answer());
  BOOST_TEST(!tested.on_interim_answer());
  BOOST_TEST(tested.on_stale_answer());
  BOOST_TEST(!tested.on_stale_answer());
}

BOOST_AUTO_TEST_CASE(bytes_before_an_interim_answer_do_not_count_for_the_next) {
  answer_bounds bounds;
  answer_meter tested(bounds);
  for (int i = 0; i < bounds.most_interim_answers; ++i) {
    BOOST_TEST(tested.on_read(bounds.most_head_bytes, 0));
    BOOST_TEST(tested.on_interim_answer());
  }
  BOOST_TEST(tested.on_read(bounds.most_head_bytes, 0));
}

BOOST_AUTO_TEST_CASE(the_largest_message_is_given_up_and_small_ones_pass) {
  const held_bytes_settings settings{1'000, 100};
  BOOST_TEST(settings.counted(100) == 0U);
  BOOST_TEST(settings.counted(101) == 200U);
  held_bytes tested(settings);
  BOOST_TEST(!tested.hold(1, 600, false).has_value());
  BOOST_TEST(!tested.hold(2, 400, false).has_value());
  BOOST_TEST((tested.hold(3, 200, false) == std::optional<std::uint64_t>(1)));
  BOOST_TEST(tested.total() == 600U);
  tested.release(2);
  tested.release(1);
  BOOST_TEST(tested.total() == 200U);
}

BOOST_AUTO_TEST_CASE(a_message_that_is_too_large_alone_is_given_up_itself) {
  held_bytes tested({1'000, 100});
  BOOST_TEST(!tested.hold(1, 300, false).has_value());
  BOOST_TEST((tested.hold(2, 1'100, false) == std::optional<std::uint64_t>(2)));
  BOOST_TEST(tested.total() == 300U);
}

BOOST_AUTO_TEST_CASE(a_message_that_told_its_length_is_not_given_up_for_those_without_one) {
  held_bytes tested({1'000, 100});
  BOOST_TEST(!tested.hold(1, 600, true).has_value());
  BOOST_TEST(!tested.hold(2, 300, false).has_value());
  BOOST_TEST((tested.hold(3, 200, false) == std::optional<std::uint64_t>(2)));
  BOOST_TEST((tested.hold(4, 300, true) == std::optional<std::uint64_t>(3)));
  BOOST_TEST((tested.hold(5, 200, true) == std::optional<std::uint64_t>(1)));
}

BOOST_AUTO_TEST_CASE(whatever_is_held_the_bound_stands_and_the_sum_is_right) {
  BOOST_TEST(rc::check([]() {
    constexpr std::size_t step = 10;
    constexpr std::size_t bound = 400;
    const held_bytes_settings settings{bound, step};
    held_bytes tested(settings);
    const auto has_length = [](std::uint64_t holder) { return holder % 2 == 0; };
    std::map<std::uint64_t, std::size_t> sizes;
    const int steps = *rc::gen::inRange(0, 200);
    for (int i = 0; i < steps; ++i) {
      const std::uint64_t holder = *rc::gen::inRange(0, 20);
      if (*rc::gen::inRange(0, 4) == 0) {
        tested.release(holder);
        sizes.erase(holder);
      } else {
        // A holder only grows while it reads.
        const std::size_t size = settings.counted(sizes[holder] + *rc::gen::inRange<std::size_t>(1, 100));
        sizes[holder] = size;
        const std::optional<std::uint64_t> given_up = tested.hold(holder, size, has_length(holder));
        if (given_up) {
          std::size_t held = 0;
          for (const std::pair<const std::uint64_t, std::size_t>& known : sizes) {
            held += known.second;
          }
          for (const std::pair<const std::uint64_t, std::size_t>& other : sizes) {
            RC_ASSERT(!has_length(*given_up) || has_length(other.first) || other.second < held - bound);
            RC_ASSERT(has_length(*given_up) != has_length(other.first) ||
                      other.second <= sizes.at(*given_up));
          }
          sizes.erase(*given_up);
        }
      }
      std::size_t total = 0;
      for (const std::pair<const std::uint64_t, std::size_t>& held : sizes) {
        total += held.second;
      }
      RC_ASSERT(tested.total() == total);
      RC_ASSERT(total <= bound);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::policy
