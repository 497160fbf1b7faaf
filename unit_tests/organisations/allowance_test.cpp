#include <cmath>
#include <functional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "unit_tests/organisations/allowance_fleet.h"

namespace nutmegarch::organisations {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* name = "o";

/// A way in which the keeper of an allowance changes, from about 9.2 s on.
struct keeper_change {
  std::string what;
  std::function<void(allowance_fleet&)> happen;
};

/// All ways in which a keeper is lost or two nodes may grant, but for a lasting partition between them.
std::vector<keeper_change> keeper_changes() {
  return {
      {"none", [](allowance_fleet&) {}},
      {"stopped and started", [](allowance_fleet& fleet) { fleet.stop_and_start(fleet.first(), 9.2, 0.5); }},
      {"killed", [](allowance_fleet& fleet) { fleet.restart(fleet.first(), 9.2, 0.5); }},
      {"killed and away for long", [](allowance_fleet& fleet) { fleet.restart(fleet.first(), 9.2, 4); }},
      {"killed twice",
       [](allowance_fleet& fleet) {
         fleet.restart(fleet.first(), 9.2, 0.5);
         fleet.restart(fleet.first(), 11.2, 0.5);
       }},
      {"both keepers stopped in turn",
       [](allowance_fleet& fleet) {
         fleet.stop_and_start(fleet.first(), 9.2, 0.5);
         fleet.stop_and_start(fleet.second(), 11.2, 0.5);
       }},
      {"both keepers killed at once",
       [](allowance_fleet& fleet) {
         fleet.restart(fleet.first(), 9.2, 0.5);
         fleet.restart(fleet.second(), 9.2, 0.7);
       }},
      {"all nodes killed",
       [](allowance_fleet& fleet) {
         for (std::size_t i = 0; i < fleet.size(); ++i) {
           fleet.restart(i, 9.2, 0.5);
         }
       }},
      {"all nodes stopped in turn",
       [](allowance_fleet& fleet) {
         for (std::size_t i = 0; i < fleet.size(); ++i) {
           fleet.stop_and_start(i, 9.2 + 6.0 * static_cast<double>(i) / static_cast<double>(fleet.size()),
                                0.5);
         }
       }},
      {"stands still for a long time", [](allowance_fleet& fleet) { fleet.pause(fleet.first(), 9.2, 2); }},
      {"stands still for a short time", [](allowance_fleet& fleet) { fleet.pause(fleet.first(), 9.2, 0.6); }},
      {"stands still again and again",
       [](allowance_fleet& fleet) {
         for (int i = 0; i < 6; ++i) {
           fleet.pause(fleet.first(), 9.2 + i, 0.4);
         }
       }},
      {"a new node is the first keeper", [](allowance_fleet& fleet) { fleet.join(fleet.first(), 9.2, 0.5); }},
      {"out of reach for half of the nodes",
       [](allowance_fleet& fleet) {
         for (std::size_t i = 0; i < fleet.size(); i += 2) {
           if (i != fleet.first() && i != fleet.second()) {
             fleet.cut(i, fleet.first(), 9, 4);
           }
         }
       }},
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(allowances)

// The load: an organisation that sends eight times its usual, five times what it may, at all nodes at once.
BOOST_AUTO_TEST_CASE(hot_organisation_stays_within_its_allowance_at_all_nodes_together) {
  for (const int nodes : {4, 66, 300}) {
    for (const double rate : {2.0, 30.0, 150.0}) {
      const allowance limit = {rate, rate};
      allowance_fleet fleet(nodes, limit, 7);
      fleet.send(rate / 1.6, 3, 8);
      fleet.send(5 * rate, 8, 16);
      fleet.run();
      BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate) {
        BOOST_TEST(fleet.largest_window() <= allowed_in_window(limit));
        // What it may make in this time is made: the bucket's capacity and the rate, less what waits at
        // nodes.
        BOOST_TEST(fleet.made() >= 0.85 * (rate / 1.6 * 5 + rate * 8));
      }
    }
  }
}

// A successor knows nothing of what was granted before it: it must not grant the allowance of the window
// again.
BOOST_AUTO_TEST_CASE(no_change_of_the_keeper_grants_the_allowance_of_a_window_twice) {
  for (const keeper_change& change : keeper_changes()) {
    for (const int nodes : {2, 5, 66}) {
      for (const allowance& limit :
           {allowance{2, 2}, allowance{40, 20}, allowance{150, 150}, allowance{150, 0}}) {
        for (const double surge : {6.0, 8.0, 9.0}) {
          allowance_fleet fleet(nodes, limit, 19);
          fleet.send(6 * limit.rate, surge, 18);
          change.happen(fleet);
          fleet.run();
          BOOST_TEST_CONTEXT(change.what << ", nodes " << nodes << ", rate " << limit.rate << ", burst "
                                         << limit.burst << ", surge at " << surge) {
            BOOST_TEST(fleet.largest_window() <= allowed_in_window(limit));
          }
        }
      }
    }
  }
}

// Callers that send evenly at 0.9 of the rate. The users' target: at most 2% of the window after the loss of
// a keeper.
BOOST_AUTO_TEST_CASE(loss_of_a_keeper_refuses_few_requests_within_the_allowance) {
  for (const bool is_announced : {true, false}) {
    for (const int nodes : {2, 5, 20, 66}) {
      for (const double rate : {2.0, 40.0, 150.0}) {
        allowance_fleet fleet(nodes, {rate, rate / 2}, 23);
        fleet.send_evenly(0.9 * rate, 5, 25);
        if (is_announced) {
          fleet.stop_and_start(fleet.first(), 12, 0.8);
        } else {
          fleet.restart(fleet.first(), 12, 0.8);
        }
        fleet.run();
        BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate
                                    << (is_announced ? ", stopped" : ", killed")) {
          BOOST_TEST(fleet.refused(0, 12) == 0);
          BOOST_TEST(fleet.refused(12, 17) <= 0.02 * (fleet.refused(12, 17) + fleet.made(12, 17)));
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(burst_of_the_allowance_is_made_at_once) {
  for (const int nodes : {2, 5, 66}) {
    const allowance limit = {40, 20};
    allowance_fleet fleet(nodes, limit, 29);
    fleet.send_burst(20, 10);
    fleet.run();
    BOOST_TEST(fleet.refused() == 0);
  }
}

BOOST_AUTO_TEST_CASE(organisation_within_its_allowance_is_not_refused) {
  for (const int nodes : {4, 66, 300}) {
    for (const double rate : {2.0, 30.0, 150.0}) {
      allowance_fleet fleet(nodes, {rate, rate}, 11);
      fleet.send(rate / 1.6, 3, 30);
      fleet.run();
      BOOST_TEST_CONTEXT("nodes " << nodes << ", rate " << rate) {
        BOOST_TEST(fleet.refused() <= 0.005 * fleet.made());
        // Never more than one question a request.
        BOOST_TEST(fleet.questions() <= fleet.made() + fleet.refused());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(hot_organisation_stays_within_its_allowance_while_its_keeper_is_away) {
  for (const double away : {0.3, 1.0, 4.0}) {
    for (const double rate : {2.0, 30.0, 150.0}) {
      const allowance limit = {rate, rate};
      allowance_fleet fleet(66, limit, 13);
      fleet.send(5 * rate, 3, 16);
      fleet.restart(fleet.first(), 7, away);
      fleet.run();
      BOOST_TEST_CONTEXT("away " << away << ", rate " << rate) {
        BOOST_TEST(fleet.largest_window() <= allowed_in_window(limit));
      }
    }
  }
}

// A lower limit binds one window after it is in force.
BOOST_AUTO_TEST_CASE(limit_that_falls_far_below_the_demand_holds_soon) {
  const allowance before = {100, 100};
  const allowance after = {10, 10};
  allowance_fleet fleet(66, before, 17);
  fleet.set_limit(after, 5);
  fleet.send(60, 6, 12);
  fleet.run();
  BOOST_TEST(fleet.largest_window() <= allowed_in_window(after));
}

BOOST_AUTO_TEST_CASE(grant_that_was_not_used_expires) {
  allowance_cache cache{allowance_cache_settings{}};
  const time_point start(seconds(5));
  BOOST_TEST((cache.on_request(name, start) == allowance_verdict::waiting));
  BOOST_TEST(cache.next_question(name, 1, start) == 1);
  BOOST_TEST(cache.next_question(name, 1, start) == 0);
  cache.on_answer(name, 3, {}, start, start + milliseconds(40));
  BOOST_TEST(cache.take(name, start + milliseconds(40)));
  BOOST_TEST(cache.take(name, start + milliseconds(499)));
  BOOST_TEST(!cache.take(name, start + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(request_that_did_not_run_gives_its_part_back_until_it_expires) {
  allowance_cache cache{allowance_cache_settings{}};
  const time_point start(seconds(5));
  cache.on_request(name, start);
  cache.next_question(name, 1, start);
  cache.on_answer(name, 1, {}, start, start);
  BOOST_TEST(cache.take(name, start));
  const time_point until = cache.expiry(name);
  cache.give_back(name, until, start + milliseconds(100));
  BOOST_TEST(cache.take(name, start + milliseconds(200)));
  cache.give_back(name, until, until);
  BOOST_TEST(!cache.take(name, until));
}

BOOST_AUTO_TEST_CASE(used_up_allowance_refuses_without_further_questions) {
  allowance_cache cache{allowance_cache_settings{}};
  const time_point start(seconds(5));
  cache.on_request(name, start);
  cache.next_question(name, 1, start);
  cache.on_answer(name, 0, milliseconds(300), start, start);
  BOOST_TEST((cache.on_request(name, start + milliseconds(299)) == allowance_verdict::refused));
  BOOST_TEST(cache.next_question(name, 1, start + milliseconds(299)) == 0);
  BOOST_TEST((cache.on_request(name, start + milliseconds(300)) == allowance_verdict::waiting));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::organisations
