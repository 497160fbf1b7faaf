#include "nutmegarch/observe/process_memory.h"

#include <boost/test/unit_test.hpp>

namespace nutmegarch::observe {

BOOST_AUTO_TEST_SUITE(process_memories)

BOOST_AUTO_TEST_CASE(status_gives_the_resident_set_and_its_peak) {
  const std::optional<process_memory> memory =
      parse_process_memory("Name:\tnode\nVmHWM:\t   20480 kB\nVmRSS:\t   10240 kB\nThreads:\t1\n");
  BOOST_REQUIRE(memory);
  BOOST_TEST(memory->resident_bytes == 10'240U * 1'024U);
  BOOST_TEST(memory->peak_bytes == 20'480U * 1'024U);
}

BOOST_AUTO_TEST_CASE(missing_or_malformed_status_gives_nothing) {
  BOOST_TEST(!parse_process_memory(""));
  BOOST_TEST(!parse_process_memory("VmRSS:"));
  BOOST_TEST(!parse_process_memory("VmRSS:\nThreads: 5\n"));
  BOOST_TEST(!parse_process_memory("VmHWM: 12 kB\n"));
  BOOST_TEST(!parse_process_memory("VmRSS: 99999999999999999999999 kB\n"));
}

BOOST_AUTO_TEST_CASE(missing_peak_counts_as_the_resident_set) {
  const std::optional<process_memory> memory = parse_process_memory("VmRSS: 4 kB");
  BOOST_REQUIRE(memory);
  BOOST_TEST(memory->peak_bytes == 4'096U);
}

BOOST_AUTO_TEST_CASE(memory_of_this_process_is_told) {
  const std::optional<process_memory> memory = read_process_memory();
  BOOST_REQUIRE(memory);
  BOOST_TEST(memory->resident_bytes > 1'000'000U);
  BOOST_TEST(memory->peak_bytes >= memory->resident_bytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::observe
