#include "nutmegarch/rules/rules_in_force.h"

#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace nutmegarch::rules {

namespace {

std::string make_file(int version, int variant) {
  return "version " + std::to_string(version) +
         " # who: a why: b\nretry service=s budget=" + std::to_string(variant) +
         " # who: Kebede why: asked for it\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(rules_order_of_files)

// Nodes receive the same files in any order and repeatedly, from peers and from a store that may be stale or
// lose its latest revisions. They must never apply an older file and must all end with the same one.
RC_BOOST_PROP(rules_never_become_older_and_nodes_converge, ()) {
  struct published {
    int version;
    int variant;
    std::uint64_t revision;
  };
  const std::vector<std::pair<int, int>> files =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(1, 6), rc::gen::inRange(0, 4))));
  std::vector<published> history;
  for (std::size_t i = 0; i < files.size(); ++i) {
    history.push_back({files.at(i).first, files.at(i).second, i + 1});
  }
  const std::vector<std::size_t> orders =
      *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, history.size()));

  rules_in_force first;
  rules_in_force second;
  for (const std::size_t index : orders) {
    const rules_order before = first.order();
    const published& file = history.at(index);
    first.offer(make_file(file.version, file.variant), file.revision);
    RC_ASSERT(!(first.order() < before));
    RC_ASSERT(first.table()->file().version >= before.version);
  }
  // In the end both nodes have received every file.
  for (const published& file : history) {
    first.offer(make_file(file.version, file.variant), file.revision);
  }
  for (std::size_t i = history.size(); i > 0; --i) {
    const published& file = history.at(i - 1);
    second.offer(make_file(file.version, file.variant), file.revision);
  }
  RC_ASSERT(first.order().version == second.order().version);
  RC_ASSERT(first.table()->file().text == second.table()->file().text);
}

BOOST_AUTO_TEST_CASE(rejects_a_rollback_and_lists_the_rules_it_would_remove) {
  rules_in_force tested;
  tested.offer(make_file(2, 1), 10);
  const rules_verdict verdict = tested.offer(make_file(1, 9), 11);
  BOOST_TEST((verdict.what == rules_verdict::kind::rollback));
  BOOST_REQUIRE(verdict.removed.size() == 1U);
  BOOST_TEST(verdict.removed.front().who == "Kebede");
  BOOST_TEST(tested.order().version == 2U);
}

BOOST_AUTO_TEST_CASE(rejects_a_file_with_errors_and_keeps_the_last_one) {
  rules_in_force tested;
  tested.offer(make_file(2, 1), 10);
  const rules_verdict verdict = tested.offer("version 3 # who: a why: b\nnonsense # who: a why: b\n", 11);
  BOOST_TEST((verdict.what == rules_verdict::kind::bad));
  BOOST_TEST(verdict.errors.front().line == 2);
  BOOST_TEST(tested.order().version == 2U);
}

BOOST_AUTO_TEST_CASE(lists_the_rules_that_a_newer_file_removes) {
  rules_in_force tested;
  tested.offer(make_file(2, 1), 10);
  const rules_verdict verdict = tested.offer("version 3 # who: a why: b\n", 11);
  BOOST_TEST((verdict.what == rules_verdict::kind::accepted));
  BOOST_TEST(verdict.removed.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::rules
