#include "nutmegarch/membership/configuration_age.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace nutmegarch::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

configuration_age_settings limited() {
  configuration_age_settings settings;
  settings.max_age = seconds(5);
  return settings;
}

const time_point start(seconds(1000));

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_ages)

BOOST_AUTO_TEST_CASE(key_is_taken_only_while_the_configuration_is_young_enough) {
  configuration_age age(limited());
  BOOST_TEST(!age.may_take_keys(start));
  age.on_confirmed(start);
  BOOST_TEST(age.may_take_keys(start + milliseconds(4900)));
  BOOST_TEST(!age.may_take_keys(start + milliseconds(4901)));
}

BOOST_AUTO_TEST_CASE(without_a_limit_keys_are_taken_at_any_age) {
  configuration_age age{configuration_age_settings{}};
  BOOST_TEST(age.may_take_keys(start));
  BOOST_TEST(age.is_in_touch(start));
  random_source random(1);
  BOOST_TEST((age.next(false, random, start) == confirmation_source::none));
}

// An answer may have been on its way for any time, so that only the question's time counts.
BOOST_AUTO_TEST_CASE(late_answer_of_a_peer_makes_nothing_younger) {
  configuration_age age(limited());
  age.on_peer(start, seconds(2), false);
  BOOST_TEST((*age.age(start + seconds(3)) == seconds(5)));
  // Neither does an older answer that arrives later.
  age.on_peer(start - seconds(1), seconds(2), false);
  BOOST_TEST((*age.age(start + seconds(3)) == seconds(5)));
}

BOOST_AUTO_TEST_CASE(peer_with_a_newer_configuration_confirms_nothing) {
  configuration_age age(limited());
  age.on_peer(start, milliseconds(1), true);
  age.on_peer(start, std::nullopt, false);
  BOOST_TEST(!age.age(start).has_value());
}

BOOST_AUTO_TEST_CASE(node_asks_peers_before_it_asks_the_store) {
  configuration_age age(limited());
  random_source random(1);
  age.on_confirmed(start);
  BOOST_TEST((age.next(false, random, start + milliseconds(1000)) == confirmation_source::none));
  BOOST_TEST((age.next(false, random, start + milliseconds(1300)) == confirmation_source::peer));
  BOOST_TEST((age.next(false, random, start + milliseconds(1400)) == confirmation_source::none));
  BOOST_TEST((age.next(false, random, start + milliseconds(2800)) == confirmation_source::store));
  // A store that fails is not asked more often.
  BOOST_TEST((age.next(true, random, start + milliseconds(4800)) == confirmation_source::peer));
}

// The load: a key is taken away while nodes are cut off, wake up, or hear from peers only. Whatever the order
// of the messages, no node takes the key longer than allowed.
BOOST_AUTO_TEST_CASE(no_node_takes_a_key_longer_than_allowed_after_it_was_taken_away) {
  constexpr int node_count = 30;
  constexpr duration step = milliseconds(10);
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    random_source random(seed);
    struct fake_node {
      configuration_age age{limited()};
      std::uint64_t version = 1;
      /// Until then the node neither runs nor hears anything.
      time_point away_until{};
      bool is_cut_from_store = false;
    };
    struct message {
      time_point arrives;
      std::size_t to;
      time_point asked;
      std::uint64_t version;
      std::optional<duration> age;
    };
    std::vector<fake_node> nodes(node_count);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      nodes.at(i).age.set_reader(i % 10 == 0);
      nodes.at(i).is_cut_from_store = random.below(4) == 0;
    }
    std::vector<message> messages;
    const time_point taken_away = start + seconds(10);
    for (time_point now = start; now < start + seconds(25); now += step) {
      const std::uint64_t stored_version = now >= taken_away ? 2 : 1;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        fake_node& node = nodes.at(i);
        if (now < node.away_until) {
          continue;
        }
        if (random.below(4000) == 0) {
          node.away_until = now + from_seconds(6 * random.uniform());
        }
        const confirmation_source source = node.age.next(false, random, now);
        const duration delay = from_seconds(0.5 * random.uniform() * random.uniform());
        if (source == confirmation_source::store && !node.is_cut_from_store) {
          messages.push_back({now + delay, i, now, stored_version, duration{}});
        } else if (source != confirmation_source::none) {
          const fake_node& peer = nodes.at(random.below(node_count));
          if (now >= peer.away_until) {
            messages.push_back({now + delay, i, now, peer.version, peer.age.age(now)});
          }
        }
        for (std::size_t m = 0; m < messages.size();) {
          const message& arrived = messages.at(m);
          if (arrived.to != i || arrived.arrives > now) {
            ++m;
            continue;
          }
          // The store sends the configuration itself; a peer only its version.
          const bool is_from_store = arrived.age == duration{};
          node.version = is_from_store ? std::max(node.version, arrived.version) : node.version;
          node.age.on_peer(arrived.asked, arrived.age, arrived.version > node.version);
          messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(m));
        }
        const bool takes_key = node.version == 1 && node.age.may_take_keys(now);
        BOOST_REQUIRE((!takes_key || now <= taken_away + seconds(5)));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::membership
