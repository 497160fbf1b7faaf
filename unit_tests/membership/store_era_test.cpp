#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "nutmegarch/membership/document_table.h"
#include "nutmegarch/membership/published_reader.h"
#include "nutmegarch/membership/version_lag.h"

namespace nutmegarch::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds(100)};

published_item entry(const std::string& key, const store_position& position, const std::string& value = "v") {
  return {key, value, position, false};
}

/// What the store answers to a request.
struct answer {
  bool is_history_lost = false;
  std::vector<published_item> items;
  store_position position;
};

/// A store that can come back from a copy of itself.
class store_model {
 public:
  void put(const std::string& key, int value) {
    live_[key] = value;
    write(key, value);
  }
  void remove(const std::string& key) {
    live_.erase(key);
    if (items_.count(key) != 0) {
      ++position_.revision;
      items_.erase(key);
      history_.push_back({key, "", position_, true});
    }
  }
  void take_copy() { copy_ = {items_, position_.revision}; }
  void return_from_copy() {
    items_ = copy_.first;
    position_ = {position_.era + 1, copy_.second};
    for (std::pair<const std::string, published_item>& stored : items_) {
      stored.second.position.era = position_.era;
    }
    history_.clear();
    history_begin_ = position_.revision;
  }
  /// Writers repeat what the copy lacks.
  void write_again() {
    for (const std::pair<const std::string, int>& written : live_) {
      auto stored = items_.find(written.first);
      if (stored == items_.end() || stored->second.value != std::to_string(written.second)) {
        write(written.first, written.second);
      }
    }
    std::vector<std::string> gone;
    for (const std::pair<const std::string, published_item>& stored : items_) {
      if (live_.count(stored.first) == 0) {
        gone.push_back(stored.first);
      }
    }
    for (const std::string& key : gone) {
      remove(key);
    }
  }
  answer reply(const store_request& request) const {
    answer made;
    made.position = position_;
    if (request.what == store_request::kind::read_page) {
      for (const std::pair<const std::string, published_item>& stored : items_) {
        made.items.push_back(stored.second);
      }
      return made;
    }
    // The store compares revisions alone.
    made.is_history_lost =
        request.position.revision < history_begin_ || request.position.revision > position_.revision;
    for (const published_item& change : history_) {
      if (change.position.revision > request.position.revision) {
        made.items.push_back(change);
      }
    }
    return made;
  }
  std::map<std::string, std::string> values() const {
    std::map<std::string, std::string> found;
    for (const std::pair<const std::string, published_item>& stored : items_) {
      found[stored.first] = stored.second.value;
    }
    return found;
  }

 private:
  void write(const std::string& key, int value) {
    ++position_.revision;
    items_[key] = {key, std::to_string(value), position_, false};
    history_.push_back(items_[key]);
  }

  std::map<std::string, int> live_;
  std::map<std::string, published_item> items_;
  std::vector<published_item> history_;
  std::uint64_t history_begin_ = 1;
  store_position position_{1, 1};
  std::pair<std::map<std::string, published_item>, std::uint64_t> copy_{{}, 1};
};

/// A node's decisions about one store, with the answers that are on their way to it.
struct reading_node {
  explicit reading_node(std::uint64_t seed) : random(seed) {}

  void send(const store_model& store, time_point now) {
    state.on_tick(now);
    const store_request next = reader.next(now);
    if (next.what != store_request::kind::none) {
      request = next;
      pending = store.reply(next);
    }
  }
  /// The answer as it was made when the request was sent.
  void receive(time_point now) {
    if (!pending) {
      return;
    }
    const answer received = *std::exchange(pending, std::nullopt);
    if (!reader.is_open(request)) {
      return;
    }
    if (received.is_history_lost || reader.starts_era(received.position)) {
      reader.on_history_lost(now);
    } else if (reader.is_outdated(received.position)) {
      reader.on_failure(now);
    } else if (request.what == store_request::kind::read_page) {
      reader.on_page(received.items, "", received.position, now);
    } else {
      reader.on_changes(received.items, received.position, now);
    }
  }
  /// Takes the listing of a peer.
  void merge(const reading_node& peer, time_point now) {
    std::vector<published_item> items;
    for (const std::pair<const std::string, published_item>& stored : peer.state.items()) {
      items.push_back(stored.second);
      if (items.back().position.era != peer.state.position().era) {
        items.back().position = {peer.state.position().era, 0};
      }
    }
    state.merge(items, peer.state.position(), now);
    reader.on_peer_change(peer.state.position(), now);
  }
  std::map<std::string, std::string> values() const {
    std::map<std::string, std::string> found;
    for (const std::pair<const std::string, published_item>& stored : state.items()) {
      found[stored.first] = stored.second.value;
    }
    return found;
  }

  random_source random;
  published_state state{published_state_settings{}};
  published_reader reader{published_reader_settings{}, state, random};
  store_request request;
  std::optional<answer> pending;
};

struct fixture {
  published_state state{published_state_settings{}};
  random_source random{1};
  published_reader reader{published_reader_settings{}, state, random};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(store_era)

BOOST_AUTO_TEST_CASE(position_of_a_later_era_is_newer_whatever_its_revision) {
  BOOST_TEST((store_position(2, 1) > store_position(1, 1'000)));
  BOOST_TEST((store_position(2, 2) > store_position(2, 1)));
  const document_stamp earlier = {"published-hosts", 0, {1, 1'000}, 9};
  const document_stamp later = {"published-hosts", 0, {2, 5}, 1};
  BOOST_TEST(is_newer(later, earlier));
  BOOST_TEST(!is_newer(earlier, later));
}

// Guards against nodes that keep an ended era: revisions had gone back, so that its entries counted as newer.
RC_BOOST_PROP(every_node_follows_the_store_through_copies_and_late_answers, ()) {
  const std::vector<std::pair<int, int>> steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 11), rc::gen::inRange(0, 60)));
  constexpr std::size_t node_count = 3;
  store_model store;
  store.put("config", 1);
  std::vector<std::unique_ptr<reading_node>> nodes;
  for (std::size_t i = 0; i < node_count; ++i) {
    nodes.push_back(std::make_unique<reading_node>(i + 1));
  }
  time_point now = start;
  int value = 1;
  for (const std::pair<int, int>& step : steps) {
    const std::size_t index = static_cast<std::size_t>(step.second) % node_count;
    reading_node& node = *nodes.at(index);
    const std::string key(1, static_cast<char>('a' + step.second % 4));
    switch (step.first) {
      case 0:
      case 1:
        store.put(key, ++value);
        break;
      case 2:
        store.remove(key);
        break;
      case 3:
        store.take_copy();
        break;
      case 4:
        store.return_from_copy();
        break;
      case 5:
        store.write_again();
        break;
      case 6:
        node.send(store, now);
        break;
      case 7:
        node.receive(now);
        break;
      case 8:
        node.merge(*nodes.at((index + 1) % node_count), now);
        break;
      case 9:
        nodes.at(index) = std::make_unique<reading_node>(index + 10);
        break;
      default:
        now += milliseconds(step.second * step.second);
    }
  }
  // The writers repeat themselves, and then all is calm.
  store.write_again();
  for (const time_point end = now + seconds(12); now < end; now += milliseconds(50)) {
    for (const std::unique_ptr<reading_node>& node : nodes) {
      node->receive(now);
      node->send(store, now);
    }
  }
  for (const std::unique_ptr<reading_node>& node : nodes) {
    RC_ASSERT(node->values() == store.values());
  }
}

BOOST_FIXTURE_TEST_CASE(answer_of_another_era_is_not_joined_with_what_was_read_before, fixture) {
  reader.next(start);
  reader.on_page({entry("a", {1, 3})}, "a", {1, 10}, start);
  reader.next(start);
  BOOST_TEST(reader.starts_era({2, 4}));
  BOOST_TEST(!reader.starts_era({1, 11}));
  reader.on_history_lost(start);
  const time_point later = start + milliseconds(200);
  const store_request first = reader.next(later);
  BOOST_TEST((first.what == store_request::kind::read_page));
  BOOST_TEST(first.after_key.empty());
  BOOST_TEST(!reader.starts_era({2, 4}));
  BOOST_TEST(reader.on_page({entry("a", {2, 3})}, "", {2, 4}, later));
  // A watch that the next era answers, although its revision is not in that one's history.
  reader.next(later);
  BOOST_TEST(reader.starts_era({3, 9}));
}

BOOST_FIXTURE_TEST_CASE(answer_of_an_ended_era_or_of_none_is_outdated, fixture) {
  reader.next(start);
  BOOST_TEST(!reader.is_outdated({0, 9}));
  reader.on_page({entry("a", {2, 3})}, "", {2, 4}, start);
  BOOST_TEST(reader.is_outdated({1, 9}));
  BOOST_TEST(reader.is_outdated({0, 9}));
  BOOST_TEST(!reader.is_outdated({2, 1}));
  BOOST_TEST(!reader.is_outdated({3, 1}));
  // A peer has told of a later era.
  state.merge({entry("a", {4, 1})}, {4, 2}, start);
  BOOST_TEST(reader.is_outdated({3, 9}));
  BOOST_TEST(!reader.is_outdated({4, 1}));
}

// Guards against callers that are refused while servers write themselves again.
BOOST_AUTO_TEST_CASE(entry_that_the_copy_lacks_stays_until_its_host_had_time_to_write_it_again) {
  published_state state{published_state_settings{}};
  state.replace({entry("back", {1, 5}), entry("gone", {1, 6})}, {1, 6}, start);
  state.replace({}, {2, 3}, start);
  BOOST_TEST(state.items().size() == 2U);
  state.apply({entry("back", {2, 4})}, {2, 4}, start + seconds(1));
  BOOST_TEST(state.on_tick(start + seconds(2)));
  BOOST_TEST(state.items().count("back") == 1U);
  BOOST_TEST(state.items().count("gone") == 0U);
}

// Guards against requests to a server that had left before the store came back from a copy that still has it.
BOOST_AUTO_TEST_CASE(entry_that_was_removed_before_the_copy_came_back_is_not_used_until_it_is_proven) {
  published_state state{published_state_settings{}};
  state.replace({entry("a", {1, 5}), entry("b", {1, 5}), entry("left", {1, 5}), entry("lives", {1, 5})},
                {1, 5}, start);
  state.apply({{"left", "", {1, 6}, true}, {"lives", "", {1, 7}, true}, {"b", "", {1, 8}, true}}, {1, 8},
              start);
  state.replace({entry("a", {2, 5}), entry("b", {2, 5}), entry("left", {2, 5}), entry("lives", {2, 5})},
                {2, 5}, start);
  BOOST_TEST(state.items().size() == 1U);
  BOOST_TEST(state.unproven() == 3U);
  // A host that writes itself again lives.
  BOOST_TEST(state.apply({entry("lives", {2, 6})}, {2, 6}, start));
  BOOST_TEST(state.items().count("lives") == 1U);
  // One whose entry the store removes again does not.
  state.apply({{"left", "", {2, 7}, true}}, {2, 7}, start + seconds(4));
  // One that is still listed when the store would have removed it lives as well.
  BOOST_TEST(!state.on_tick(start + seconds(5) - milliseconds(1)));
  BOOST_TEST(state.on_tick(start + seconds(5)));
  BOOST_TEST(state.items().count("b") == 1U);
  BOOST_TEST(state.items().count("left") == 0U);
}

// Guards against a store that is busy with all nodes at the moment of its return.
BOOST_AUTO_TEST_CASE(era_costs_each_node_one_listing_and_not_all_at_once) {
  constexpr std::size_t node_count = 98;
  constexpr duration step = milliseconds(10);
  constexpr duration bound = milliseconds(2'500);
  store_model store;
  store.put("config", 1);
  store.take_copy();
  store.put("a", 2);
  std::vector<std::unique_ptr<reading_node>> nodes;
  for (std::size_t i = 0; i < node_count; ++i) {
    nodes.push_back(std::make_unique<reading_node>(i + 1));
    nodes.back()->reader.set_fleet(node_count, i);
  }
  // The watches that wait are cut by the return, and answered by the era after it.
  for (const std::unique_ptr<reading_node>& node : nodes) {
    node->send(store, start);
    node->receive(start);
    node->send(store, start);
    node->pending.reset();
  }
  store.return_from_copy();
  std::map<time_point, int> listings;
  int calls = 0;
  for (const std::unique_ptr<reading_node>& node : nodes) {
    node->reader.on_connection_lost(start);
  }
  for (time_point now = start; now < start + bound; now += step) {
    for (const std::unique_ptr<reading_node>& node : nodes) {
      const std::uint64_t previous = node->request.request_id;
      node->send(store, now);
      if (node->request.request_id != previous && node->pending) {
        ++calls;
        listings[now] += node->request.what == store_request::kind::read_page ? 1 : 0;
        // A watch of the new era waits, for longer than this test.
        const bool is_waiting = node->request.what == store_request::kind::watch &&
                                node->request.position.era == node->pending->position.era;
        if (is_waiting) {
          node->pending.reset();
        }
      }
      node->receive(now);
    }
  }
  int sum = 0;
  int most = 0;
  for (const std::pair<const time_point, int>& listed : listings) {
    sum += listed.second;
    most = std::max(most, listed.second);
  }
  BOOST_TEST(sum == static_cast<int>(node_count));
  BOOST_TEST(most <= static_cast<int>(node_count) / 4);
  // The watch that shows the era, the listing and the next watch.
  BOOST_TEST(calls <= 3 * static_cast<int>(node_count));
  for (const std::unique_ptr<reading_node>& node : nodes) {
    BOOST_TEST((node->state.position() == store_position(2, 2)));
  }
}

BOOST_AUTO_TEST_CASE(configuration_that_only_peers_have_is_asked_for_after_some_time) {
  const version_lag_settings settings;
  version_lag lag(settings);
  lag.on_peer_version(5, 5, start);
  BOOST_TEST(!lag.is_lasting(5, start + std::chrono::hours(1)));
  lag.on_peer_version(6, 5, start);
  lag.on_peer_version(7, 5, start + settings.patience / 2);
  BOOST_TEST(!lag.is_lasting(5, start + settings.patience - milliseconds(1)));
  BOOST_TEST(lag.is_lasting(5, start + settings.patience));
  BOOST_TEST(!lag.is_lasting(7, start + settings.patience));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace nutmegarch::membership
