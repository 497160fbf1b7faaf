#include "nutmegarch/observe/line_buffer.h"

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "nutmegarch/observe/line_budget.h"

namespace nutmegarch::observe {

BOOST_AUTO_TEST_SUITE(log_lines)

BOOST_AUTO_TEST_CASE(a_reader_that_stands_still_costs_lines_and_no_time) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  line_buffer buffer(ends[1], 4096);
  const std::string line(99, 'x');
  for (int i = 0; i < 10'000; ++i) {
    buffer.add(line + '\n');
    buffer.flush();
  }
  BOOST_TEST(buffer.dropped() > 0U);

  // What was taken arrives whole and in lines.
  fcntl(ends[0], F_SETFL, O_NONBLOCK);
  std::string got;
  std::array<char, 4096> piece{};
  ssize_t count = 0;
  while ((count = read(ends[0], piece.data(), piece.size())) > 0) {
    got.append(piece.data(), static_cast<std::size_t>(count));
    buffer.flush();
  }
  BOOST_TEST(got.size() % 100 == 0U);
  BOOST_TEST(got.substr(0, 100) == line + '\n');
  close(ends[0]);
  close(ends[1]);
}

BOOST_AUTO_TEST_CASE(a_budget_holds_over_time_and_counts_what_it_keeps_back) {
  line_budget budget(10, 5);
  time_point now{std::chrono::seconds(1)};
  int lines = 0;
  for (int i = 0; i < 1000; ++i) {
    now += std::chrono::milliseconds(10);
    lines += budget.take(now) ? 1 : 0;
  }
  BOOST_TEST(lines <= 10 * 10 + 5);
  BOOST_TEST(budget.take_suppressed() + static_cast<std::uint64_t>(lines) == 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::observe
