#include <set>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "nutmegarch/membership/document_table.h"
#include "nutmegarch/membership/endpoint_table.h"
#include "nutmegarch/membership/gossip_schedule.h"
#include "nutmegarch/membership/reader_choice.h"

namespace nutmegarch::membership {

namespace {

constexpr time_point begin{std::chrono::seconds(100)};

host_list make_hosts(int count) {
  host_list list;
  list.revision = 1;
  for (int i = 0; i < count; ++i) {
    published_host host;
    host.host = "host-" + std::to_string(i);
    host.service = "s";
    host.domain = "domain-" + std::to_string(i % 4);
    host.region = "region-" + std::to_string(i % 2);
    host.peer_address = "127.0.0.1:" + std::to_string(1000 + i);
    list.hosts.push_back(host);
  }
  return list;
}

/// Performs one exchange between two tables, as two nodes do.
void exchange(document_table& left, document_table& right) {
  for (const document& newer : right.newer_than(left.digest())) {
    left.merge(newer);
  }
  for (const document& newer : left.newer_than(right.digest())) {
    right.merge(newer);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_membership)

// Exchanges between any pairs of tables spread the newest document, and no table returns to an older one.
RC_BOOST_PROP(exchanges_converge_on_the_newest_document, ()) {
  const std::size_t nodes = *rc::gen::inRange<std::size_t>(2, 8);
  const std::vector<std::tuple<std::size_t, std::size_t, int>> steps =
      *rc::gen::container<std::vector<std::tuple<std::size_t, std::size_t, int>>>(rc::gen::tuple(
          rc::gen::inRange<std::size_t>(0, 8), rc::gen::inRange<std::size_t>(0, 8), rc::gen::inRange(0, 10)));
  std::vector<document_table> tables(nodes);
  for (document_table& table : tables) {
    table.merge({{"rules", 1, {}, 0}, "1"});
  }
  std::uint64_t newest = 1;
  for (const std::tuple<std::size_t, std::size_t, int>& step : steps) {
    document_table& left = tables.at(std::get<0>(step) % nodes);
    document_table& right = tables.at(std::get<1>(step) % nodes);
    const std::uint64_t before = left.find("rules")->stamp.version;
    if (std::get<2>(step) < 3) {
      // A node reads a value from the store. A stale store may return an old one.
      const std::uint64_t version = std::get<2>(step) == 0 ? 1 : newest + 1;
      newest = std::max(newest, version);
      left.merge({{"rules", version, {}, 0}, std::to_string(version)});
    } else {
      exchange(left, right);
    }
    RC_ASSERT(left.find("rules")->stamp.version >= before);
  }
  for (std::size_t i = 1; i < nodes; ++i) {
    exchange(tables.at(0), tables.at(i));
  }
  for (std::size_t i = 1; i < nodes; ++i) {
    exchange(tables.at(0), tables.at(i));
    RC_ASSERT(tables.at(i).find("rules")->stamp.version == newest);
  }
}

BOOST_AUTO_TEST_CASE(the_number_of_readers_is_independent_of_the_number_of_hosts) {
  for (const int hosts : {3, 25, 100, 1000}) {
    const std::vector<std::string> readers = choose_readers(make_hosts(hosts), 3);
    BOOST_TEST(readers.size() == 3U);
    BOOST_TEST(std::set<std::string>(readers.begin(), readers.end()).size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(readers_are_from_different_domains_and_not_leaving) {
  host_list list = make_hosts(40);
  const std::vector<std::string> before = choose_readers(list, 4);
  std::set<std::string> domains;
  for (const published_host& host : list.hosts) {
    if (std::count(before.begin(), before.end(), host.host) != 0) {
      domains.insert(host.domain);
    }
  }
  BOOST_TEST(domains.size() == 4U);
  for (published_host& host : list.hosts) {
    host.leaving = host.host == before.front();
  }
  const std::vector<std::string> after = choose_readers(list, 4);
  BOOST_TEST(std::count(after.begin(), after.end(), before.front()) == 0);
}

BOOST_AUTO_TEST_CASE(reports_of_peers_override_the_published_list) {
  endpoint_table table({"host-0", "domain-0", "region-0"});
  const rules::rule_table no_rules;
  const std::vector<policy::endpoint_ptr> endpoints = table.apply("s", make_hosts(3), no_rules, time_point{});
  table.on_report({"host-1", 77, true});
  BOOST_TEST(endpoints.at(1)->leaving());
  // The published list still has the host as live, but the host's own report takes precedence.
  table.apply("s", make_hosts(3), no_rules, time_point{});
  BOOST_TEST(table.find("host-1")->leaving());
  // A new incarnation replaces the state of the previous one.
  table.on_report({"host-1", 78, false});
  BOOST_TEST(!table.find("host-1")->leaving());
  BOOST_TEST(table.find("host-1")->incarnation == 78U);
}

BOOST_AUTO_TEST_CASE(a_drain_rule_drains_a_host_until_it_is_removed) {
  endpoint_table table({"host-0", "domain-0", "region-0"});
  const rules::rule_table rules(std::get<rules::rule_file>(
      rules::parse_rule_file("version 1 # who: a why: b\ndrain host=host-2 # who: a why: b\n")));
  table.apply("s", make_hosts(3), rules, time_point{});
  BOOST_TEST(table.find("host-2")->leaving());
  table.apply_rules(rules::rule_table());
  BOOST_TEST(!table.find("host-2")->leaving());
}

BOOST_AUTO_TEST_CASE(a_node_reads_the_configuration_only_after_silence_and_at_a_limited_rate) {
  random_source random(1);
  gossip_settings settings;
  gossip_schedule schedule(settings, random);
  schedule.on_update_received(begin);
  int reads = 0;
  for (int i = 0; i < 600; ++i) {
    reads += schedule.should_read(begin + std::chrono::milliseconds(100 * i)) ? 1 : 0;
  }
  // In 60 s, the first read is due after 15 s of silence, and further ones after 10 to 20 s each.
  BOOST_TEST(reads >= 2);
  BOOST_TEST(reads <= 5);
}

BOOST_AUTO_TEST_CASE(each_new_peer_is_greeted_once) {
  random_source random(1);
  gossip_settings settings;
  settings.max_greetings = 2;
  gossip_schedule schedule(settings, random);
  schedule.set_peers({"c", "a", "b"});
  std::set<std::string> greeted;
  for (std::size_t left : {std::size_t{2}, std::size_t{1}, std::size_t{0}}) {
    const std::vector<std::string> due = schedule.due_for_greeting(begin);
    BOOST_TEST(due.size() == left);
    greeted.insert(due.begin(), due.end());
  }
  BOOST_TEST(greeted.size() == 3U);
  schedule.set_peers({"a", "b", "d", "e"});
  schedule.set_peers({"a", "b", "d"});
  BOOST_TEST(schedule.due_for_greeting(begin) == std::vector<std::string>{"d"},
             boost::test_tools::per_element());
  BOOST_TEST(schedule.due_for_greeting(begin).empty());
}

BOOST_AUTO_TEST_CASE(a_peer_that_did_not_answer_a_greeting_is_greeted_again_after_the_interval) {
  random_source random(1);
  const gossip_settings settings;
  gossip_schedule schedule(settings, random);
  schedule.set_peers({"a", "b"});
  BOOST_TEST(schedule.due_for_greeting(begin).size() == 2U);
  schedule.on_exchanged("a", true);
  schedule.on_exchanged("b", false);
  const std::vector<std::string> again = schedule.due_for_greeting(begin);
  BOOST_TEST(again == std::vector<std::string>{"b"}, boost::test_tools::per_element());
  schedule.on_exchanged("b", false);
  BOOST_TEST(schedule.due_for_greeting(begin + settings.greeting_interval / 2).empty());
  BOOST_TEST(schedule.due_for_greeting(begin + settings.greeting_interval).size() == 1U);
  schedule.on_exchanged("b", true);
  schedule.on_exchanged("b", false);
  BOOST_TEST(schedule.due_for_greeting(begin + 2 * settings.greeting_interval).empty());
}

// A target that loses many answers causes many updates per second. Each must not cause messages of its own.
BOOST_AUTO_TEST_CASE(a_burst_of_updates_is_sent_in_few_messages_and_without_long_delay) {
  random_source random(1);
  gossip_settings settings;
  gossip_schedule schedule(settings, random);
  schedule.set_peers({"a", "b", "c", "d", "e", "f"});
  time_point now{std::chrono::seconds(100)};
  BOOST_TEST(schedule.due_for_update(now).empty());

  std::size_t messages = 0;
  for (int i = 0; i < 1000; ++i, now += std::chrono::milliseconds(1)) {
    schedule.on_local_update();
    messages += schedule.due_for_update(now).size();
  }
  const std::size_t rounds = static_cast<std::size_t>(std::chrono::seconds(1) / settings.update_interval);
  BOOST_TEST(messages == rounds * static_cast<std::size_t>(settings.fan_out));

  // The last update is sent once, with the next round.
  now += settings.update_interval;
  BOOST_TEST(!schedule.due_for_update(now).empty());
  BOOST_TEST(schedule.due_for_update(now + settings.update_interval).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::membership
